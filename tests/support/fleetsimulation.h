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
// delay.

#include "gateway/availability.h"
#include "gateway/loadtracker.h"
#include "gateway/placement.h"

#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <memory>
#include <optional>
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

    // Results.
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

private:
    struct Active;
    struct Read
    {
        Active *request = nullptr;
        gateway::FloatMillis left{0};
        bool split = false;
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
    };
    struct Announcement
    {
        TimePoint at{};
        unsigned from = 0;
        enum class Kind { Placed, Started, Ended } kind = Kind::Placed;
        gateway::Job job;
    };

    void announce(unsigned from, Announcement::Kind kind, const gateway::Job &job);
    void deliverAnnouncements();
    bool place(unsigned daemon, SimulatedRequest &request, TimePoint arrived);
    /// False if the engine refuses the request; the daemon then leaves it out for some time.
    bool accepts(unsigned daemon, unsigned engine);
    void admit(Engine &engine, const Read &read);
    void beginPass(Engine &engine);
    void endPass(Engine &engine);
    void emitEvent(Active &active);

    FleetSimulationOptions options_;
    TimePoint now_{};
    std::vector<std::unique_ptr<gateway::LoadTracker>> trackers_;
    std::vector<Engine> engines_;
    std::map<std::pair<std::uint64_t, std::uint32_t>, std::unique_ptr<Active>> active_;
    std::deque<Announcement> announcements_;
    std::uint32_t nextJob_ = 0;
    unsigned refusals_ = 0;
    unsigned unwanted_ = 0;
};

} // namespace cicadafork::test
