// Plays loads with shared prefixes against simulated engines that keep prefixes, or none, and
// compares what callers get with and without prefix-cache-aware placement.

#include "routing/fleetview.h"
#include "support/fleetsimulation.h"
#include "support/productionengine.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

namespace {

// A fifth of the endpoints of the first deployment of docs/hard-load.md, with few daemons, so that
// each learns within the first part of the run.
constexpr unsigned kEndpoints = 12;
constexpr unsigned kSlots = 12;
constexpr unsigned kDaemons = 3;
constexpr Millis kAnnouncementDelay{8};
constexpr Millis kLearning{300'000}; ///< Requests that arrive earlier do not count.
constexpr Millis kLength{600'000};

// Medium prompts of the deployment, two thirds of which are a shared prefix, and short streams
// without one.
constexpr std::uint64_t kPromptTokens = 45'000;
constexpr std::uint64_t kPrefixTokens = 30'000;
constexpr std::uint64_t kShortTokens = 5000;
constexpr double kHotShare = 0.25; ///< Of the medium prompts: the same prefix.
constexpr double kWarmShare = 0.5; ///< One of kWarmPrefixes.
constexpr unsigned kWarmPrefixes = 60;
constexpr std::uint64_t kPrefixMemory = 600'000; ///< Of each engine: 20 prefixes.
constexpr PromptPartId kHotPrefix = 1;
constexpr PromptPartId kFirstWarmPrefix = 1000;
constexpr PromptPartId kFirstUniquePrefix = 1'000'000;
/// Medium prompts per second and endpoint at load 1. Slightly above it, without the feature, one in
/// twenty requests is late or refused.
constexpr double kMediumPerEndpoint = 1.0;
constexpr double kShortPerMedium = 4;

std::vector<SimulatedRequest> arrivals(std::uint64_t seed, double load)
{
    Random random(seed);
    std::uniform_real_distribution<double> unit(0, 1);
    std::lognormal_distribution<double> spread(-0.1, 0.4);
    std::vector<SimulatedRequest> requests;
    const double mediumPerMs = load * kMediumPerEndpoint * kEndpoints / 1000;
    PromptPartId unique = kFirstUniquePrefix;
    const auto add = [&](double perMs, bool medium) {
        std::exponential_distribution<double> gap(perMs);
        for (double at = gap(random); at < static_cast<double>(kLength.count());
             at += gap(random)) {
            SimulatedRequest request;
            request.arrival = Millis(static_cast<Millis::rep>(at));
            const double factor = spread(random);
            if (medium) {
                const double pick = unit(random);
                request.prefix = kHotPrefix;
                if (pick >= kHotShare)
                    request.prefix = kFirstWarmPrefix + random() % kWarmPrefixes;
                if (pick >= kHotShare + kWarmShare)
                    request.prefix = ++unique;
                request.prefixTokens = kPrefixTokens;
                request.promptTokens
                        = kPrefixTokens
                          + static_cast<std::uint64_t>(factor * (kPromptTokens - kPrefixTokens));
                request.answerTokens = 400;
                request.objective = Millis(1500);
            } else {
                request.promptTokens = static_cast<std::uint64_t>(factor * kShortTokens);
                request.answerTokens = 800;
                request.maxEventGap = Millis(250);
                request.objective = Millis(300);
            }
            requests.push_back(request);
        }
    };
    add(mediumPerMs, true);
    add(mediumPerMs * kShortPerMedium, false);
    std::ranges::stable_sort(requests, {}, &SimulatedRequest::arrival);
    return requests;
}

FleetSimulationOptions fleetOptions(std::uint64_t prefixMemory, bool observes)
{
    return {.daemons = kDaemons,
            .endpoints = kEndpoints,
            .slots = kSlots,
            .announcementDelay = kAnnouncementDelay,
            .engine
            = productionEngine({.slots = kSlots, .kvCapacityTokens = 344'250, .stride = 60}),
            .prefixMemoryTokens = prefixMemory,
            .observesPrefixes = observes};
}

struct Outcome
{
    double hitShare = 0; ///< Of the medium prompts served.
    double p50 = 0;      ///< Of the times to the first event of medium prompts, in ms.
    double p95 = 0;
    double worst = 0;
    double onTime = 0;      ///< Share of all requests.
    double shortOnTime = 0; ///< Share of the short streams.
    double busiest = 0;     ///< Most medium prompts at one endpoint, relative to the mean.
    double learned = 0;     ///< Saved share, mean of the daemons.
};

Outcome outcomeOf(const std::vector<SimulatedRequest> &requests, const FleetSimulation &fleet)
{
    Outcome outcome;
    std::vector<double> times;
    std::map<unsigned, double> atEndpoint;
    double all = 0;
    double shorts = 0;
    for (const SimulatedRequest &request : requests) {
        if (request.arrival < kLearning)
            continue;
        const bool isShort = request.prefixTokens == 0;
        all += 1;
        shorts += isShort ? 1 : 0;
        outcome.onTime += request.onTime() ? 1 : 0;
        outcome.shortOnTime += isShort && request.onTime() ? 1 : 0;
        if (isShort || request.firstEvent.count() < 0)
            continue;
        times.push_back(request.firstEvent.count());
        outcome.hitShare += request.prefixKept ? 1 : 0;
        atEndpoint[request.head] += 1;
    }
    std::ranges::sort(times);
    const auto served = static_cast<double>(times.size());
    outcome.onTime /= all;
    outcome.shortOnTime /= shorts;
    outcome.hitShare /= served;
    outcome.p50 = times[times.size() / 2];
    outcome.p95 = times[times.size() * 95 / 100];
    outcome.worst = times.back();
    for (const auto &[endpoint, count] : atEndpoint)
        outcome.busiest = std::max(outcome.busiest, count / (served / kEndpoints));
    for (const PrefixCache &cache : fleet.prefixCaches())
        outcome.learned += cache.estimate("pool").share / kDaemons;
    return outcome;
}

using Results = std::vector<SimulatedRequest>;

Results simulate(const FleetSimulationOptions &options, std::uint64_t seed, double load,
                 Outcome *outcome = nullptr)
{
    FleetSimulation fleet(options);
    Results results = fleet.run(arrivals(seed, load));
    if (outcome)
        *outcome = outcomeOf(results, fleet);
    return results;
}

/// Mean of some seeds; the worst time and the busiest endpoint of all of them.
Outcome play(const FleetSimulationOptions &options, double load)
{
    constexpr unsigned kSeeds = 3;
    Outcome sum;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        Outcome outcome;
        simulate(options, seed, load, &outcome);
        for (const auto member : {&Outcome::hitShare, &Outcome::p50, &Outcome::p95,
                                  &Outcome::onTime, &Outcome::shortOnTime, &Outcome::learned})
            sum.*member += outcome.*member / kSeeds;
        sum.worst = std::max(sum.worst, outcome.worst);
        sum.busiest = std::max(sum.busiest, outcome.busiest);
    }
    return sum;
}

void printRow(const char *engines, double load, bool aware, const Outcome &outcome)
{
    fmt::print("| {} | {:.1f} | {} | {:.2f} | {:.0f} | {:.0f} | {:.0f} | {:.4f} | {:.4f} | {:.2f} "
               "| {:.2f} |\n",
               engines, load, aware ? "on" : "off", outcome.hitShare, outcome.p50, outcome.p95,
               outcome.worst, outcome.onTime, outcome.shortOnTime, outcome.busiest,
               outcome.learned);
}

void printHead()
{
    fmt::print("\n| engines | load | feature | hits | p50 ms | p95 ms | worst ms | on time | short "
               "on time | busiest | learned |\n|---|---|---|---|---|---|---|---|---|---|---|\n");
}

} // namespace

TEST_GROUP(PrefixFleet){};

// Guards against a feature that makes requests late, that piles the requests with one prefix up at
// one endpoint, or that gains nothing where engines keep prefixes.
TEST(PrefixFleet, findsHitsAndMakesNothingLateWhereEnginesKeepPrefixes)
{
    // One in a thousand requests is the difference that a seed alone makes.
    constexpr double kSeedNoise = 0.001;
    // An endpoint with twice its part of the prompts, unless that is so without the feature.
    constexpr double kOverload = 2;
    struct Case
    {
        const char *engines;
        double load;
        std::uint64_t memory;
        std::vector<FleetSimulationOptions::Loss> losses;
    };
    std::vector<FleetSimulationOptions::Loss> restarts;
    constexpr Millis kRestartInterval{20'000};
    for (unsigned i = 1; kRestartInterval * i < kLength; ++i)
        restarts.push_back({kRestartInterval * i, i % kEndpoints, true});
    std::vector<FleetSimulationOptions::Loss> unannounced = restarts;
    for (auto &loss : unannounced)
        loss.restart = false;
    const Case cases[] = {
            {"keep 20 prefixes", 0.3, kPrefixMemory, {}},
            {"keep 20 prefixes", 0.7, kPrefixMemory, {}},
            {"keep 20 prefixes", 1.1, kPrefixMemory, {}},
            {"one restarts every 20 s", 0.7, kPrefixMemory, restarts},
            {"one evicts all every 20 s", 0.7, kPrefixMemory, unannounced},
            {"keep 4 prefixes", 0.7, kPrefixMemory / 5, {}},
    };
    printHead();
    for (const Case &row : cases) {
        FleetSimulationOptions options = fleetOptions(row.memory, false);
        options.losses = row.losses;
        const Outcome off = play(options, row.load);
        options.observesPrefixes = true;
        const Outcome on = play(options, row.load);
        printRow(row.engines, row.load, false, off);
        printRow(row.engines, row.load, true, on);
        const std::string name = fmt::format("{}, load {}", row.engines, row.load);
        CHECK_TRUE_TEXT(on.hitShare > off.hitShare, name.c_str());
        CHECK_TRUE_TEXT(on.p50 <= off.p50, name.c_str());
        CHECK_TRUE_TEXT(on.onTime >= off.onTime - kSeedNoise, name.c_str());
        CHECK_TRUE_TEXT(on.shortOnTime >= off.shortOnTime - kSeedNoise, name.c_str());
        CHECK_TRUE_TEXT(on.busiest <= std::max(kOverload, off.busiest), name.c_str());
    }
}

// Guards against any change where engines keep nothing, at any load.
TEST(PrefixFleet, servesEachRequestAsBeforeWhereEnginesKeepNothing)
{
    printHead();
    for (const double load : {0.3, 0.7, 1.1}) {
        Outcome without;
        Outcome with;
        const Results expected = simulate(fleetOptions(0, false), 1, load, &without);
        const Results results = simulate(fleetOptions(0, true), 1, load, &with);
        printRow("keep nothing", load, false, without);
        printRow("keep nothing", load, true, with);
        const bool same = std::ranges::equal(results, expected, [](const auto &a, const auto &b) {
            return a.head == b.head && a.rejected == b.rejected && a.firstEvent == b.firstEvent
                   && a.longestGap == b.longestGap;
        });
        CHECK_TRUE_TEXT(same, fmt::format("load {}", load).c_str());
        DOUBLES_EQUAL(0, with.learned, 0);
    }
}
