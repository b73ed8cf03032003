#include "admission/queueadmission.h"

#include <algorithm>
#include <thread>

namespace cicadafork {

namespace {

constexpr std::size_t kTableRows = 4096;
constexpr Millis kCancelPoll{100};
/// Queue entries examined per service and pass, and how many of them may remain blocked before the
/// pass ends.
constexpr std::size_t kMaxExamined = 64;
constexpr std::size_t kMaxExaminedBlocked = 16;
/// Limits the time that a caller spends on the requests of other callers; the next tick continues.
constexpr int kMaxDispatchPasses = 8;
constexpr Millis kRateRowIdleTimeout{60'000};

Millis difference(TimePoint later, TimePoint earlier)
{
    return std::chrono::duration_cast<Millis>(later - earlier);
}

bool hasPlacement(const RouteDecision &decision)
{
    return decision.outcome == RouteOutcome::Endpoint || decision.outcome == RouteOutcome::Group;
}

} // namespace

QueueAdmission::QueueAdmission(Fleet &fleet, const Settings &settings, PrefixIndex &prefixes,
                               Metrics &metrics, std::uint64_t seed,
                               const OutlierDetector *outliers)
    : fleet_(fleet)
    , settings_(settings)
    , prefixes_(prefixes)
    , outliers_(outliers)
    , queue_(settings.limits.maxQueued)
    , services_(kTableRows)
    , rates_(kTableRows)
    , retries_(settings.limits.retryShare, kTableRows)
    , groups_(kTableRows)
    , placed_(metrics.counter("cicadafork_admission_placed_total", "Attempts given an endpoint"))
    , retriesRefused_(metrics.counter("cicadafork_admission_retries_refused_total",
                                      "Retries refused by the retry budget"))
    , queueLength_(metrics.gauge("cicadafork_admission_queue_length", "Requests that wait"))
{
    for (std::size_t i = 0; i < randomShards_.size(); ++i)
        randomShards_[i].random.seed(seed + i);
    for (int i = 0; i <= static_cast<int>(RefusalReason::Cancelled); ++i) {
        const auto reason = static_cast<RefusalReason>(i);
        refusals_[reason] = &metrics.counter("cicadafork_admission_refused_total",
                                             "Requests refused", {{"reason", toString(reason)}});
    }
}

template <class Function>
auto QueueAdmission::withRandom(Function function)
{
    // Threads share several generators, so that they rarely wait for each other.
    const std::size_t slot = std::hash<std::thread::id>()(std::this_thread::get_id());
    RandomShard &chosen = randomShards_[slot % randomShards_.size()];
    const std::lock_guard lock(chosen.mutex);
    return function(chosen.random);
}

PlaceResult QueueAdmission::place(const PlacementRequest &request,
                                  const std::function<bool()> &cancelled)
{
    const TimePoint now = steadyNow();
    if (std::optional<Refusal> refusal = refuseByRate(request, now))
        return countRefusal(std::move(*refusal));
    const FleetView view = viewFor(request, now, !request.retry);
    const RouteDecision decision = decide(request.route, view);
    const bool group = needsGroup(request.route, view);
    std::uint64_t order = 0;
    double ahead = 0;
    bool blocked = false;
    {
        const std::lock_guard lock(mutex_);
        if (group && decision.outcome != RouteOutcome::Impossible)
            order = groupOrder(request.requestId, now);
        if (queue_.hasService(request.service)) {
            ahead = queue_.tokensAhead(request.service, request.route.priority);
            // Urgent requests overtake all but urgent ones. The others queue behind any waiting
            // request, so that dispatchService() can limit what is backfilled ahead of it.
            blocked = request.route.priority != Priority::Urgent
                      || queue_.hasAtLeastPriority(request.service, Priority::Urgent)
                      || (group && queue_.hasGroup(request.service));
        }
    }
    const Millis queueing = estimatedPrefillTime(ahead, view, request.route);
    const Millis remaining = difference(request.deadline, now);
    if (std::optional<Refusal> refusal = withRandom([&](Random &random) {
            return refuseByDecision(decision, queueing, remaining, random);
        }))
        return countRefusal(std::move(*refusal));
    if (hasPlacement(decision) && !blocked)
        return commit(request, view, decision, now);
    return enqueue(request, view, decision, order, cancelled, now);
}

std::optional<Refusal> QueueAdmission::refuseByRate(const PlacementRequest &request, TimePoint now)
{
    if (request.retry || request.workspaceRateLimit <= 0)
        return std::nullopt;
    const double rate = request.workspaceRateLimit;
    Millis delay{0};
    {
        const std::lock_guard lock(mutex_);
        if (rates_.size() >= rates_.limit())
            rates_.eraseIf([&](const std::string &, const TokenBucket &bucket) {
                return now - bucket.refilled > kRateRowIdleTimeout;
            });
        const bool known = rates_.find(request.workspace) != nullptr;
        if (TokenBucket *bucket = rates_.insert(request.workspace)) {
            const double capacity = std::max(rate, 1.0);
            if (!known)
                *bucket = {capacity, now};
            refill(*bucket, rate, capacity, now);
            if (takeToken(*bucket))
                return std::nullopt;
            delay = timeToToken(*bucket, rate);
        }
    }
    return withRandom([&](Random &random) {
        return makeRefusal(RefusalReason::RateLimited, jittered(delay, random));
    });
}

FleetView QueueAdmission::viewFor(const PlacementRequest &request, TimePoint now, bool arrival)
{
    FleetView view = fleet_.view(request.service, now);
    view.now = now;
    {
        const std::lock_guard lock(mutex_);
        if (ServiceState *state = services_.insert(request.service)) {
            if (arrival)
                recordPrompt(state->load, request.route.promptTokens, now);
            view.longTokenShare = longTokenShare(state->load);
            view.sequence = state->sequence++;
        }
    }
    limitReturningEndpoints(view, now);
    return view;
}

/// Returns the position of a group in arrival order. All attempts of a request keep it, because a
/// group that returns after an engine refused its reservation must not queue behind later groups.
std::uint64_t QueueAdmission::groupOrder(const std::string &requestId, TimePoint now)
{
    if (groups_.size() >= groups_.limit())
        groups_.eraseIf([&](const std::string &, const GroupRow &row) {
            return now - row.seen > settings_.timing.maxRequestTimeout;
        });
    GroupRow *row = groups_.insert(requestId);
    if (row == nullptr)
        return nextTicket_++;
    if (row->order == 0)
        *row = {nextTicket_++, now};
    return row->order;
}

/// Excludes each endpoint that returns from an ejection with a probability of 1 - its traffic
/// share.
void QueueAdmission::limitReturningEndpoints(FleetView &view, TimePoint now)
{
    if (outliers_ == nullptr)
        return;
    std::vector<std::size_t> returning;
    std::size_t healthy = 0;
    for (std::size_t i = 0; i < view.endpoints.size(); ++i) {
        const EndpointView &endpoint = view.endpoints[i];
        if (!endpoint.sendPermitted || endpoint.ejected)
            continue;
        if (outliers_->trafficShare(endpoint.id, now) < 1)
            returning.push_back(i);
        else
            ++healthy;
    }
    if (healthy == 0)
        return;
    for (const std::size_t index : returning) {
        const double share = outliers_->trafficShare(view.endpoints[index].id, now);
        const double drawn = withRandom(
                [](Random &random) { return std::uniform_real_distribution<>(0, 1)(random); });
        if (drawn >= share)
            view.endpoints[index].ejected = true;
    }
}

RouteDecision QueueAdmission::decide(const RouteRequest &route, const FleetView &view)
{
    return withRandom([&](Random &random) {
        return chooseEndpoint(route, view, settings_.routing, prefixes_, random);
    });
}

Placement QueueAdmission::commit(const PlacementRequest &request, const FleetView &view,
                                 const RouteDecision &decision, TimePoint now)
{
    Placement placement;
    placement.outcome = decision.outcome;
    placement.expectedFirstToken = decision.expectedFirstToken;
    const std::uint64_t share = request.route.promptTokens / decision.chosen.size();
    for (const std::size_t index : decision.chosen) {
        const EndpointView &endpoint = view.endpoints[index];
        placement.endpoints.push_back(endpoint);
        fleet_.noteSent(endpoint.id, share, now);
    }
    if (decision.outcome == RouteOutcome::Endpoint && !request.route.prefixHashes.empty())
        prefixes_.recordDispatch(placement.endpoints.front().id, request.route.prefixHashes, now);
    placed_.Increment();
    return placement;
}

PlaceResult QueueAdmission::enqueue(const PlacementRequest &request, const FleetView &view,
                                    const RouteDecision &decision, std::uint64_t groupOrder,
                                    const std::function<bool()> &cancelled, TimePoint now)
{
    const auto waiter = std::make_shared<Waiter>();
    waiter->request = request;
    QueueEntry entry;
    entry.requestId = request.requestId;
    entry.workspace = request.workspace;
    entry.share = request.workspaceShare;
    entry.service = request.service;
    entry.priority = request.route.priority;
    entry.promptTokens = request.route.promptTokens;
    entry.maxTokens = request.route.maxTokens;
    entry.group = groupOrder != 0;
    entry.groupOrder = groupOrder;
    entry.retry = request.retry;
    entry.queuedAt = now;
    entry.reason = decision.outcome == RouteOutcome::Wait ? "no endpoint has capacity"
                                                          : "queued behind other requests";
    const Millis prefillTime = estimatedPrefillTime(static_cast<double>(request.route.promptTokens),
                                                    view, request.route);
    const Millis retryAfter
            = withRandom([&](Random &random) { return jittered(prefillTime, random); });
    {
        const std::lock_guard lock(mutex_);
        waiter->ticket = entry.ticket = nextTicket_++;
        const FairQueue::PushResult pushed = queue_.push(std::move(entry));
        if (pushed.refused)
            return countRefusal(makeRefusal(*pushed.refused, retryAfter));
        if (pushed.displaced) {
            const auto displaced = waiters_.find(*pushed.displaced);
            if (displaced != waiters_.end()) {
                displaced->second->result = makeRefusal(RefusalReason::LoadShed, retryAfter);
                displaced->second->changed.notify_all();
                waiters_.erase(displaced);
            }
        }
        waiters_[waiter->ticket] = waiter;
        queueLength_.Set(static_cast<double>(queue_.size()));
    }
    dispatchQueued(now);
    PlaceResult result = waitForResult(waiter, cancelled);
    if (auto *refusal = std::get_if<Refusal>(&result))
        return countRefusal(std::move(*refusal));
    return result;
}

PlaceResult QueueAdmission::waitForResult(const WaiterPtr &waiter,
                                          const std::function<bool()> &cancelled)
{
    const TimePoint deadline = waiter->request.deadline;
    std::unique_lock lock(mutex_);
    while (!waiter->result) {
        waiter->changed.wait_until(lock, std::min(deadline, steadyNow() + kCancelPoll));
        if (waiter->result)
            break;
        lock.unlock();
        const bool callerGone = cancelled && cancelled();
        const Millis retryAfter
                = withRandom([&](Random &random) { return jittered(Millis(0), random); });
        lock.lock();
        if (waiter->result || (!callerGone && steadyNow() < deadline))
            continue;
        if (!queue_.erase(waiter->ticket, false)) {
            // Another thread is committing a placement, which must not be lost.
            waiter->changed.wait(lock, [&] { return waiter->result.has_value(); });
            break;
        }
        waiters_.erase(waiter->ticket);
        queueLength_.Set(static_cast<double>(queue_.size()));
        return callerGone ? makeRefusal(RefusalReason::Cancelled, Millis(0))
                          : makeRefusal(RefusalReason::DeadlineExceeded, retryAfter);
    }
    return std::move(*waiter->result);
}

Refusal QueueAdmission::countRefusal(Refusal refusal)
{
    refusals_.at(refusal.reason)->Increment();
    return refusal;
}

void QueueAdmission::reportFinished(const std::string &workspace, const std::string &service,
                                    bool succeeded)
{
    if (!succeeded)
        return;
    const std::lock_guard lock(mutex_);
    retries_.recordSuccess(workspace, service, steadyNow());
}

bool QueueAdmission::takeRetry(const std::string &workspace, const std::string &service)
{
    const std::lock_guard lock(mutex_);
    const bool taken = retries_.take(workspace, service, steadyNow());
    if (!taken)
        retriesRefused_.Increment();
    return taken;
}

Millis QueueAdmission::retryDelay(unsigned attempt)
{
    return withRandom([&](Random &random) { return cicadafork::retryDelay(attempt, random); });
}

std::vector<QueuedRequestView> QueueAdmission::queued(TimePoint now) const
{
    std::vector<QueuedRequestView> views;
    const std::lock_guard lock(mutex_);
    for (QueueEntry &entry : queue_.entries()) {
        views.push_back({std::move(entry.requestId), std::move(entry.workspace),
                         std::move(entry.service), entry.priority, entry.promptTokens,
                         difference(now, entry.queuedAt), std::move(entry.reason)});
    }
    return views;
}

void QueueAdmission::dispatchQueued(TimePoint now)
{
    dispatchRequested_ = true;
    // If another thread is dispatching, it also handles this request. The flag is read again after
    // the mutex is released, so that a request made in between is not lost.
    for (int run = 0; run < kMaxDispatchPasses && dispatchRequested_; ++run) {
        const std::unique_lock running(dispatchMutex_, std::try_to_lock);
        if (!running)
            return;
        dispatchRequested_ = false;
        std::vector<std::string> services;
        {
            const std::lock_guard lock(mutex_);
            services = queue_.services();
        }
        for (const std::string &service : services)
            dispatchService(service, now);
    }
}

/// Sets the result of a waiter. Returns false if its request has already left the queue.
/// makeResult() runs without the lock.
bool QueueAdmission::resolveWaiter(const WaiterPtr &waiter, bool dispatched,
                                   const std::function<PlaceResult()> &makeResult)
{
    {
        const std::lock_guard lock(mutex_);
        if (!queue_.erase(waiter->ticket, dispatched))
            return false;
        queueLength_.Set(static_cast<double>(queue_.size()));
    }
    PlaceResult result = makeResult();
    const std::lock_guard lock(mutex_);
    waiters_.erase(waiter->ticket);
    waiter->result = std::move(result);
    waiter->changed.notify_all();
    return true;
}

void QueueAdmission::dispatchService(const std::string &service, TimePoint now)
{
    std::vector<WaiterPtr> candidates;
    {
        const std::lock_guard lock(mutex_);
        for (const std::uint64_t ticket : queue_.order(service, kMaxExamined)) {
            const auto found = waiters_.find(ticket);
            if (found != waiters_.end())
                candidates.push_back(found->second);
        }
    }
    if (candidates.empty())
        return;
    FleetView view = viewFor(candidates.front()->request, now, false);
    std::uint64_t firstBlocked = 0; ///< Ticket of the first request that cannot be placed; 0: none.
    bool targetsReserved = false;
    std::size_t waiting = 0;
    for (const WaiterPtr &waiter : candidates) {
        const PlacementRequest &request = waiter->request;
        const RouteDecision decision = decide(request.route, view);
        if (hasPlacement(decision)) {
            const auto makeResult
                    = [&]() -> PlaceResult { return commit(request, view, decision, now); };
            if (!resolveWaiter(waiter, true, makeResult))
                continue;
            applyPlacement(view, decision, request.route.promptTokens);
            const std::lock_guard lock(mutex_);
            if (QueueEntry *bypassed = queue_.find(firstBlocked))
                bypassed->backfilledTokens += static_cast<double>(neededTokens(request.route));
            continue;
        }
        // With reserved targets, NoEndpoint only means that no other endpoint is usable.
        const bool waits = decision.outcome == RouteOutcome::Wait || targetsReserved;
        const std::optional<Refusal> refusal = withRandom([&](Random &random) {
            return refuseByDecision(decision, Millis(0), difference(request.deadline, now), random);
        });
        if (refusal && (!waits || refusal->reason != RefusalReason::NoEndpoint)) {
            Refusal final = *refusal;
            if (final.reason == RefusalReason::DeadlineTooShort)
                final = makeRefusal(RefusalReason::DeadlineExceeded, final.retryAfter);
            resolveWaiter(waiter, false, [&]() -> PlaceResult { return final; });
            continue;
        }
        if (firstBlocked == 0) {
            firstBlocked = waiter->ticket;
            const std::lock_guard lock(mutex_);
            const QueueEntry *entry = queue_.find(firstBlocked);
            targetsReserved
                    = entry != nullptr
                      && entry->backfilledTokens
                                 >= kBackfillShare
                                            * static_cast<double>(neededTokens(request.route));
        }
        if (targetsReserved && firstBlocked == waiter->ticket) {
            for (const std::size_t index : waitingTargets(request.route, view))
                view.endpoints[index].ejected = true;
        }
        if (++waiting >= kMaxExaminedBlocked)
            break;
    }
}

} // namespace cicadafork
