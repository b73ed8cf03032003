// Placing requests, and the queue of those that wait for an endpoint.

#include "base/jitter.h"
#include "base/log.h"
#include "gateway/gateway.h"

#include <fmt/format.h>

#include <algorithm>
#include <tuple>

namespace cicadafork::gateway {

namespace {

// Pump at most this often; requests that wait are looked at in order, the first ones first.
constexpr Millis kPumpInterval{4};
constexpr Millis kPumpSpread{16};
// Time between the looks of two daemons, so that each knows what the one before has placed.
constexpr Millis kPumpPerDaemon{2};
constexpr std::size_t kPumpTries = 24;
// A request that waits longer than this for an endpoint is told when to come back.
constexpr Millis kLongestWait{2500};
constexpr Millis kLongestCallWait{250};

// A plain call takes some tens of milliseconds, a short stream about two seconds; a slot becomes
// free sooner than that.
constexpr Millis kSoonestCallReturn{30};
constexpr Millis kLatestCallReturn{90};
constexpr Millis kSoonestStreamReturn{300};
constexpr Millis kLatestStreamReturn{900};
// Callers follow at most a third of the time that they have left: 15 s for the longest prompts.
constexpr Millis kLongestReturn{4000};
// The latest return, as a multiple of the time in which endpoints will have read what they have.
constexpr double kReturnSpread = 1.5;

} // namespace

std::vector<EndpointView> Gateway::viewsFor(const Exchange &exchange) const
{
    const TimePoint now = steadyNow();
    auto views = endpoints_.views(
            exchange.service, settings_.failureDomain, incarnation_, exchange.triedEndpoints,
            [this](const std::string &domain) { return mesh_.seemsCutOff(domain); }, loadTracker_,
            now);
    if (!views.empty())
        return views;
    // All endpoints of the service have been tried: any of them is better than none.
    return endpoints_.views(
            exchange.service, settings_.failureDomain, incarnation_, {},
            [](const auto &) { return false; }, loadTracker_, now);
}

const EngineModel *Gateway::engineFor(const Exchange &exchange) const
{
    const auto service = exchange.config->services.find(exchange.service);
    if (service == exchange.config->services.end() || !service->second.engine
        || exchange.fields.promptTokens == 0)
        return nullptr;
    return &*service->second.engine;
}

PlacementRequest Gateway::placementRequest(const Exchange &exchange) const
{
    const TimePoint now = steadyNow();
    PlacementRequest request;
    request.promptTokens = exchange.fields.promptTokens;
    request.answerTokens = exchange.fields.answerHint.value_or(exchange.fields.maxAnswerTokens);
    request.maxEventGap = exchange.route.maxEventGap;
    request.untilObjective = exchange.objective - now;
    // A stream that goes on is awaited as eagerly as one that begins.
    if (exchange.state == ExchangeState::Relaying)
        request.untilObjective = FloatMillis(exchange.route.objective);
    request.untilDeadline = exchange.deadline - now;
    return request;
}

Placement Gateway::place(const Exchange &exchange) const
{
    const std::vector<EndpointView> views = viewsFor(exchange);
    if (views.empty()) {
        Placement none;
        none.reason = "no endpoint is known";
        return none;
    }
    const EngineModel *engine = engineFor(exchange);
    return engine ? placeStream(placementRequest(exchange), *engine, views)
                  : placeCall(views, incarnation_ + exchange.id);
}

bool Gateway::tryPlace(Exchange &exchange)
{
    if (steadyNow() < exchange.notBefore)
        return false;
    const Placement placement = place(exchange);
    switch (placement.outcome) {
    case PlacementOutcome::Send:
        send(exchange, placement);
        return true;
    case PlacementOutcome::Reject:
        endWithError(exchange, 502, placement.reason);
        return false;
    case PlacementOutcome::Wait:
        break;
    }
    return false;
}

void Gateway::enqueue(Exchange &exchange)
{
    if (std::ranges::find(waiting_, exchange.id) != waiting_.end())
        return;
    const TimePoint now = steadyNow();
    const bool stream = exchange.route.kind == RouteKind::Stream;
    const Millis longest
            = stream ? std::max(kLongestWait, exchange.route.objective) : kLongestCallWait;
    exchange.queueDeadline = now + longest;
    waiting_.push_back(exchange.id);
    WaitReasons reasons;
    if (const EngineModel *engine = engineFor(exchange))
        reasons = explainWait(placementRequest(exchange), *engine, viewsFor(exchange));
    logEvent(LogLevel::Info, "queued",
             {{"request", exchange.requestId},
              {"route", exchange.route.name},
              {"waiting", std::to_string(waiting_.size())},
              {"prompt_tokens", std::to_string(exchange.fields.promptTokens)},
              {"endpoints", std::to_string(reasons.endpoints)},
              {"unusable", std::to_string(reasons.unusable)},
              {"others_would_be_late", std::to_string(reasons.slack)},
              {"others_would_pause", std::to_string(reasons.gap)},
              {"heads", std::to_string(reasons.heads)}});
    armTimer(exchange);
    scheduleDispatch();
}

void Gateway::scheduleDispatch(bool ownSlot)
{
    if (waiting_.empty())
        return;
    // Every daemon hears of a slot that a peer has freed. Whoever looks first tells the others
    // within two milliseconds, so they look at different times.
    const Millis spread = std::max(kPumpSpread, kPumpPerDaemon * static_cast<int>(daemons()));
    const Millis delay = ownSlot ? kPumpInterval : randomMillis(kPumpInterval, spread);
    const TimePoint next = steadyNow() + delay;
    if (dispatchScheduled_ && dispatchTimer_.expiry() <= next)
        return;
    dispatchScheduled_ = true;
    dispatchTimer_.expires_at(next);
    dispatchTimer_.async_wait([this](const asio::error_code &error) {
        if (error)
            return;
        dispatchScheduled_ = false;
        dispatchWaiting();
    });
}

void Gateway::dispatchWaiting()
{
    const TimePoint now = steadyNow();
    // Urgent ones first, then those that can still be on time by least slack, then late ones.
    const auto rank = [&](std::uint64_t id) {
        const Exchange &exchange = *exchanges_.at(id);
        const bool late = exchange.objective <= now;
        return std::make_tuple(exchange.priority, late, exchange.objective);
    };
    std::ranges::sort(waiting_, [&](auto left, auto right) { return rank(left) < rank(right); });
    const std::vector<std::uint64_t> ids = waiting_;
    std::size_t tries = 0;
    for (const std::uint64_t id : ids) {
        Exchange *exchange = find(id);
        if (!exchange || ++tries > kPumpTries)
            continue;
        if (!tryPlace(*exchange))
            continue;
        counters_.waitSeconds.Observe(
                std::chrono::duration<double>(steadyNow() - exchange->arrivedAt).count());
        // One at a time: an endpoint that becomes free is seen by all daemons at once.
        if (engineFor(*exchange) != nullptr)
            break;
    }
    // Time alone changes what can be placed, for example when a request becomes late.
    scheduleDispatch(false);
}

Millis Gateway::suggestedRetryAfter(const Exchange &exchange) const
{
    if (exchange.route.kind != RouteKind::Stream)
        return randomMillis(kSoonestCallReturn, kLatestCallReturn);
    Millis latest = kLatestStreamReturn;
    const EngineModel *engine = engineFor(exchange);
    if (engine && isLongPrefill(*engine, exchange.fields.promptTokens)) {
        const FloatMillis backlog = meanBacklog(viewsFor(exchange));
        latest = std::clamp(std::chrono::duration_cast<Millis>(kReturnSpread * backlog), latest,
                            kLongestReturn);
    }
    // Callers that were refused together do not return together.
    return randomMillis(std::max(kSoonestStreamReturn, latest / 2), latest);
}

} // namespace cicadafork::gateway
