// Simulates a load peak against the placement code alone and checks how many requests are on time.

#include "gateway/loadtracker.h"
#include "gateway/placement.h"
#include "support/productionengine.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;

namespace {

// The larger production site at its peak of report requests.
constexpr unsigned kEndpoints = 78;
constexpr unsigned kSlots = 12;
constexpr Millis kStep{10};
constexpr Millis kBurst{9500};
// Time after the burst in which no requests arrive and the running ones continue.
constexpr Millis kDrainTime{10'000};

struct Kind
{
    double perSecond;
    double value; ///< Of a request of mean size that is on time.
    unsigned meanTokens;
    unsigned answerTokens;
    Millis maxEventGap;
    Millis objective;
    Millis deadline;
};

const Kind kNote{133 * 0.35, 1.4, 5000, 1700, Millis(200), Millis(300), Millis(10'000)};
const Kind kBrief{12.2 * 1.3, 2.6, 45'000, 1040, Millis(500), Millis(1500), Millis(10'000)};
// 3.6 times the usual rate; the bursts in production are 2.6 to 2.9 times.
const Kind kReport{3.6 * 3.6, 30, 300'000, 830, Millis(800), Millis(4000), Millis(15'000)};

struct Caller
{
    const Kind *kind = nullptr;
    unsigned tokens = 0;
    TimePoint arrived{};
    double value = 0;
};

struct Outcome
{
    double total = 0;  ///< Value of all requests.
    double onTime = 0; ///< Value of those whose first event was on time.
    double share() const { return onTime / total; }
};

/// One daemon that places the whole load on endpoints that match the engine model exactly.
class Simulation
{
public:
    explicit Simulation(unsigned seed)
        : random_(seed)
        , tracker_(32'768)
    {
    }

    Outcome run()
    {
        const TimePoint start{std::chrono::hours(1)};
        for (now_ = start; now_ < start + kBurst + kDrainTime; now_ += kStep) {
            if (now_ < start + kBurst)
                arrive();
            startStreams();
            place();
        }
        return outcome_;
    }

private:
    struct Running
    {
        Caller caller;
        TimePoint ends{};
        bool started = false;
    };

    unsigned sizeOf(const Kind &kind)
    {
        if (&kind != &kReport)
            return kind.meanTokens;
        // Sizes of reports in production, in bins of 100,000 tokens.
        std::discrete_distribution<unsigned> bin({0, 76, 56, 47, 33, 17, 8, 5, 4, 2});
        const unsigned size = bin(random_) * 100'000 + static_cast<unsigned>(random_() % 100'000);
        return std::max(size, 100'000U);
    }

    void arrive()
    {
        for (const Kind *kind : {&kNote, &kBrief, &kReport}) {
            std::poisson_distribution<unsigned> arrivals(
                    kind->perSecond * std::chrono::duration<double>(kStep).count());
            for (unsigned left = arrivals(random_); left > 0; --left) {
                Caller caller{kind, sizeOf(*kind), now_, 0};
                caller.value = kind->value * (0.3 + 0.7 * caller.tokens / kind->meanTokens);
                outcome_.total += caller.value;
                waiting_.push_back(caller);
            }
        }
    }

    void startStreams()
    {
        for (auto entry = running_.begin(); entry != running_.end();) {
            Running &running = entry->second;
            const JobId id{1, entry->first};
            const Job *job = tracker_.find(id);
            if (!running.started && job->expectedPrefillEnd <= now_) {
                running.started = true;
                const Caller &caller = running.caller;
                if (now_ <= caller.arrived + caller.kind->objective)
                    outcome_.onTime += caller.value;
                running.ends
                        = now_
                          + std::chrono::duration_cast<Millis>(decodeTime(
                                  engine_, caller.kind->answerTokens, kSlots / 2, caller.tokens));
                tracker_.started(id, now_);
            }
            if (running.started && running.ends <= now_) {
                tracker_.ended(id, now_);
                entry = running_.erase(entry);
            } else {
                ++entry;
            }
        }
    }

    std::vector<EndpointView> views() const
    {
        std::vector<EndpointView> views(kEndpoints);
        for (unsigned i = 0; i < kEndpoints; ++i) {
            views[i].key = i + 1;
            views[i].slots = kSlots;
            views[i].inOwnDomain = true;
            views[i].load = tracker_.load(i + 1, now_);
        }
        return views;
    }

    void place()
    {
        // The order of the daemon: requests that can be on time first, then by objective.
        std::ranges::stable_sort(waiting_, {}, [&](const Caller &caller) {
            const TimePoint due = caller.arrived + caller.kind->objective;
            return std::make_pair(due <= now_, due);
        });
        std::erase_if(waiting_, [&](const Caller &caller) {
            // A daemon ends a stream that has found no endpoint within its objective.
            if (now_ - caller.arrived > std::max(Millis(2500), caller.kind->objective))
                return true;
            PlacementRequest request;
            request.promptTokens = caller.tokens;
            request.answerTokens = caller.kind->answerTokens;
            request.maxEventGap = caller.kind->maxEventGap;
            request.untilObjective = caller.arrived + caller.kind->objective - now_;
            request.untilDeadline = caller.arrived + caller.kind->deadline - now_;
            const Placement placement = placeStream(request, engine_, views());
            if (placement.outcome == PlacementOutcome::Send)
                begin(caller, placement);
            return placement.outcome != PlacementOutcome::Wait;
        });
    }

    void begin(const Caller &caller, const Placement &placement)
    {
        Job job;
        job.id = {1, ++number_};
        job.promptTokens = caller.tokens;
        job.answerTokens = caller.kind->answerTokens;
        job.maxEventGap = caller.kind->maxEventGap;
        job.placed = now_;
        job.expectedPrefillEnd
                = now_ + std::chrono::duration_cast<SteadyClock::duration>(placement.firstEvent);
        job.dueBy = caller.arrived + caller.kind->objective;
        job.expires = now_ + std::chrono::minutes(1);
        const auto memory = static_cast<std::uint32_t>(placement.kvTokensPerHolder);
        job.parts.push_back({placement.head, placement.prefillTime, true, memory});
        for (std::size_t i = 0; i < placement.helpers.size(); ++i) {
            const bool holds = i < placement.holders;
            job.parts.push_back(
                    {placement.helpers[i], placement.prefillTime, false, holds ? memory : 0});
        }
        tracker_.place(job);
        running_.emplace(number_, Running{caller, {}, false});
    }

    std::mt19937 random_;
    EngineModel engine_
            = test::productionEngine({.slots = kSlots, .kvCapacityTokens = 382'500, .stride = 52});
    LoadTracker tracker_;
    TimePoint now_{};
    std::vector<Caller> waiting_;
    std::map<std::uint32_t, Running> running_;
    std::uint32_t number_ = 0;
    Outcome outcome_;
};

} // namespace

TEST_GROUP(PlacementLoad){};

// Long prompts that start late would occupy endpoints for seconds that other requests need to be on
// time.
TEST(PlacementLoad, aBurstOfReportsMeetsTheTargetForValueServedOnTime)
{
    // The users' target for the mean over days with incidents.
    constexpr double kTarget = 0.67;
    double sum = 0;
    constexpr unsigned kSeeds = 6;
    for (unsigned seed = 1; seed <= kSeeds; ++seed)
        sum += Simulation(seed).run().share();
    CHECK_TRUE(sum / kSeeds >= kTarget);
}
