// Gateway: placement of requests and the queue of requests that wait for an endpoint.

#include "base/hash.h"
#include "base/jitter.h"
#include "base/log.h"
#include "gateway/dispatchorder.h"
#include "gateway/gateway.h"
#include "overload/fairorder.h"
#include "overload/turn.h"

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
// If no allowed region has an endpoint in service: an endpoint that could not be reached is tried
// again after 250 ms at the earliest, and one that starts registers within seconds.
constexpr Millis kMinRegionRetryAfter{500};
constexpr Millis kMaxRegionRetryAfter{1500};
// Callers wait for at most a third of their remaining time, which is 15 s for the longest prompts.
constexpr Millis kMaxLongPromptRetryAfter{4000};
// For a long prompt, the upper end of the range as a multiple of the mean prefill backlog.
constexpr double kRetryAfterBacklogFactor = 1.5;

overload::ServiceId serviceId(std::string_view service)
{
    return static_cast<overload::ServiceId>(fnv1a64(service));
}
// Requests that wait at other daemons, which do not tell yet.
constexpr unsigned kWaitingElsewhere = 0;

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
            steadyNow(), regionFilter(exchange)));
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
            [](const auto &) { return false; }, loadTracker_, steadyNow(), regionFilter(exchange)));
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
    request.objective = exchange.route.objective;
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
    std::vector<EndpointView> views = viewsFor(exchange);
    if (leaveToOthers(exchange, kWaitingElsewhere, views) > 0)
        counters_.yields.Increment();
    if (views.empty()) {
        Placement none;
        none.reason = "no endpoint is known";
        return none;
    }
    const EngineModel *engine = engineFor(exchange);
    if (!engine)
        return placeCall(views, incarnation_ + exchange.id);
    const PlacementRequest request = placementRequest(exchange);
    const unsigned waitingElsewhere = restrictToTurn(exchange, views);
    // The load of endpoints in other failure domains is known only with a delay.
    Placement placement = mesh_.announcesJobsGlobally()
                                  ? placeStream(request, *engine, views)
                                  : placeStreamInDomainFirst(request, *engine, views);
    if (settings_.prefixPlacement)
        placement = prefixCache_.prefer(exchange.service, exchange.fields, placement, request,
                                        *engine, views, steadyNow());
    placement.waitingElsewhere = waitingElsewhere;
    return placement;
}

bool Gateway::sharesQueue(const Exchange &exchange) const
{
    const EngineModel *engine = engineFor(exchange);
    return settings_.queueScope == QueueScope::Fleet && engine
           && !isLongPrefill(*engine, exchange.fields.promptTokens);
}

overload::WaitingRank Gateway::rankOf(const Exchange &exchange) const
{
    return {.priority = exchange.priority,
            .objective = exchange.objective,
            .tie = static_cast<std::uint32_t>(mix64(incarnation_ ^ exchange.id))};
}

unsigned Gateway::restrictToTurn(const Exchange &exchange, std::vector<EndpointView> &views) const
{
    // A stream that goes on needs its slot sooner than any request that waits.
    if (!sharesQueue(exchange) || exchange.state == ExchangeState::Relaying)
        return 0;
    const TimePoint now = steadyNow();
    const std::vector<overload::WaitingRank> others
            = demands_.waiting(serviceId(exchange.service), now);
    if (others.empty())
        return 0;
    const overload::OwnRequest own{rankOf(exchange),
                                   std::ranges::find(waiting_, exchange.id) != waiting_.end()};
    // In a large fleet, daemons know what waits in their own failure domain only.
    const bool allDomains = mesh_.announcesJobsGlobally();
    const double draw = randomShare();
    for (EndpointView &view : views) {
        if (!allDomains && !view.inOwnDomain)
            continue;
        const overload::Turn turn = overload::turnAt(view.key, own, others, now);
        const auto sinceChange = std::chrono::duration_cast<Millis>(now - view.load.lastChange);
        // Slots are not left to the daemon whose request has ended there, as for requests that wait
        // at one daemon only.
        view.load.sequences -= view.load.reserved;
        view.receives = view.receives && overload::mayTake(turn, sinceChange, draw);
    }
    return static_cast<unsigned>(others.size());
}

std::vector<overload::ServiceDemand> Gateway::ownDemands()
{
    std::map<std::string_view, std::vector<const Exchange *>> byService;
    if (settings_.queueScope == QueueScope::Fleet) {
        for (const std::uint64_t id : waiting_) {
            const auto found = exchanges_.find(id);
            if (found != exchanges_.end() && sharesQueue(*found->second))
                byService[found->second->service].push_back(found->second.get());
        }
    }
    const TimePoint now = steadyNow();
    std::vector<overload::ServiceDemand> demands;
    for (auto &[service, waiting] : byService) {
        std::ranges::sort(waiting, [&](const Exchange *left, const Exchange *right) {
            return overload::comesBefore(rankOf(*left), rankOf(*right), now);
        });
        overload::ServiceDemand demand{.service = serviceId(service),
                                       .waiting = static_cast<std::uint32_t>(waiting.size())};
        for (std::size_t i = 0; i < std::min(waiting.size(), overload::kMaxRanks); ++i)
            demand.first.push_back(rankOf(*waiting[i]));
        demands.push_back(std::move(demand));
    }
    demandsToldAt_ = now;
    toldDemands_ = !demands.empty();
    return demands;
}

void Gateway::tellDemands()
{
    if (settings_.queueScope == QueueScope::Fleet && (toldDemands_ || !waiting_.empty()))
        mesh_.sendDemands();
}

bool Gateway::othersWait() const
{
    if (settings_.queueScope != QueueScope::Fleet)
        return false;
    const TimePoint now = steadyNow();
    return std::ranges::any_of(waiting_, [&](std::uint64_t id) {
        const auto found = exchanges_.find(id);
        return found != exchanges_.end()
               && demands_.countWaiting(serviceId(found->second->service), now) > 0;
    });
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
    if (const std::optional<bool> handedOver = tryHandOver(exchange))
        return *handedOver;
    if (refuseByRegion(exchange))
        return false;
    const std::optional<Placement> booked = placeBooked(exchange);
    const Placement placement = booked ? *booked : place(exchange);
    switch (placement.outcome) {
    case PlacementOutcome::Send:
        send(exchange, placement);
        return true;
    case PlacementOutcome::Reject:
        book(exchange);
        if (!exchange.booking)
            endWithError(exchange, 502, placement.reason);
        return false;
    case PlacementOutcome::Wait:
        book(exchange);
        break;
    }
    if (endpoints_.anyAccepts(exchange.service, limits_, now, regionFilter(exchange)))
        return false;
    const ServiceAvailability availability
            = endpoints_.availability(exchange.service, limits_, now, regionFilter(exchange));
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

Millis Gateway::maxDispatchDelay() const
{
    return std::max(kMaxDispatchDelay,
                    kDispatchDelayPerDaemon * static_cast<int>(domainDaemonCount()));
}

unsigned Gateway::leaveToOthers(const Exchange &exchange, unsigned waitingElsewhere,
                                std::vector<EndpointView> &views) const
{
    // The caller of a stream that goes on waits for its next event.
    if (waitingElsewhere == 0 || exchange.workspaceKey == 0
        || exchange.state == ExchangeState::Relaying)
        return 0;
    const TimePoint now = steadyNow();
    const bool plain = engineFor(exchange) == nullptr;
    overload::YieldFacts facts{
            .share = workspaceUsage_.share(exchange.service, exchange.workspaceKey, now),
            .waitingElsewhere = waitingElsewhere,
            .dispatchInterval = maxDispatchDelay()};
    unsigned left = 0;
    for (EndpointView &view : views) {
        const unsigned capacity = plain ? callCapacity(view.slots) : view.slots;
        if (!view.receives || view.load.sequences >= capacity)
            continue;
        const unsigned free = capacity - view.load.sequences;
        facts.freeFor = view.inOwnDomain || mesh_.announcesJobsGlobally()
                                ? loadTracker_.freeFor(view.key, free, now)
                                : overload::assumedFreeFor(free, capacity);
        if (!overload::mustYield(facts))
            continue;
        view.receives = false;
        ++left;
    }
    return left;
}

bool Gateway::isLate(const Exchange &exchange, TimePoint now) const
{
    const EngineModel *engine = engineFor(exchange);
    return engine ? !canBeOnTime(placementRequest(exchange), *engine) : exchange.objective <= now;
}

double Gateway::costOf(const Exchange &exchange) const
{
    const auto service = exchange.config->services.find(exchange.service);
    const EngineModel *engine = service != exchange.config->services.end() && service->second.engine
                                        ? &*service->second.engine
                                        : nullptr;
    return overload::requestCost(
            engine, exchange.fields.promptTokens,
            exchange.fields.answerHint.value_or(exchange.fields.maxAnswerTokens));
}

void Gateway::countUsage(const Job &job)
{
    if (workspaceUsage_.isCounted(job.id))
        return;
    const auto head = std::ranges::find_if(job.parts, &JobPart::decodes);
    const EndpointRow *row = head == job.parts.end() ? nullptr : endpoints_.find(head->endpoint);
    if (!row || !config_) {
        // A full list names the job again if it still runs when the endpoint is known.
        counters_.unknownUsage.Increment();
        return;
    }
    const auto service = config_->services.find(row->record.service);
    const EngineModel *engine = service != config_->services.end() && service->second.engine
                                        ? &*service->second.engine
                                        : nullptr;
    workspaceUsage_.add(job.id, row->record.service, job.workspace,
                        overload::requestCost(engine, job.promptTokens, job.answerTokens),
                        steadyNow());
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
            = endpoints_.availability(exchange.service, limits_, now, regionFilter(exchange));
    const double usageShare
            = workspaceUsage_.share(exchange.service, exchange.workspaceKey, now).fraction();
    logEvent(LogLevel::Info, "queued",
             {{"request", exchange.requestId},
              {"route", exchange.route.name},
              {"workspace", exchange.workspace},
              {"usage_share", fmt::format("{:.3f}", usageShare)},
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
    tellDemands();
    scheduleDispatch();
}

void Gateway::scheduleDispatch(bool ownSlotFreed)
{
    if (waiting_.empty())
        return;
    // Every daemon learns of a slot that a peer has freed. A random delay makes the daemons
    // dispatch at different times: the placement of the first reaches the others within 2 ms.
    // If the daemons know what waits at the others, they take turns.
    const Millis delay = ownSlotFreed || othersWait()
                                 ? kMinDispatchDelay
                                 : randomMillis(kMinDispatchDelay, maxDispatchDelay());
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
    const bool shared = waiting_.size() > 1;
    for (const std::uint64_t id : waiting_) {
        const Exchange *exchange = find(id);
        if (!exchange || now < exchange->notBefore)
            continue;
        waiting.push_back({.id = id,
                           .service = exchange->service,
                           .priority = exchange->priority,
                           .late = isLate(*exchange, now),
                           .objective = exchange->objective});
        if (!shared || exchange->workspaceKey == 0)
            continue;
        waiting.back().workspace = exchange->workspaceKey;
        waiting.back().used = workspaceUsage_.used(exchange->service, exchange->workspaceKey, now);
        waiting.back().cost = costOf(*exchange);
    }
    std::unordered_set<std::string> servicesWithStream;
    for (const std::uint64_t id :
         dispatchOrder(waiting, lastDispatchedService_, kMaxRequestsPerDispatch)) {
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
    if (!waiting_.empty() && steadyNow() - demandsToldAt_ >= overload::kDemandInterval)
        tellDemands();
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
    if (!reachesAllowedRegion(exchange))
        return randomMillis(kMinRegionRetryAfter, kMaxRegionRetryAfter);
    const bool stream = exchange.route.kind == RouteKind::Stream;
    const TimePoint now = steadyNow();
    const ServiceAvailability availability
            = endpoints_.availability(exchange.service, limits_, now, regionFilter(exchange));
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
