// Gateway: requests whose endpoint is silent, and the endpoints that are to take over.

#include "base/log.h"
#include "gateway/gateway.h"

#include <fmt/format.h>

#include <algorithm>

namespace cicadafork::gateway {

namespace {

// Another endpoint may take over a repeatable request after this time without progress. It is less
// than the 2 s after which callers disconnect.
constexpr Millis kSilenceTimeout{1200};
// An endpoint that is silent for this time longer than expected may be out of reach.
constexpr Millis kReachCheckTimeout{250};
// Time between two searches for an endpoint that can take over from a silent one.
constexpr Millis kSilenceCheckInterval{100};
// The same while this daemon is cut off from the endpoints.
constexpr Millis kSilenceTimeoutIfCutOff{400};
// After the first event, the timeout is at least this multiple of the route's largest event gap.
constexpr int kSilenceGapFactor = 4;
constexpr int kSilenceGapFactorIfCutOff = 2;
// Before the first event, this multiple of its expected time is added to the timeout.
constexpr double kSilenceExpectedFactor = 2;

std::string silentTime(const Attempt &attempt, TimePoint now)
{
    return fmt::format("{:.0f}", FloatMillis(now - attempt.lastProgressAt).count());
}

} // namespace

Millis Gateway::silenceLimit(const Exchange &exchange) const
{
    // A peer watches the endpoints itself, so only its own end counts.
    if (isHandedOver(exchange)) {
        const auto peer = mesh_.peers().find(exchange.attempt->peer);
        const bool alive = peer != mesh_.peers().end() && peer->second.alive;
        return alive ? std::chrono::ceil<Millis>(exchange.deadline - exchange.attempt->sentAt)
                     : Millis(0);
    }
    const bool cutOff = reach_.isCutOff(exchange.service);
    const Millis timeout = cutOff ? kSilenceTimeoutIfCutOff : kSilenceTimeout;
    const Job *job = loadTracker_.find(exchange.attempt->job);
    if (exchange.eventsRelayed > 0 && job && job->started) {
        const int factor = cutOff ? kSilenceGapFactorIfCutOff : kSilenceGapFactor;
        return std::max(timeout, factor * exchange.route.maxEventGap);
    }
    const auto expected = std::chrono::duration_cast<Millis>(kSilenceExpectedFactor
                                                             * exchange.attempt->expected);
    const Millis limit = expected + timeout;
    if (exchange.route.kind == RouteKind::Stream)
        return limit;
    // The other half of the time is for another endpoint.
    const TimePoint sentAt = exchange.attempt->sentAt;
    return std::min(limit, std::chrono::duration_cast<Millis>((exchange.deadline - sentAt) / 2));
}

Millis Gateway::reachCheckLimit(const Exchange &exchange) const
{
    if (isHandedOver(exchange))
        return std::chrono::ceil<Millis>(exchange.deadline - exchange.attempt->sentAt);
    const Job *job = loadTracker_.find(exchange.attempt->job);
    if (exchange.eventsRelayed > 0 && job && job->started)
        return kReachCheckTimeout + kSilenceGapFactorIfCutOff * exchange.route.maxEventGap;
    return kReachCheckTimeout
           + std::chrono::duration_cast<Millis>(kSilenceExpectedFactor
                                                * exchange.attempt->expected);
}

void Gateway::noteProgress(const Exchange &exchange, Attempt &attempt)
{
    const TimePoint now = steadyNow();
    if (attempt.silent) {
        attempt.silent = false;
        attempt.nextSilenceCheck = {};
        endpoints_.noteAlive(attempt.endpoint);
        logEvent(LogLevel::Info, "endpoint_resumed",
                 {{"request", exchange.requestId},
                  {"endpoint", attempt.endpointId},
                  {"silent_ms", silentTime(attempt, now)}});
    }
    attempt.reachChecked = false;
    attempt.lastProgressAt = now;
}

void Gateway::onSilence(Exchange &exchange)
{
    const TimePoint now = steadyNow();
    Attempt &attempt = *exchange.attempt;
    const bool firstCheck = !attempt.silent;
    attempt.silent = true;
    attempt.nextSilenceCheck = now + kSilenceCheckInterval;
    if (firstCheck) {
        // Requests that arrive now go elsewhere.
        endpoints_.noteFailure(attempt.endpoint, EndpointFailure::NoAnswer, now);
        counters_.silences.Increment();
    }
    Placement placement;
    std::string peer;
    FailureFacts facts = failureFacts(exchange, true, now);
    const bool returns = facts.sendCount >= facts.maxEndpoints && exchange.retriesOfLender > 0;
    facts.maxEndpoints += exchange.retriesOfLender;
    facts.retryBudgetLeft = facts.retryBudgetLeft || returns; // The lender's counts then.
    if (recoverFrom(facts) == Recovery::Retry) {
        const std::vector<HandoverPeer> candidates = handoverCandidates(exchange);
        if (const HandoverPeer *chosen = choosePeer(candidates, incarnation_ + exchange.id))
            peer = chosen->ip;
        else if (candidates.empty())
            placement = place(exchange);
    }
    const bool canMove = !peer.empty()
                         || (placement.outcome == PlacementOutcome::Send
                             && endpoints_.isAvailable(placement.head, now)
                             && !isOpenAt(exchange, placement.head));
    if (firstCheck || canMove) {
        logEvent(LogLevel::Info, "endpoint_silent",
                 {{"request", exchange.requestId},
                  {"endpoint", attempt.endpointId},
                  {"silent_ms", silentTime(attempt, now)},
                  {"action", !canMove  ? "wait"
                             : returns ? "return"
                                       : "move"}});
    }
    if (!canMove) {
        armTimer(exchange);
        return;
    }
    counters_.attemptFailure("silent").Increment();
    exchange.mayHaveRun = true;
    if (returns) {
        endWithError(exchange, 504, "silent");
        return;
    }
    exchange.silentAttempts.push_back(std::move(exchange.attempt));
    if (peer.empty())
        send(exchange, placement);
    else
        handOver(exchange, peer);
}

void Gateway::settleOn(Exchange &exchange, Attempt &attempt)
{
    if (exchange.silentAttempts.empty())
        return;
    if (&attempt == exchange.attempt.get()) {
        if (exchange.state == ExchangeState::Relaying)
            counters_.resumes.Increment();
    } else {
        const auto settled = std::ranges::find(exchange.silentAttempts, &attempt,
                                               [](const auto &open) { return open.get(); });
        std::swap(exchange.attempt, *settled);
    }
    std::erase_if(exchange.silentAttempts, [](const auto &open) { return !open; });
    for (const auto &other : exchange.silentAttempts)
        noteJobEnded(*other);
    exchange.silentAttempts.clear();
}

void Gateway::endSilentAttempt(Exchange &exchange, const Attempt &attempt, EndpointFailure failure,
                               const char *reason)
{
    const TimePoint now = steadyNow();
    endpoints_.noteFailure(attempt.endpoint, failure, now);
    counters_.attemptFailure(reason).Increment();
    logEvent(LogLevel::Info, "silent_attempt_failed",
             {{"request", exchange.requestId},
              {"endpoint", attempt.endpointId},
              {"reason", reason},
              {"status", std::to_string(attempt.head.status)},
              {"silent_ms", silentTime(attempt, now)}});
    noteJobEnded(attempt);
    std::erase_if(exchange.silentAttempts,
                  [&](const auto &open) { return open.get() == &attempt; });
}

} // namespace cicadafork::gateway
