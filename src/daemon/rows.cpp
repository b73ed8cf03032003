#include "daemon/rows.h"

#include <fmt/format.h>

#include <algorithm>

namespace cicadafork {

namespace {

std::string millisText(Millis value)
{
    return value == Millis::max() ? "never" : std::to_string(value.count());
}

const char *yesNo(bool value)
{
    return value ? "yes" : "no";
}

std::string stateText(const RequestView &request)
{
    return isStuck(request) ? "stuck" : toString(request.state);
}

} // namespace

bool isStuck(const RequestView &request)
{
    const Millis expected = 2 * request.expectedFirstToken;
    return request.sinceProgress > std::max(kStuckMinimum, expected);
}

ResultTable requestRows(const std::string &memberId, const std::vector<RequestView> &requests)
{
    ResultTable table{{"id", "workspace", "service", "model", "priority", "state", "waits_for",
                       "endpoint", "attempt", "prompt_tokens", "tokens", "age_ms", "idle_ms",
                       "deadline_ms", "entry_vm"},
                      {},
                      {}};
    for (const RequestView &request : requests) {
        table.rows.push_back(
                {request.requestId, request.workspace, request.service, request.model,
                 toString(request.priority), stateText(request), request.waitsFor, request.endpoint,
                 std::to_string(request.attempt), std::to_string(request.promptTokens),
                 std::to_string(request.tokensDelivered), millisText(request.age),
                 millisText(request.sinceProgress), millisText(request.untilDeadline), memberId});
    }
    return table;
}

ResultTable explainRows(const std::string &memberId, const std::vector<RequestView> &requests,
                        const std::string &requestId)
{
    ResultTable table{{"id", "state", "stuck", "waits_for", "endpoint", "since_ms",
                       "ends_at_latest_in_ms", "entry_vm"},
                      {},
                      {}};
    for (const RequestView &request : requests) {
        if (request.requestId != requestId)
            continue;
        table.rows.push_back({request.requestId, toString(request.state), yesNo(isStuck(request)),
                              request.waitsFor, request.endpoint, millisText(request.sinceProgress),
                              millisText(request.untilDeadline), memberId});
    }
    return table;
}

ResultTable endpointRows(const std::vector<std::pair<std::string, FleetView>> &services)
{
    ResultTable table{{"id", "service", "failure_domain", "address", "sendable", "ejected",
                       "models", "running", "waiting", "waiting_tokens", "kv_used", "kv_capacity",
                       "unreported", "report_age_ms"},
                      {},
                      {}};
    for (const auto &[service, view] : services) {
        for (const EndpointView &endpoint : view.endpoints) {
            table.rows.push_back(
                    {endpoint.id, service, endpoint.failureDomain, toString(endpoint.address),
                     yesNo(endpoint.sendPermitted), yesNo(endpoint.ejected),
                     fmt::format("{}", fmt::join(endpoint.models, ",")),
                     std::to_string(endpoint.running), std::to_string(endpoint.waiting),
                     std::to_string(endpoint.waitingTokens), std::to_string(endpoint.kvUsedTokens),
                     std::to_string(endpoint.kvCapacityTokens),
                     std::to_string(endpoint.unreportedRequests), millisText(endpoint.reportAge)});
        }
    }
    return table;
}

ResultTable entryVmRows(const std::vector<PeerView> &peers)
{
    ResultTable table{{"id", "failure_domain", "caller_address", "alive", "heartbeat_age_ms",
                       "next_offset", "incarnation"},
                      {},
                      {}};
    for (const PeerView &peer : peers) {
        table.rows.push_back({peer.id, peer.failureDomain, toString(peer.callerAddress),
                              yesNo(peer.alive), millisText(peer.heartbeatAge),
                              std::to_string(peer.configOffset), peer.incarnation});
    }
    return table;
}

ResultTable configurationRow(const std::string &memberId, const std::string &failureDomain,
                             std::optional<Offset> nextOffset, bool ready)
{
    return {{"entry_vm", "failure_domain", "next_offset", "ready"},
            {{memberId, failureDomain, nextOffset ? std::to_string(*nextOffset) : "none",
              yesNo(ready)}},
            {}};
}

} // namespace cicadafork
