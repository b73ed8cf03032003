// Gateway: what endpoints state about themselves in their answers.

#include "base/hash.h"
#include "base/log.h"
#include "gateway/gateway.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace cicadafork::gateway {

namespace {

constexpr const char *kFromAnswer = "answer";
// Limits often change at several endpoints at a time.
constexpr Millis kOwnerDelay{10};

} // namespace

std::string Gateway::nameOf(EndpointKey endpoint) const
{
    const EndpointRow *row = endpoints_.find(endpoint);
    return row ? row->record.id : fmt::format("{:016x}", endpoint);
}

OrderCalls Gateway::observed(OrderCalls orders)
{
    // The key is that of the instance which the order names; the address may have another one by
    // the time of the answer.
    const auto observe = [this](const std::string &endpointId, const Address &address, auto done) {
        const EndpointRow *row = endpoints_.findById(endpointId);
        return [this, address, key = row ? std::optional(row->key) : std::nullopt,
                done = std::move(done)](const OrderReply &reply) {
            if (key)
                noteStatement(*key, reply.statement, {});
            if (reply.statement.leaving)
                pool_.closeIdle(address);
            done(reply);
        };
    };
    OrderCalls calls;
    calls.reserve = [observe, reserve = std::move(orders.reserve)](
                            const Address &address, const std::string &endpointId,
                            const std::string &ticket, std::uint64_t tokens, Millis lease,
                            Millis timeout, std::function<void(const OrderReply &)> done) {
        reserve(address, endpointId, ticket, tokens, lease, timeout,
                observe(endpointId, address, std::move(done)));
    };
    calls.release = [observe, release = std::move(orders.release)](
                            const Address &address, const std::string &endpointId,
                            const std::string &ticket, Millis timeout,
                            std::function<void(const OrderReply &)> done) {
        release(address, endpointId, ticket, timeout,
                observe(endpointId, address, std::move(done)));
    };
    calls.askUse = std::move(orders.askUse);
    return calls;
}

void Gateway::noteStatement(EndpointKey endpoint, const EndpointStatement &statement,
                            const std::string &requestId)
{
    const std::string id = nameOf(endpoint);
    if (statement.leaving && noteLeaving(endpoint, kFromAnswer, requestId))
        mesh_.sendLeavingEndpoints({endpoint});
    if (statement.quietFor) {
        endpoints_.noteQuiet(endpoint, steadyNow() + *statement.quietFor);
        counters_.quietEndpoints.Increment();
        logEvent(LogLevel::Info, "endpoint_quiet",
                 {{"endpoint", id},
                  {"request", requestId},
                  {"for_ms", std::to_string(statement.quietFor->count())}});
    }
    if (statement.answered)
        noteLimit({endpoint, statement.requestsPerSecond, steadyNow()}, kFromAnswer, requestId);
    if (statement.coldFor)
        noteColdAnswer(endpoint, *statement.coldFor);
    if (!statement.unreadable.empty() && endpoints_.noteUnreadable(endpoint)) {
        logEvent(LogLevel::Warning, "endpoint_statement_unreadable",
                 {{"endpoint", id}, {"request", requestId}, {"field", statement.unreadable}});
    }
}

bool Gateway::noteLeaving(EndpointKey endpoint, const char *source, const std::string &requestId)
{
    if (!endpoints_.noteLeaving(endpoint))
        return false;
    counters_.leavingEndpoints(source).Increment();
    prefixCache_.forget(endpoint);
    if (const EndpointRow *row = endpoints_.find(endpoint))
        pool_.closeIdle(row->record.address);
    logEvent(LogLevel::Info, "endpoint_leaving",
             {{"endpoint", nameOf(endpoint)}, {"request", requestId}, {"source", source}});
    return true;
}

void Gateway::noteLimit(const EndpointLimit &limit, const char *source,
                        const std::string &requestId)
{
    if (!limits_.note(limit))
        return;
    logEvent(LogLevel::Info, "endpoint_limit",
             {{"endpoint", nameOf(limit.endpoint)},
              {"request", requestId},
              {"source", source},
              {"per_s",
               limit.requestsPerSecond ? fmt::format("{}", *limit.requestsPerSecond) : "none"}});
    if (std::string_view(source) == kFromAnswer)
        mesh_.sendLimit(limit);
    assignLimitOwnersSoon();
}

void Gateway::assignLimitOwners()
{
    limitTimer_.cancel();
    limitTimerArmed_ = false;
    limits_.assignOwners(daemonKeys(), steadyNow());
    updateColdLimits();
    scheduleDispatch();
}

std::vector<std::uint64_t> Gateway::daemonKeys() const
{
    std::vector<std::uint64_t> daemons;
    if (!draining_)
        daemons.push_back(fnv1a64(settings_.peers.ip));
    for (const auto &[ip, peer] : mesh_.peers()) {
        if (peer.alive && !peer.leaving)
            daemons.push_back(fnv1a64(ip));
    }
    return daemons;
}

void Gateway::assignLimitOwnersSoon()
{
    if (std::exchange(limitTimerArmed_, true))
        return;
    limitTimer_.expires_after(kOwnerDelay);
    limitTimer_.async_wait([this](const asio::error_code &error) {
        if (!error)
            assignLimitOwners();
    });
}

bool Gateway::mayStart(const Attempt &attempt) const
{
    const TimePoint now = steadyNow();
    const auto accepts = [&](EndpointKey key) { return endpoints_.accepts(key, now); };
    return accepts(attempt.endpoint) && std::ranges::all_of(attempt.helperKeys, accepts);
}

} // namespace cicadafork::gateway
