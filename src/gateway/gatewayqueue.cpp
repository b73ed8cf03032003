// Gateway: placement of requests and the queue of requests that wait for an endpoint.

#include "base/jitter.h"
#include "base/log.h"
#include "gateway/dispatchorder.h"
#include "gateway/gateway.h"

#include <fmt/format.h>

#include <algorithm>
#include <unordered_set>

namespace cicadafork::gateway {

namespace {

// Shortest time from a trigger to the dispatch of the waiting requests.
constexpr Millis kMinDispatchDelay{4};
// Longest time, unless the failure domain has so many daemons that kDispatchDelayPerDaemon requires
// more. Daemons of other failure domains prefer other endpoints.
constexpr Millis kMaxDispatchDelay{16};
// Average time between the dispatches of two daemons, so that each has heard what the previous one
// placed.
constexpr Millis kDispatchDelayPerDaemon{2};
// Bounds the time of a dispatch, which follows another within milliseconds: each try looks at all
// endpoints of the service.
constexpr std::size_t kMaxRequestsPerDispatch = 24;

// Time between two reports of the endpoints' load to other failure domains by a primary reader, and
// the number of such times between those of a secondary reader.
constexpr Millis kLoadReportInterval{250};
constexpr unsigned kRoundsPerSecondaryReport = 4;

// Range of Retry-After. A plain call takes some tens of milliseconds and a short stream about two
// seconds; with several in progress, a slot becomes free sooner than that.
constexpr Millis kMinCallRetryAfter{30};
constexpr Millis kMaxCallRetryAfter{90};
constexpr Millis kMinStreamRetryAfter{300};
constexpr Millis kMaxStreamRetryAfter{900};
// Callers wait for at most a third of their remaining time, which is 15 s for the longest prompts.
constexpr Millis kMaxLongPromptRetryAfter{4000};
// For a long prompt, the upper end of the range as a multiple of the mean prefill backlog.
constexpr double kRetryAfterBacklogFactor = 1.5;

WaitFacts waitFacts(const Exchange &exchange)
{
    return {.stream = exchange.route.kind == RouteKind::Stream,
            .relaying = exchange.state == ExchangeState::Relaying,
            .objective = exchange.route.objective,
            .maxEventGap = exchange.route.maxEventGap,
            .arrivedAt = exchange.arrivedAt,
            .deadline = exchange.deadline};
}

} // namespace

// A part of a divided prompt comes from the endpoint that receives the request, so it does not
// count against a limit of requests from daemons.
std::vector<EndpointView> Gateway::withLimits(std::vector<EndpointView> views) const
{
    const TimePoint now = steadyNow();
    for (EndpointView &view : views)
        view.receives = limits_.allows(view.key, now);
    return views;
}

std::vector<EndpointView> Gateway::untriedViews(const Exchange &exchange) const
{
    return withLimits(endpoints_.views(
            exchange.service, settings_.failureDomain, incarnation_, exchange.triedEndpoints,
            [this](const std::string &domain) { return mesh_.seemsCutOff(domain); }, loadTracker_,
            steadyNow()));
}

std::vector<EndpointView> Gateway::viewsFor(const Exchange &exchange) const
{
    auto views = untriedViews(exchange);
    if (!views.empty())
        return views;
    // The request has tried every ready endpoint of the service. Trying one of them again is better
    // than not trying at all.
    return withLimits(endpoints_.views(
            exchange.service, settings_.failureDomain, incarnation_, {},
            [](const auto &) { return false; }, loadTracker_, steadyNow()));
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
    // A resumed stream gets the full objective again, as if it had arrived with its last event.
    if (exchange.state == ExchangeState::Relaying)
        request.untilObjective = exchange.lastEventAt + exchange.route.objective - now;
    request.untilDeadline = exchange.deadline - now;
    request.untilCallerLeaves = callerLeavesAt(waitFacts(exchange), now) - now;
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
    if (!engine)
        return placeCall(views, incarnation_ + exchange.id);
    const PlacementRequest request = placementRequest(exchange);
    // The load of endpoints in other failure domains is known only with a delay.
    const Placement placement = mesh_.announcesJobsGlobally()
                                        ? placeStream(request, *engine, views)
                                        : placeStreamInDomainFirst(request, *engine, views);
    if (!settings_.prefixPlacement)
        return placement;
    return prefixCache_.prefer(exchange.service, exchange.fields, placement, request, *engine,
                               views, steadyNow());
}

TimePoint Gateway::giveUpTime(const Exchange &exchange, TimePoint now) const
{
    const bool waits = std::ranges::find(waiting_, exchange.id) != waiting_.end();
    return std::min(exchange.deadline,
                    waits ? exchange.queueDeadline : endOfWait(waitFacts(exchange), now));
}

bool Gateway::tryPlace(Exchange &exchange)
{
    const TimePoint now = steadyNow();
    if (now < exchange.notBefore)
        return false;
    // A stream that goes on has not crashed the endpoint which wrote its first events.
    if (!crashWatch_.onTrial().empty() && exchange.state != ExchangeState::Relaying
        && !mayTry(partsOf(exchange), &exchange)) {
        endWithError(exchange, 502, "on_trial");
        return false;
    }
    if (returnToPeer(exchange))
        return false;
    if (const std::string peer = peerFor(exchange); !peer.empty()) {
        handOver(exchange, peer);
        return true;
    }
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
    if (endpoints_.anyAccepts(exchange.service, limits_, now))
        return false;
    const ServiceAvailability availability
            = endpoints_.availability(exchange.service, limits_, now);
    const WaitingFacts facts{.giveUp = giveUpTime(exchange, now),
                             .before = waitingFor(exchange.service),
                             .waits = std::ranges::find(waiting_, exchange.id) != waiting_.end()};
    if (decideByAvailability(availability, facts, now) == AvailabilityDecision::Refuse)
        endWithError(exchange, 502,
                     availability.quiet > 0 ? "endpoints_quiet" : "endpoints_limited");
    return false;
}

std::size_t Gateway::waitingFor(const std::string &service) const
{
    return static_cast<std::size_t>(std::ranges::count_if(waiting_, [&](std::uint64_t id) {
        const auto found = exchanges_.find(id);
        return found != exchanges_.end() && found->second->service == service;
    }));
}

void Gateway::enqueue(Exchange &exchange)
{
    if (std::ranges::find(waiting_, exchange.id) != waiting_.end())
        return;
    const TimePoint now = steadyNow();
    // Attempts of which nothing reached an endpoint are part of the wait, except within a stream:
    // breaking it off would be no refusal.
    const bool goesOn = exchange.queueDeadline != TimePoint{}
                        && exchange.queuedAfterSends == exchange.sendCount
                        && exchange.state != ExchangeState::Relaying;
    if (!goesOn)
        exchange.queueDeadline = endOfWait(waitFacts(exchange), now);
    exchange.queuedAfterSends = exchange.sendCount;
    waiting_.push_back(exchange.id);
    WaitReasons reasons;
    if (const EngineModel *engine = engineFor(exchange))
        reasons = explainWait(placementRequest(exchange), *engine, viewsFor(exchange));
    const ServiceAvailability availability
            = endpoints_.availability(exchange.service, limits_, now);
    logEvent(LogLevel::Info, "queued",
             {{"request", exchange.requestId},
              {"route", exchange.route.name},
              {"waiting", std::to_string(waiting_.size())},
              {"prompt_tokens", std::to_string(exchange.fields.promptTokens)},
              {"endpoints", std::to_string(reasons.endpoints)},
              {"quiet", std::to_string(availability.quiet)},
              {"limited", std::to_string(availability.limited + availability.leftToOthers)},
              {"leaving", std::to_string(availability.leaving)},
              {"unusable", std::to_string(reasons.unusable)},
              {"others_would_be_late", std::to_string(reasons.slack)},
              {"others_would_pause", std::to_string(reasons.gap)},
              {"heads", std::to_string(reasons.heads)}});
    armTimer(exchange);
    scheduleDispatch();
}

void Gateway::scheduleDispatch(bool ownSlotFreed)
{
    if (waiting_.empty())
        return;
    // Every daemon learns of a slot that a peer has freed. A random delay makes the daemons
    // dispatch at different times: the placement of the first reaches the others within 2 ms.
    const Millis maxDelay = std::max(
            kMaxDispatchDelay, kDispatchDelayPerDaemon * static_cast<int>(domainDaemonCount()));
    const Millis delay
            = ownSlotFreed ? kMinDispatchDelay : randomMillis(kMinDispatchDelay, maxDelay);
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
    std::vector<WaitingRequest> waiting;
    for (const std::uint64_t id : waiting_) {
        const Exchange *exchange = find(id);
        if (!exchange || now < exchange->notBefore)
            continue;
        waiting.push_back({.id = id,
                           .service = exchange->service,
                           .priority = exchange->priority,
                           .late = exchange->objective <= now,
                           .objective = exchange->objective});
    }
    std::unordered_set<std::string> servicesWithStream;
    for (const std::uint64_t id :
         dispatchOrder(std::move(waiting), lastDispatchedService_, kMaxRequestsPerDispatch)) {
        Exchange *exchange = find(id);
        if (!exchange || servicesWithStream.contains(exchange->service))
            continue;
        lastDispatchedService_ = exchange->service;
        if (!tryPlace(*exchange))
            continue;
        counters_.waitSeconds.Observe(
                std::chrono::duration<double>(steadyNow() - exchange->arrivedAt).count());
        // At most one per service, because all daemons see a freed endpoint at the same time.
        if (engineFor(*exchange) != nullptr && !isHandedOver(*exchange))
            servicesWithStream.insert(exchange->service);
    }
    // What can be placed also changes with time alone, for example when a request becomes late.
    scheduleDispatch(false);
}

void Gateway::armLoadReports()
{
    loadReportTimer_.expires_after(kLoadReportInterval);
    loadReportTimer_.async_wait([this](const asio::error_code &error) {
        if (error)
            return;
        ++loadReportRound_;
        const bool sends
                = isPrimaryReader_
                  || (announcesStoreChanges_ && loadReportRound_ % kRoundsPerSecondaryReport == 0);
        if (sends && !mesh_.announcesJobsGlobally())
            sendLoads();
        armLoadReports();
    });
}

void Gateway::sendLoads()
{
    const TimePoint now = steadyNow();
    std::vector<ReportedLoad> loads;
    for (const auto &[id, row] : endpoints_.rows()) {
        if (row.record.failureDomain == settings_.failureDomain)
            loads.push_back({row.key, loadTracker_.load(row.key, now)});
    }
    mesh_.sendLoads(loads);
}

Millis Gateway::suggestedRetryAfter(const Exchange &exchange) const
{
    const bool stream = exchange.route.kind == RouteKind::Stream;
    const TimePoint now = steadyNow();
    const ServiceAvailability availability
            = endpoints_.availability(exchange.service, limits_, now);
    if (availability.accepting == 0 && availability.quiet + availability.limited > 0) {
        const RetryAfterRange range
                = retryAfterQuiet(availability, stream ? kMaxStreamRetryAfter : kMaxCallRetryAfter,
                                  waitingFor(exchange.service), now);
        return randomMillis(range.earliest, range.latest);
    }
    if (!stream)
        return randomMillis(kMinCallRetryAfter, kMaxCallRetryAfter);
    Millis maxRetryAfter = kMaxStreamRetryAfter;
    const EngineModel *engine = engineFor(exchange);
    if (engine && isLongPrefill(*engine, exchange.fields.promptTokens)) {
        const FloatMillis backlog = meanBacklog(viewsFor(exchange));
        maxRetryAfter
                = std::clamp(std::chrono::duration_cast<Millis>(kRetryAfterBacklogFactor * backlog),
                             maxRetryAfter, kMaxLongPromptRetryAfter);
    }
    // Random, so that callers that were refused together do not retry together.
    return randomMillis(std::max(kMinStreamRetryAfter, maxRetryAfter / 2), maxRetryAfter);
}

} // namespace cicadafork::gateway
