#include "support/fleetsimulation.h"

#include "base/hash.h"
#include "gateway/dispatchorder.h"
#include "gateway/exchange.h"
#include "overload/fairorder.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace cicadafork::test {

using namespace gateway;

namespace {

constexpr Millis kTick{1};
// Waiting requests are tried again this often.
constexpr Millis kRetryInterval{10};
constexpr std::size_t kMaxJobs = 32'768;
constexpr const char *kService = "pool";

CallerFields callerFields(const SimulatedRequest &request)
{
    CallerFields fields;
    fields.promptTokens = request.promptTokens;
    if (request.prefixTokens > 0) {
        fields.sharedPromptParts = {request.prefix};
        fields.sharedPromptTokens = {request.prefixTokens};
    }
    return fields;
}
// The gateway's own times, see gatewayqueue.cpp and mesh.h.
constexpr Millis kMinDispatchDelay{4};
constexpr Millis kMaxDispatchDelay{16};
constexpr Millis kDispatchDelayPerDaemon{2};
constexpr std::size_t kMaxRequestsPerDispatch = 24;
constexpr Millis kHeartbeatInterval{400};
constexpr Millis kHeartbeatIntervalPerPeer{10};
constexpr Millis kLoadReportInterval{250};
constexpr unsigned kMaxDaemonsWithGlobalJobs = 128;
constexpr std::uint64_t kAllDomains = ~0ULL;

SteadyClock::duration toTicks(FloatMillis time)
{
    return std::chrono::duration_cast<SteadyClock::duration>(time);
}

} // namespace

FleetSimulation::FleetSimulation(FleetSimulationOptions options)
    : options_(std::move(options))
    , engines_(options_.endpoints)
{
    for (unsigned daemon = 0; daemon < options_.daemons; ++daemon)
        trackers_.push_back(std::make_unique<LoadTracker>(kMaxJobs, daemon + 1));
    if (options_.observesPrefixes)
        prefixCaches_ = std::vector<PrefixCache>(options_.daemons);
    if (!options_.gatewayDispatch)
        return;
    daemons_.resize(options_.daemons);
    for (Daemon &daemon : daemons_)
        daemon.waitingAt.resize(options_.daemons);
}

overload::WorkspaceShare FleetSimulation::share(unsigned daemon, std::uint32_t workspace) const
{
    return daemons_[daemon].usage.share({}, workspace, now_);
}

std::vector<SimulatedRequest> FleetSimulation::run(std::vector<SimulatedRequest> requests)
{
    std::vector<std::pair<unsigned, Waiting>> waiting; ///< With the daemon.
    const TimePoint start{std::chrono::hours(1)};
    const TimePoint end = start + requests.back().arrival + options_.drainTime;
    std::size_t next = 0;
    for (now_ = start; now_ < end; now_ += kTick) {
        deliverAnnouncements();
        losePrefixes(start);
        for (Engine &engine : engines_) {
            if (engine.busy && engine.passEnd <= now_)
                endPass(engine);
        }
        if (options_.gatewayDispatch) {
            queueAll(requests, next, start);
            for (unsigned daemon = 0; daemon < options_.daemons; ++daemon) {
                if (daemons_[daemon].nextDispatch <= now_)
                    dispatch(daemon);
            }
            sendHeartbeats();
            sendLoads();
        }
        for (; next < requests.size() && start + requests[next].arrival <= now_; ++next)
            waiting.push_back({static_cast<unsigned>(next) % options_.daemons,
                               {&requests[next], start + requests[next].arrival}});
        std::erase_if(waiting, [&](auto &entry) {
            Waiting &own = entry.second;
            const auto waited = std::chrono::duration_cast<Millis>(now_ - own.arrived);
            if (waited > std::max(options_.queueLimit, own.request->objective)) {
                own.request->rejected = true;
                return true;
            }
            return waited % kRetryInterval == Millis(0) && place(entry.first, own);
        });
        for (Engine &engine : engines_) {
            if (!engine.busy)
                beginPass(engine);
        }
    }
    return requests;
}

void FleetSimulation::queueAll(std::vector<SimulatedRequest> &requests, std::size_t &next,
                               TimePoint start)
{
    for (; next < requests.size() && start + requests[next].arrival <= now_; ++next) {
        SimulatedRequest &request = requests[next];
        auto daemon = static_cast<unsigned>(next) % options_.daemons;
        if (request.inFirstDomain)
            daemon -= daemon % options_.failureDomains;
        std::vector<Waiting> &queue = daemons_[daemon].waiting;
        Waiting entry{&request, now_};
        // As in the gateway, a request must not overtake those that already wait.
        if (queue.empty() && place(daemon, entry))
            continue;
        queue.push_back(entry);
        scheduleDispatch(daemon, false);
    }
}

Millis FleetSimulation::maxDispatchDelay() const
{
    const unsigned inDomain = options_.daemons / options_.failureDomains;
    return std::max(kMaxDispatchDelay, kDispatchDelayPerDaemon * static_cast<int>(inDomain));
}

void FleetSimulation::scheduleDispatch(unsigned daemon, bool ownSlotFreed)
{
    Daemon &own = daemons_[daemon];
    if (own.waiting.empty())
        return;
    Millis delay = kMinDispatchDelay;
    if (!ownSlotFreed) {
        std::uniform_int_distribution<Millis::rep> spread(kMinDispatchDelay.count(),
                                                          maxDispatchDelay().count());
        delay = Millis(spread(random_));
    }
    own.nextDispatch = std::min(own.nextDispatch, now_ + options_.dispatchDelay.value_or(delay));
}

void FleetSimulation::dispatch(unsigned daemon)
{
    Daemon &own = daemons_[daemon];
    own.nextDispatch = TimePoint::max();
    std::erase_if(own.waiting, [&](Waiting &entry) {
        const Millis limit = std::max(options_.queueLimit, entry.request->objective);
        const bool booked = entry.booking && now_ - entry.bookedAt <= kMaxBookingWait;
        entry.request->rejected = now_ - entry.arrived > limit && !booked;
        if (entry.request->rejected)
            endBooking(daemon, entry);
        return entry.request->rejected;
    });
    std::vector<WaitingRequest> waiting;
    for (std::size_t i = 0; i < own.waiting.size(); ++i) {
        const Waiting &entry = own.waiting[i];
        WaitingRequest row;
        row.id = i;
        row.objective = entry.arrived + entry.request->objective;
        PlacementRequest wanted;
        wanted.promptTokens = entry.request->promptTokens;
        wanted.untilObjective = row.objective - now_;
        row.late = !canBeOnTime(wanted, options_.engine);
        if (options_.fairness && own.waiting.size() > 1) {
            row.workspace = entry.request->workspace;
            row.used = own.usage.used({}, row.workspace, now_);
            row.cost = overload::requestCost(&options_.engine, entry.request->promptTokens,
                                             entry.request->answerTokens);
        }
        waiting.push_back(row);
    }
    std::vector<std::size_t> done;
    unsigned streams = 0;
    for (const std::uint64_t i : dispatchOrder(waiting, {}, kMaxRequestsPerDispatch)) {
        Waiting &entry = own.waiting[i];
        if (streams >= options_.streamsPerDispatch)
            break;
        if (place(daemon, entry)) {
            done.push_back(i);
            streams += entry.request->rejected ? 0 : 1;
        }
    }
    std::ranges::sort(done, std::ranges::greater());
    for (const std::size_t i : done)
        own.waiting.erase(own.waiting.begin() + static_cast<std::ptrdiff_t>(i));
    scheduleDispatch(daemon, false);
}

void FleetSimulation::leaveToOthers(unsigned daemon, const SimulatedRequest &request,
                                    std::vector<EndpointView> &views)
{
    if (!options_.gatewayDispatch || !options_.fairness)
        return;
    const Daemon &own = daemons_[daemon];
    if (own.waitingElsewhere == 0)
        return;
    overload::YieldFacts facts{.share = own.usage.share({}, request.workspace, now_),
                               .waitingElsewhere = own.waitingElsewhere,
                               .dispatchInterval = maxDispatchDelay()};
    bool left = false;
    for (EndpointView &view : views) {
        if (view.load.sequences >= view.slots)
            continue;
        const unsigned free = view.slots - view.load.sequences;
        facts.freeFor = view.inOwnDomain || !isLargeFleet()
                                ? trackers_[daemon]->freeFor(view.key, free, now_)
                                : overload::assumedFreeFor(free, view.slots);
        if (!overload::mustYield(facts))
            continue;
        view.receives = false;
        left = true;
    }
    yields_ += left ? 1 : 0;
}

void FleetSimulation::sendHeartbeats()
{
    const Millis interval = std::max(
            kHeartbeatInterval, kHeartbeatIntervalPerPeer * static_cast<int>(options_.daemons));
    for (unsigned daemon = 0; daemon < options_.daemons; ++daemon) {
        Daemon &own = daemons_[daemon];
        if (now_ < own.nextHeartbeat)
            continue;
        // The first ones are spread over the interval.
        const bool first = own.nextHeartbeat == TimePoint{};
        own.nextHeartbeat = now_
                            + (first ? interval * static_cast<int>(daemon)
                                               / static_cast<int>(options_.daemons)
                                     : interval);
        if (!first)
            announce(daemon, Announcement::Kind::Heartbeat, {});
    }
}

void FleetSimulation::sendLoads()
{
    if (!isLargeFleet() || now_ < nextLoads_)
        return;
    nextLoads_ = now_ + kLoadReportInterval;
    for (unsigned domain = 0; domain < options_.failureDomains; ++domain) {
        Announcement message{
                now_ + options_.announcementDelay, domain, Announcement::Kind::Loads, {}};
        message.domains = kAllDomains & ~(1ULL << domain);
        message.waiting = static_cast<unsigned>(daemons_[domain].waiting.size());
        for (unsigned i = domain; i < options_.endpoints; i += options_.failureDomains)
            message.loads.emplace_back(i + 1, trackers_[domain]->load(i + 1, now_));
        announcements_.push_back(std::move(message));
    }
}

bool FleetSimulation::isLargeFleet() const
{
    return options_.gatewayDispatch && options_.daemons > kMaxDaemonsWithGlobalJobs;
}

std::uint64_t FleetSimulation::domainsOf(unsigned daemon, const Job &job) const
{
    if (!isLargeFleet() || isLongPrefill(options_.engine, job.promptTokens))
        return kAllDomains;
    std::uint64_t domains = 1ULL << (daemon % options_.failureDomains);
    for (const JobPart &part : job.parts)
        domains |= 1ULL << ((part.endpoint - 1) % options_.failureDomains);
    return domains;
}

void FleetSimulation::book(unsigned daemon, Waiting &waiting, const PlacementRequest &wanted,
                           const std::vector<EndpointView> &views)
{
    std::vector<EndpointView> known;
    std::ranges::copy_if(views, std::back_inserter(known), [&](const EndpointView &view) {
        return !isLargeFleet() || view.inOwnDomain;
    });
    waiting.booking = bookEndpoints(wanted, options_.engine, known);
    if (!waiting.booking)
        return;
    waiting.bookedAt = now_;
    waiting.bookingJobs = bookingJobs(*waiting.booking, wanted, daemon + 1, nextJob_, now_);
    for (const Job &job : waiting.bookingJobs) {
        trackers_[daemon]->place(job);
        jobDomains_[{job.id.owner, job.id.number}] = domainsOf(daemon, job);
        announce(daemon, Announcement::Kind::Placed, job);
    }
}

void FleetSimulation::endBooking(unsigned daemon, Waiting &waiting)
{
    for (const Job &job : waiting.bookingJobs) {
        trackers_[daemon]->ended(job.id, now_);
        announce(daemon, Announcement::Kind::Ended, job);
    }
    waiting.bookingJobs.clear();
    waiting.booking.reset();
}

bool FleetSimulation::place(unsigned daemon, Waiting &waiting)
{
    SimulatedRequest &request = *waiting.request;
    const TimePoint arrived = waiting.arrived;
    LoadTracker &tracker = *trackers_[daemon];
    std::vector<EndpointView> views;
    ServiceAvailability availability;
    std::vector<JobId> booked;
    for (const Job &job : waiting.bookingJobs)
        booked.push_back(job.id);
    for (unsigned i = 0; i < options_.endpoints; ++i) {
        const auto refused = engines_[i].refusedAt.find(daemon);
        const TimePoint quietUntil
                = refused == engines_[i].refusedAt.end()
                          ? TimePoint()
                          : refused->second + options_.suspension.value_or(options_.quietTime);
        if (now_ < quietUntil) {
            const bool first = availability.quiet++ == 0;
            availability.firstAccepts
                    = first ? quietUntil : std::min(availability.firstAccepts, quietUntil);
            continue;
        }
        ++availability.accepting;
        EndpointView view;
        view.key = i + 1;
        view.slots = options_.slots;
        view.inOwnDomain = i % options_.failureDomains == daemon % options_.failureDomains;
        view.load = tracker.load(i + 1, now_, booked);
        const std::uint64_t random = mix64((i + 1) * 1000 + daemon);
        view.tieBreaker = static_cast<double>(random % 1000) / 2000;
        views.push_back(view);
    }
    const Millis longestWait = std::max(options_.queueLimit, request.objective);
    const TimePoint giveUp = arrived + std::min(request.deadline, longestWait);
    const AvailabilityDecision decision
            = decideByAvailability(availability, {.giveUp = giveUp}, now_);
    request.rejected = decision == AvailabilityDecision::Refuse;
    if (decision != AvailabilityDecision::Place)
        return request.rejected;
    PlacementRequest wanted;
    wanted.promptTokens = request.promptTokens;
    wanted.answerTokens = request.answerTokens;
    wanted.maxEventGap = request.maxEventGap;
    wanted.objective = request.objective;
    wanted.untilObjective = arrived + request.objective - now_;
    wanted.untilDeadline = arrived + request.deadline - now_;
    if (options_.gatewayDispatch) {
        const WaitFacts facts{.stream = true,
                              .objective = request.objective,
                              .maxEventGap = request.maxEventGap,
                              .arrivedAt = arrived};
        wanted.untilCallerLeaves = callerLeavesAt(facts, now_) - now_;
    }
    leaveToOthers(daemon, request, views);
    if (waiting.booking && !isClear(wanted, options_.engine, *waiting.booking, views))
        return false;
    Placement placement;
    if (waiting.booking)
        placement = *waiting.booking;
    else
        placement = isLargeFleet() ? placeStreamInDomainFirst(wanted, options_.engine, views)
                                   : placeStream(wanted, options_.engine, views);
    if (!prefixCaches_.empty())
        placement = prefixCaches_[daemon].prefer(kService, callerFields(request), placement, wanted,
                                                 options_.engine, views, now_);
    if (placement.outcome != PlacementOutcome::Send) {
        if (options_.gatewayDispatch)
            book(daemon, waiting, wanted, views);
        request.rejected = placement.outcome == PlacementOutcome::Reject && !waiting.booking;
        return request.rejected;
    }
    if (!accepts(daemon, static_cast<unsigned>(placement.head) - 1))
        return false;

    Job job;
    job.id = {daemon + 1, ++nextJob_};
    job.promptTokens = static_cast<std::uint32_t>(request.promptTokens);
    job.answerTokens = static_cast<std::uint32_t>(request.answerTokens);
    job.maxEventGap = request.maxEventGap;
    job.placed = now_;
    job.expectedPrefillEnd = now_ + toTicks(placement.firstEvent);
    job.dueBy = arrived + request.objective;
    job.expires = now_ + std::chrono::minutes(1);
    const auto memory = static_cast<std::uint32_t>(placement.kvTokensPerHolder);
    job.parts.push_back({placement.head, placement.prefillTime, true, memory});
    for (std::size_t i = 0; i < placement.helpers.size(); ++i)
        job.parts.push_back({placement.helpers[i], placement.prefillTime, false,
                             i < placement.holders ? memory : 0});
    job.workspace = request.workspace;
    tracker.place(job);
    endBooking(daemon, waiting);
    jobDomains_[{job.id.owner, job.id.number}] = domainsOf(daemon, job);
    countUsage(daemon, job);
    announce(daemon, Announcement::Kind::Placed, job);

    auto active = std::make_unique<Active>();
    active->request = &request;
    active->id = job.id;
    active->daemon = daemon;
    active->head = static_cast<unsigned>(placement.head) - 1;
    active->partsLeft = static_cast<unsigned>(job.parts.size());
    active->passesLeft = static_cast<unsigned>(std::max(
            1.0, std::ceil(static_cast<double>(request.answerTokens) / options_.engine.stride)));
    active->arrived = arrived;
    active->whole = placement.helpers.empty();
    active->expected = placement.firstEvent;
    active->sentAt = now_;
    request.head = active->head;
    if (!prefixCaches_.empty())
        active->prefixUse = prefixCaches_[daemon].noteSent(callerFields(request), placement,
                                                           options_.engine, now_);
    for (const JobPart &part : job.parts) {
        Engine &engine = engines_[part.endpoint - 1];
        const Read read{active.get(), part.prefillTime, job.parts.size() > 1};
        if (part.decodes)
            admit(engine, read);
        else
            engine.reads.push_back(read);
    }
    active_.emplace(std::make_pair(job.id.owner, job.id.number), std::move(active));
    return true;
}

bool FleetSimulation::accepts(unsigned daemon, unsigned engine)
{
    constexpr Millis kAllowedAfterRefusal{500};
    Engine &target = engines_[engine];
    const auto refused = target.refusedAt.find(daemon);
    if (refused != target.refusedAt.end() && now_ >= refused->second + kAllowedAfterRefusal
        && now_ < refused->second + options_.quietTime)
        ++unwanted_;
    if (target.slotsTaken < options_.slots || target.queue.size() < options_.engineQueue)
        return true;
    ++refusals_;
    target.refusedAt[daemon] = now_;
    return false;
}

void FleetSimulation::admit(Engine &engine, const Read &read)
{
    if (engine.slotsTaken >= options_.slots) {
        engine.queue.push_back(read);
        return;
    }
    ++engine.slotsTaken;
    engine.reads.push_back(read);
}

void FleetSimulation::beginPass(Engine &engine)
{
    if (engine.reads.empty() && engine.streams.empty() && engine.starting.empty())
        return;
    for (Active *active : engine.starting)
        engine.streams.push_back(active);
    engine.starting.clear();
    std::ranges::stable_sort(engine.reads, {}, [](const Read &read) { return !read.split; });
    // A pass has time for one chunk of a prompt in each of its steps.
    const EngineModel &model = options_.engine;
    FloatMillis budget{static_cast<double>(model.stride) * static_cast<double>(model.chunkTokens)
                       / model.prefillTokensPerMs};
    FloatMillis reading{0};
    while (!engine.reads.empty() && budget > FloatMillis(0)) {
        Read &read = engine.reads.front();
        SimulatedRequest &begun = *read.request->request;
        if (!read.begun && read.request->whole && usePrefix(engine, begun)) {
            begun.prefixKept = true;
            read.left -= prefillTime(model, begun.prefixTokens);
        }
        read.begun = true;
        const FloatMillis done = std::min(read.left, budget);
        read.left -= done;
        budget -= done;
        reading += done;
        if (read.left > FloatMillis(0))
            break;
        Active *request = read.request;
        engine.reads.pop_front();
        if (request->whole)
            keepPrefix(engine, *request->request);
        // A prompt that is prefilled by this engine alone is decoded in the same pass.
        if (request->partsLeft == 1 && &engines_[request->head] == &engine) {
            request->partsLeft = 0;
            engine.streams.push_back(request);
        } else {
            engine.finishedReads.push_back(request);
        }
    }
    std::uint64_t context = 0;
    for (const Active *active : engine.streams)
        context += active->request->promptTokens + active->request->answerTokens / 2;
    engine.passTime
            = reading
              + decodePassTime(model, static_cast<unsigned>(engine.streams.size()), context);
    engine.passEnd = now_ + toTicks(engine.passTime);
    engine.busy = true;
}

void FleetSimulation::endPass(Engine &engine)
{
    engine.busy = false;
    const std::vector<Active *> finished = std::move(engine.finishedReads);
    engine.finishedReads.clear();
    const std::vector<Active *> streams = engine.streams;
    for (Active *active : streams) {
        emitEvent(*active);
        if (--active->passesLeft > 0)
            continue;
        std::erase(engine.streams, active);
        --engine.slotsTaken;
        if (!engine.queue.empty()) {
            admit(engine, engine.queue.front());
            engine.queue.pop_front();
        }
        Job job;
        job.id = active->id;
        trackers_[active->daemon]->ended(active->id, now_);
        announce(active->daemon, Announcement::Kind::Ended, job);
        jobDomains_.erase({active->id.owner, active->id.number});
        if (options_.gatewayDispatch)
            scheduleDispatch(active->daemon, true);
        active_.erase({active->id.owner, active->id.number});
    }
    for (Active *active : finished) {
        if (--active->partsLeft == 0)
            engines_[active->head].starting.push_back(active);
    }
}

void FleetSimulation::emitEvent(Active &active)
{
    SimulatedRequest &request = *active.request;
    if (active.decoding) {
        request.longestGap = std::max(request.longestGap, FloatMillis(now_ - active.lastEvent));
    } else {
        active.decoding = true;
        request.firstEvent = now_ - active.arrived;
        if (!prefixCaches_.empty())
            prefixCaches_[active.daemon].noteFirstEvent(kService, active.head + 1, active.prefixUse,
                                                        now_ - active.sentAt, active.expected,
                                                        now_);
        Job job;
        job.id = active.id;
        trackers_[active.daemon]->started(active.id, now_);
        announce(active.daemon, Announcement::Kind::Started, job);
    }
    active.lastEvent = now_;
}

void FleetSimulation::losePrefixes(TimePoint start)
{
    for (; nextLoss_ < options_.losses.size() && start + options_.losses[nextLoss_].at <= now_;
         ++nextLoss_) {
        const FleetSimulationOptions::Loss &loss = options_.losses[nextLoss_];
        Engine &engine = engines_[loss.endpoint];
        engine.kept.clear();
        engine.keptTokens = 0;
        if (!loss.restart)
            continue;
        for (PrefixCache &cache : prefixCaches_)
            cache.forget(loss.endpoint + 1);
    }
}

bool FleetSimulation::usePrefix(Engine &engine, const SimulatedRequest &request)
{
    const auto found = std::ranges::find_if(engine.kept, [&](const KeptPrefix &kept) {
        return kept.prefix == request.prefix && kept.tokens == request.prefixTokens;
    });
    if (found == engine.kept.end())
        return false;
    engine.kept.splice(engine.kept.end(), engine.kept, found);
    return true;
}

void FleetSimulation::keepPrefix(Engine &engine, const SimulatedRequest &request) const
{
    if (request.prefixTokens == 0 || request.prefixTokens > options_.prefixMemoryTokens
        || usePrefix(engine, request))
        return;
    engine.kept.push_back({request.prefix, request.prefixTokens});
    engine.keptTokens += request.prefixTokens;
    while (engine.keptTokens > options_.prefixMemoryTokens) {
        engine.keptTokens -= engine.kept.front().tokens;
        engine.kept.pop_front();
    }
}

void FleetSimulation::announce(unsigned from, Announcement::Kind kind, const Job &job)
{
    Announcement message{now_ + options_.announcementDelay, from, kind, job};
    const auto domains = jobDomains_.find({job.id.owner, job.id.number});
    message.domains = domains == jobDomains_.end() ? kAllDomains : domains->second;
    if (options_.gatewayDispatch)
        message.waiting = static_cast<unsigned>(daemons_[from].waiting.size());
    announcements_.push_back(std::move(message));
}

void FleetSimulation::countUsage(unsigned daemon, const Job &job)
{
    if (!options_.gatewayDispatch)
        return;
    const double cost = overload::requestCost(&options_.engine, job.promptTokens, job.answerTokens);
    daemons_[daemon].usage.add(job.id, {}, job.workspace, cost, now_);
}

void FleetSimulation::deliverAnnouncements()
{
    for (; !announcements_.empty() && announcements_.front().at <= now_;
         announcements_.pop_front()) {
        const Announcement &message = announcements_.front();
        for (unsigned daemon = 0; daemon < options_.daemons; ++daemon) {
            if (daemon == message.from
                || (message.domains >> (daemon % options_.failureDomains) & 1) == 0)
                continue;
            LoadTracker &tracker = *trackers_[daemon];
            if (options_.gatewayDispatch) {
                Daemon &own = daemons_[daemon];
                own.waitingElsewhere += message.waiting - own.waitingAt[message.from];
                own.waitingAt[message.from] = message.waiting;
                scheduleDispatch(daemon, false);
            }
            switch (message.kind) {
            case Announcement::Kind::Placed:
                tracker.place(message.job);
                countUsage(daemon, message.job);
                break;
            case Announcement::Kind::Started:
                tracker.started(message.job.id, now_);
                break;
            case Announcement::Kind::Ended:
                tracker.ended(message.job.id, now_);
                break;
            case Announcement::Kind::Heartbeat:
                break;
            case Announcement::Kind::Loads:
                for (const auto &[endpoint, load] : message.loads)
                    tracker.report(endpoint, load, now_);
                break;
            }
        }
    }
}

} // namespace cicadafork::test
