#pragma once

// Simulates engines that work in passes, and daemons that place requests on them with the product's
// decision code. Deterministic: the same options give the same results.
//
//   FleetSimulation fleet({.daemons = 12, .endpoints = 39, .engine = productionEngine(...)});
//   const std::vector<SimulatedRequest> results = fleet.run(arrivals);
//
// A request waits at its head for a slot. A pass prefills the prompts that wait at its start, parts
// of split prefills first, and then runs a stride of decoding steps for all streams. The first
// event of a request arrives at the end of the pass after which all parts of its prefill are done.
// Each daemon knows its own placements at once and those of the others after the announcement
// delay. With `gatewayDispatch`, daemons queue and dispatch as the gateway does, each with what it
// has heard of the usage of workspaces and of the requests that wait at the others.
//
// An engine can keep the prefixes of the prompts that it has prefilled alone in a memory of bounded
// size, from which the least recently used ones are evicted. It does not prefill them again.

#include "gateway/availability.h"
#include "gateway/loadtracker.h"
#include "gateway/placement.h"
#include "overload/workspaceusage.h"
#include "prefixcache/prefixcache.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace cicadafork::test {

struct SimulatedRequest
{
    Millis arrival{0}; ///< Since the start of the simulation.
    std::uint64_t promptTokens = 0;
    std::uint64_t answerTokens = 0;
    Millis maxEventGap{1000};
    Millis objective{1000};
    Millis deadline{10'000};
    /// The part of the prompt that other requests may share; none if it has no tokens.
    gateway::PromptPartId prefix = 0;
    std::uint64_t prefixTokens = 0;
    std::uint32_t workspace = 0;
    bool inFirstDomain = false; ///< Arrives at a daemon of the first failure domain.

    // Results.
    unsigned head = 0;       ///< Index of the endpoint that decodes it.
    bool prefixKept = false; ///< The engine did not prefill the prefix again.
    bool rejected = false;
    gateway::FloatMillis firstEvent{-1}; ///< Since its arrival; negative if there was none.
    gateway::FloatMillis longestGap{0};

    bool onTime() const
    {
        return firstEvent.count() >= 0 && firstEvent <= gateway::FloatMillis(objective)
               && longestGap <= gateway::FloatMillis(maxEventGap);
    }
};

struct FleetSimulationOptions
{
    unsigned daemons = 1;
    unsigned endpoints = 1;
    unsigned slots = 10;
    Millis announcementDelay{8};
    Millis queueLimit{2500};  ///< A request that finds no endpoint within this time is rejected.
    Millis drainTime{12'000}; ///< After the last arrival.
    gateway::EngineModel engine;
    /// Requests that an engine queues in addition to those in its slots; it refuses further ones.
    std::size_t engineQueue = std::numeric_limits<std::size_t>::max();
    /// Time for which an engine that refuses a request wants none from the same daemon.
    Millis quietTime{0};
    /// Time for which a daemon sends nothing to an engine that has refused a request, if it does
    /// not honour quietTime.
    std::optional<Millis> suspension = std::nullopt;
    std::uint64_t prefixMemoryTokens = 0; ///< Of each engine; 0 if it keeps no prefixes.
    bool observesPrefixes = false;        ///< Daemons use PrefixCache.
    /// The engine loses its prefixes at this time; if it is a restart, the daemons hear of it.
    struct Loss
    {
        Millis at{0};
        unsigned endpoint = 0;
        bool restart = false;
    };
    std::vector<Loss> losses = {}; ///< In order of time.

    /// Each daemon has its own queue, as in the gateway. Otherwise all waiting requests are tried
    /// in the order of arrival.
    bool gatewayDispatch = false;
    bool fairness = true; ///< Workspaces share by cost; otherwise they are not told apart.
    /// Daemons and endpoints belong to them in turn; 64 at most.
    unsigned failureDomains = 1;
    /// Time between two dispatches, instead of that of the gateway; for a queue without delays.
    std::optional<Millis> dispatchDelay = std::nullopt;
    unsigned streamsPerDispatch = 1;
};

class FleetSimulation
{
public:
    explicit FleetSimulation(FleetSimulationOptions options);

    /// At least one request, in the order of arrival. They arrive at the daemons in turn.
    std::vector<SimulatedRequest> run(std::vector<SimulatedRequest> requests);

    /// Requests that engines refused.
    unsigned refusals() const { return refusals_; }
    /// Requests that an engine got in its quietTime, after the 0.5 s that the users allow.
    unsigned unwanted() const { return unwanted_; }
    /// What the daemons know of prefixes; empty unless they observe them.
    const std::vector<gateway::PrefixCache> &prefixCaches() const { return prefixCaches_; }
    /// Attempts to place a request that left an endpoint to others.
    unsigned yields() const { return yields_; }
    /// What a daemon knows of the usage of a workspace.
    overload::WorkspaceShare share(unsigned daemon, std::uint32_t workspace) const;

private:
    struct Waiting
    {
        SimulatedRequest *request = nullptr;
        TimePoint arrived{};
        std::optional<gateway::Placement> booking = std::nullopt;
        std::vector<gateway::Job> bookingJobs = {};
        TimePoint bookedAt{};
    };
    struct Daemon
    {
        std::vector<Waiting> waiting;
        TimePoint nextDispatch = TimePoint::max();
        TimePoint nextHeartbeat{};
        overload::WorkspaceUsage usage;
        std::vector<unsigned> waitingAt; ///< Waiting requests of each daemon, as last heard.
        unsigned waitingElsewhere = 0;   ///< Sum of waitingAt.
    };
    struct Active;
    struct Read
    {
        Active *request = nullptr;
        gateway::FloatMillis left{0};
        bool split = false;
        bool begun = false;
    };
    struct KeptPrefix
    {
        gateway::PromptPartId prefix = 0;
        std::uint64_t tokens = 0;
    };
    struct Engine
    {
        std::deque<Read> reads;
        std::deque<Read> queue;  ///< Requests that wait for a slot.
        unsigned slotsTaken = 0; ///< By requests for which this engine is the head.
        std::vector<Active *> streams;
        std::vector<Active *> starting; ///< Prefilled; they decode from the next pass on.
        bool busy = false;
        TimePoint passEnd{};
        std::vector<Active *> finishedReads; ///< Prefilled in the current pass.
        gateway::FloatMillis passTime{0};
        std::map<unsigned, TimePoint> refusedAt; ///< Last refusal to each daemon.
        std::list<KeptPrefix> kept;              ///< Least recently used first.
        std::uint64_t keptTokens = 0;
    };
    /// A request that is placed.
    struct Active
    {
        SimulatedRequest *request = nullptr;
        gateway::JobId id;
        unsigned daemon = 0;
        unsigned head = 0;
        unsigned partsLeft = 0;
        unsigned passesLeft = 0;
        TimePoint arrived{};
        TimePoint lastEvent{};
        bool decoding = false;
        bool whole = false; ///< Prefilled by the head alone.
        gateway::PrefixUse prefixUse;
        gateway::FloatMillis expected{0};
        TimePoint sentAt{};
    };
    struct Announcement
    {
        TimePoint at{};
        unsigned from = 0;
        enum class Kind { Placed, Started, Ended, Heartbeat, Loads } kind = Kind::Placed;
        gateway::Job job;
        unsigned waiting = 0;      ///< Requests that wait at the sender.
        std::uint64_t domains = 0; ///< A bit for each failure domain that gets it.
        std::vector<std::pair<gateway::EndpointKey, gateway::EndpointLoad>> loads = {};
    };

    void announce(unsigned from, Announcement::Kind kind, const gateway::Job &job);
    void deliverAnnouncements();
    /// True if the request waits no longer.
    bool place(unsigned daemon, Waiting &waiting);
    /// Books endpoints for a request that has found none, or gives the booking up.
    void book(unsigned daemon, Waiting &waiting, const gateway::PlacementRequest &wanted,
              const std::vector<gateway::EndpointView> &views);
    void endBooking(unsigned daemon, Waiting &waiting);
    void leaveToOthers(unsigned daemon, const SimulatedRequest &request,
                       std::vector<gateway::EndpointView> &views);
    void queueAll(std::vector<SimulatedRequest> &requests, std::size_t &next, TimePoint start);
    void dispatch(unsigned daemon);
    void scheduleDispatch(unsigned daemon, bool ownSlotFreed);
    void countUsage(unsigned daemon, const gateway::Job &job);
    void sendHeartbeats();
    void sendLoads();
    Millis maxDispatchDelay() const;
    /// Jobs are announced only where they matter.
    bool isLargeFleet() const;
    std::uint64_t domainsOf(unsigned daemon, const gateway::Job &job) const;
    /// False if the engine refuses the request; the daemon then leaves it out for some time.
    bool accepts(unsigned daemon, unsigned engine);
    void admit(Engine &engine, const Read &read);
    void beginPass(Engine &engine);
    void endPass(Engine &engine);
    void emitEvent(Active &active);
    void losePrefixes(TimePoint start);
    /// True if the engine keeps the prefix of the request, which becomes the most recently used.
    static bool usePrefix(Engine &engine, const SimulatedRequest &request);
    void keepPrefix(Engine &engine, const SimulatedRequest &request) const;

    FleetSimulationOptions options_;
    TimePoint now_{};
    std::vector<std::unique_ptr<gateway::LoadTracker>> trackers_;
    std::vector<gateway::PrefixCache> prefixCaches_; ///< One for each daemon, or none.
    std::size_t nextLoss_ = 0;
    std::vector<Engine> engines_;
    std::map<std::pair<std::uint64_t, std::uint32_t>, std::unique_ptr<Active>> active_;
    std::deque<Announcement> announcements_;
    std::uint32_t nextJob_ = 0;
    unsigned refusals_ = 0;
    unsigned unwanted_ = 0;
    unsigned yields_ = 0;
    std::vector<Daemon> daemons_; ///< Empty without gatewayDispatch.
    std::map<std::pair<std::uint64_t, std::uint32_t>, std::uint64_t> jobDomains_;
    TimePoint nextLoads_{};
    std::mt19937 random_{1};
};

} // namespace cicadafork::test
