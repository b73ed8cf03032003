// Plays two workspaces far over their share and 22 small ones against simulated engines and
// daemons, and checks what each workspace gets of the engines.

#include "overload/workspaceusage.h"
#include "support/fleetsimulation.h"
#include "support/productionengine.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

namespace {

constexpr unsigned kEndpoints = 24;
constexpr unsigned kSlots = 12;
constexpr unsigned kDomains = 3;
constexpr unsigned kWorkspaces = 24; ///< Numbered from 1.
constexpr unsigned kLarge = 2;       ///< The first ones.
// The first large workspace asks for this many times what the second does.
constexpr double kLargeRatio = 2;
// What the small workspaces ask for on average, and the difference to the least and the most, as
// shares of an equal part of the capacity.
constexpr double kSmallDemand = 0.7;
constexpr double kSmallSpread = 0.2;
// Time in which queues fill and usage settles.
constexpr Millis kWarmUp{6000};
constexpr Millis kLength{16'000};

// Short streams of the first deployment. Their callers leave after eight times the pause.
constexpr double kMeanPrompt = 4960;
constexpr double kPromptSpread = 0.9; ///< Standard deviation over the mean.
constexpr double kMaxPrompt = 23'800;
constexpr double kMeanAnswer = 1770;
// With answers of one length, streams that start together would free their slots together for the
// whole run.
constexpr double kAnswerSpread = 0.7;
constexpr double kMaxAnswer = 8000;
constexpr Millis kObjective{250};
constexpr Millis kEventGap{250};
constexpr Millis kCallerLeaves{2000};

constexpr unsigned kSeed = 1;

// The targets of docs/hard-load.md, section 3.
constexpr double kMinServedOfSmall = 0.95;
constexpr double kMinJain = 0.95;
constexpr double kMinUtilization = 0.95;

const EngineModel kEngine
        = productionEngine({.slots = kSlots, .kvCapacityTokens = 344'250, .stride = 46});

double costOf(const SimulatedRequest &request)
{
    return overload::requestCost(&kEngine, request.promptTokens, request.answerTokens);
}

/// What the workspace asks for, as a share of the capacity, if all together ask for `load`.
double demandOf(std::uint32_t workspace, double load)
{
    const double part = 1.0 / kWorkspaces;
    if (workspace > kLarge) {
        const double place = static_cast<double>(workspace - kLarge - 1)
                             / static_cast<double>(kWorkspaces - kLarge - 1);
        return part * (kSmallDemand + kSmallSpread * (2 * place - 1));
    }
    const double large = load - (kWorkspaces - kLarge) * part * kSmallDemand;
    return workspace == 1 ? large * kLargeRatio / (kLargeRatio + 1) : large / (kLargeRatio + 1);
}

std::lognormal_distribution<double> lengths(double mean, double spread)
{
    const double variance = std::log(1 + spread * spread);
    return std::lognormal_distribution<double>(std::log(mean) - variance / 2, std::sqrt(variance));
}

std::vector<SimulatedRequest> arrivals(double load, unsigned seed)
{
    std::mt19937 random(seed);
    auto tokens = lengths(kMeanPrompt, kPromptSpread);
    auto answers = lengths(kMeanAnswer, kAnswerSpread);
    std::vector<SimulatedRequest> requests;
    const double millisOfEngines = kEndpoints;
    const double meanCost = overload::requestCost(&kEngine, static_cast<std::uint64_t>(kMeanPrompt),
                                                  static_cast<std::uint64_t>(kMeanAnswer));
    for (std::uint32_t workspace = 1; workspace <= kWorkspaces; ++workspace) {
        std::exponential_distribution<double> gap(demandOf(workspace, load) * millisOfEngines
                                                  / meanCost);
        for (double at = gap(random); at < static_cast<double>(kLength.count());
             at += gap(random)) {
            SimulatedRequest request;
            request.arrival = Millis(static_cast<Millis::rep>(at));
            request.promptTokens
                    = static_cast<std::uint64_t>(std::clamp(tokens(random), 1.0, kMaxPrompt));
            request.answerTokens
                    = static_cast<std::uint64_t>(std::clamp(answers(random), 1.0, kMaxAnswer));
            request.maxEventGap = kEventGap;
            request.objective = kObjective;
            request.workspace = workspace;
            requests.push_back(request);
        }
    }
    std::ranges::sort(requests, {}, &SimulatedRequest::arrival);
    return requests;
}

struct FleetResult
{
    std::vector<double> asked = std::vector<double>(kWorkspaces + 1);
    std::vector<double> served = std::vector<double>(kWorkspaces + 1);
    std::vector<double> onTime = std::vector<double>(kWorkspaces + 1);
    std::vector<double> cost = std::vector<double>(kWorkspaces + 1); ///< Of those served.
    double totalCost = 0;

    double servedShare(std::uint32_t workspace) const
    {
        return asked[workspace] > 0 ? served[workspace] / asked[workspace] : 1;
    }
    double leastServedOfSmall() const
    {
        double least = 1;
        for (std::uint32_t workspace = kLarge + 1; workspace <= kWorkspaces; ++workspace)
            least = std::min(least, servedShare(workspace));
        return least;
    }
    /// Over the workspaces that ask for more than their part when all share the capacity fairly.
    double jainOfBacklogged(double load) const
    {
        const double ofSmall = (kWorkspaces - kLarge) * kSmallDemand / kWorkspaces;
        double sum = 0;
        double squares = 0;
        unsigned count = 0;
        for (std::uint32_t workspace = 1; workspace <= kLarge; ++workspace) {
            if (demandOf(workspace, load) <= (1 - ofSmall) / kLarge)
                continue;
            sum += cost[workspace];
            squares += cost[workspace] * cost[workspace];
            ++count;
        }
        return count == 0 ? 1 : sum * sum / (count * squares);
    }
};

/// Requests that arrive after the warm-up. The cost of those of which the first event comes after
/// the last arrival does not count: then the load is gone.
FleetResult evaluate(const std::vector<SimulatedRequest> &requests)
{
    FleetResult result;
    for (const SimulatedRequest &request : requests) {
        const FloatMillis leaves{kCallerLeaves};
        const bool served = request.firstEvent.count() >= 0 && request.firstEvent <= leaves;
        const FloatMillis at = FloatMillis(request.arrival) + request.firstEvent;
        if (served && at >= FloatMillis(kWarmUp) && at < FloatMillis(kLength)) {
            result.cost[request.workspace] += costOf(request);
            result.totalCost += costOf(request);
        }
        if (request.arrival < kWarmUp)
            continue;
        result.asked[request.workspace] += 1;
        result.served[request.workspace] += served ? 1 : 0;
        result.onTime[request.workspace] += request.onTime() ? 1 : 0;
    }
    return result;
}

FleetSimulationOptions fleetOptions(unsigned daemons)
{
    FleetSimulationOptions options;
    options.daemons = daemons;
    options.endpoints = kEndpoints;
    options.slots = kSlots;
    options.queueLimit = kCallerLeaves;
    options.drainTime = Millis(3000);
    options.engine = kEngine;
    options.gatewayDispatch = true;
    options.failureDomains = kDomains;
    return options;
}

/// One daemon that knows everything at once and dispatches as often as useful.
FleetSimulationOptions singleQueue()
{
    FleetSimulationOptions options = fleetOptions(1);
    options.failureDomains = 1;
    options.announcementDelay = Millis(0);
    options.dispatchDelay = Millis(2);
    options.streamsPerDispatch = 24;
    return options;
}

} // namespace

TEST_GROUP(FairnessFleet){};

namespace {

/// The targets that fleets of these sizes miss, a line for each; empty if there are none.
std::string missedTargets(double load, std::initializer_list<unsigned> fleets)
{
    std::string missed;
    FleetSimulation single(singleQueue());
    const FleetResult best = evaluate(single.run(arrivals(load, kSeed)));
    for (const unsigned daemons : fleets) {
        FleetSimulation fleet(fleetOptions(daemons));
        const FleetResult result = evaluate(fleet.run(arrivals(load, kSeed)));
        const double small = result.leastServedOfSmall();
        const double jain = result.jainOfBacklogged(load);
        const double utilization = result.totalCost / best.totalCost;
        if (small < kMinServedOfSmall || jain < kMinJain || utilization < kMinUtilization)
            missed += fmt::format("{} daemons: small {:.3f}, Jain {:.3f}, utilization {:.3f}\n",
                                  daemons, small, jain, utilization);
    }
    return missed;
}

} // namespace

// The tests of shared loads guard against large workspaces that take what small ones ask for,
// against one large workspace that gets more than the other, and against endpoints that stay idle
// to that end.
TEST(FairnessFleet, workspacesShareAtTheCapacity)
{
    STRCMP_EQUAL("", missedTargets(1.0, {8, 30, 88, 295}).c_str());
}

TEST(FairnessFleet, workspacesShareAboveTheCapacity)
{
    STRCMP_EQUAL("", missedTargets(1.2, {8, 30, 88}).c_str());
}

TEST(FairnessFleet, theLargestFleetSharesAboveTheCapacity)
{
    STRCMP_EQUAL("", missedTargets(1.2, {295}).c_str());
}

TEST(FairnessFleet, eightDaemonsShareAtTwiceTheCapacity)
{
    STRCMP_EQUAL("", missedTargets(2.0, {8}).c_str());
}

TEST(FairnessFleet, eightyEightDaemonsShareAtTwiceTheCapacity)
{
    STRCMP_EQUAL("", missedTargets(2.0, {88}).c_str());
}

TEST(FairnessFleet, thirtyDaemonsShareAtTwiceTheCapacity)
{
    STRCMP_EQUAL("", missedTargets(2.0, {30}).c_str());
}

TEST(FairnessFleet, theLargestFleetSharesAtTwiceTheCapacity)
{
    STRCMP_EQUAL("", missedTargets(2.0, {295}).c_str());
}

// Guards against a rule that has no effect: without it the same load must miss the targets.
TEST(FairnessFleet, withoutSharingSmallWorkspacesAreStarved)
{
    FleetSimulationOptions options = fleetOptions(88);
    options.fairness = false;
    FleetSimulation fleet(options);
    const FleetResult result = evaluate(fleet.run(arrivals(2.0, kSeed)));
    CHECK_TRUE(result.leastServedOfSmall() < kMinServedOfSmall);
    CHECK_TRUE(result.jainOfBacklogged(2.0) < kMinJain);
}

// Shows what a daemon of a large fleet knows, which hears of the jobs of its failure domain only:
// the shares of workspaces with callers in all domains are right within the spread of single
// requests, one whose callers are all in one domain counts more there than elsewhere.
TEST(FairnessFleet, inALargeFleetUsageIsKnownByFailureDomain)
{
    constexpr unsigned kDaemons = 295;
    // A domain sees about ten requests of the workspace a second. Three standard deviations of
    // their cost, summed over the 4.3 s for which they count on average.
    constexpr double kAllowedDeviation = 0.4;
    const auto run = [](std::uint32_t oneDomainWorkspace, const auto &check) {
        auto requests = arrivals(1.0, kSeed);
        for (SimulatedRequest &request : requests)
            request.inFirstDomain = request.workspace == oneDomainWorkspace;
        FleetSimulation fleet(fleetOptions(kDaemons));
        requests = fleet.run(requests);
        double total = 0;
        double first = 0;
        const Millis halfLife = overload::UsageOptions().halfLife;
        for (const SimulatedRequest &request : requests) {
            if (request.firstEvent.count() < 0)
                continue;
            const FloatMillis at = FloatMillis(request.arrival - kLength) + request.firstEvent;
            const double used = costOf(request) * std::exp2(at / FloatMillis(halfLife));
            total += used;
            first += request.workspace == 1 ? used : 0;
        }
        for (unsigned domain = 0; domain < kDomains; ++domain)
            check(domain, fleet.share(domain, 1).fraction() / (first / total));
    };
    run(0, [&](unsigned, double relative) {
        CHECK_TRUE(std::abs(relative - 1) <= kAllowedDeviation);
    });
    std::vector<double> seen;
    run(1, [&](unsigned, double relative) { seen.push_back(relative); });
    // The other domains hear of the jobs that are placed on their endpoints.
    CHECK_TRUE(seen[0] > 1 + kAllowedDeviation);
    CHECK_TRUE(seen[1] < seen[0] && seen[2] < seen[0]);
}
