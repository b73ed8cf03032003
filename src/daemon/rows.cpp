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

/// The mechanism that holds a request; the queue knows more than the request itself.
std::string heldBy(const RequestView &request, const std::vector<QueuedRequestView> &queue)
{
    if (request.state != RequestState::Queued)
        return request.waitsFor;
    const std::string key = requestKey(request.workspace, request.requestId);
    for (const QueuedRequestView &queued : queue) {
        if (queued.requestId == key)
            return "the admission queue: " + queued.reason;
    }
    return request.waitsFor;
}

std::string freedBy(const RequestView &request)
{
    switch (request.state) {
    case RequestState::Queued:
        return fmt::format("a request that ends at an endpoint of service {}, an endpoint that is "
                           "added or undrained, or 'stop service {}'",
                           request.service, request.service);
    case RequestState::Claiming:
        return "the answer of the platform's log; without it the request is refused as not run";
    case RequestState::Reserving:
        return "requests that end at these engines and free their memory, or the expiry of holds";
    case RequestState::Prefilling:
    case RequestState::Dispatched:
        return "the endpoint's answer; if the endpoint fails or its connection breaks, the request "
               "is tried elsewhere or ends";
    case RequestState::Streaming:
        return "the next token, or a caller that reads on; after 10 s of silence the stream is "
               "broken off and resumed";
    case RequestState::Resuming:
        return "the engine's answer to the resume; two failures end the request";
    case RequestState::Retrying:
        return "the end of the delay";
    }
    return "";
}

std::string endpointState(const EndpointView &endpoint, const Configuration *configuration,
                          Millis sendPermission)
{
    if (configuration) {
        const auto intent = configuration->endpointIntents.find(endpoint.id);
        if (intent != configuration->endpointIntents.end() && intent->second.drained)
            return "drained";
    }
    if (endpoint.sendPermitted)
        return endpoint.ejected ? "ejected" : "live";
    if (endpoint.reportAge == Millis::max())
        return "unknown";
    return endpoint.reportAge > sendPermission ? "silent" : "leaving";
}

} // namespace

bool isStuck(const RequestView &request)
{
    const bool first = request.state == RequestState::Dispatched
                       || request.state == RequestState::Prefilling;
    const Millis expected = first ? 2 * request.expectedFirstToken : Millis(0);
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
                        const std::vector<QueuedRequestView> &queue, const std::string &requestId)
{
    ResultTable table{{"id", "state", "stuck", "held_by", "endpoint", "since_ms", "freed_by",
                       "ends_at_latest_in_ms", "entry_vm"},
                      {},
                      {}};
    for (const RequestView &request : requests) {
        if (request.requestId != requestId)
            continue;
        table.rows.push_back({request.requestId, toString(request.state), yesNo(isStuck(request)),
                              heldBy(request, queue), request.endpoint,
                              millisText(request.sinceProgress), freedBy(request),
                              millisText(request.untilDeadline), memberId});
    }
    return table;
}

ResultTable endpointRows(const std::vector<std::pair<std::string, FleetView>> &services,
                         const Configuration *configuration, Millis sendPermission)
{
    ResultTable table{{"id", "service", "failure_domain", "state", "address", "sendable", "ejected",
                       "models", "running", "waiting", "waiting_tokens", "kv_used", "kv_capacity",
                       "unreported", "report_age_ms"},
                      {},
                      {}};
    for (const auto &[service, view] : services) {
        for (const EndpointView &endpoint : view.endpoints) {
            table.rows.push_back(
                    {endpoint.id, service, endpoint.failureDomain,
                     endpointState(endpoint, configuration, sendPermission),
                     toString(endpoint.address), yesNo(endpoint.sendPermitted),
                     yesNo(endpoint.ejected), fmt::format("{}", fmt::join(endpoint.models, ",")),
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
