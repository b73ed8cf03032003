// The decisions by which workspaces share a service: what each has used, who goes first, and who
// leaves an endpoint to others.

#include "base/log.h"
#include "overload/fairorder.h"
#include "overload/workspaceusage.h"
#include "support/gatewayfleet.h"
#include "support/productionengine.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cmath>
#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::overload;
using namespace cicadafork::test;

namespace {

const TimePoint kStart{std::chrono::hours(1)};
const std::string kService = "engine";
constexpr Millis kHalfLife{3000};

EngineModel engine()
{
    return productionEngine({.slots = 12, .kvCapacityTokens = 344'250, .stride = 46});
}

} // namespace

TEST_GROUP(WorkspaceUsage)
{
    WorkspaceUsage usage{
            {.halfLife = kHalfLife, .maxServices = 2, .maxWorkspaces = 3, .maxOwners = 2}};
};

// Guards against full lists of jobs that count twice, and against lost or late datagrams that make
// a job count never or twice.
TEST(WorkspaceUsage, countsEachJobOnce)
{
    struct Case
    {
        const char *name;
        std::vector<std::uint32_t>
                numbers; ///< Of jobs of cost 1, in the order in which they are heard.
        double used;
    };
    const Case cases[] = {
            {"once", {1, 2, 3}, 3},
            {"full lists", {1, 2, 1, 2, 3, 1, 2, 3}, 3},
            {"overtaken", {2, 1, 3, 1}, 3},
            {"lost, in a later list", {1, 3, 1, 2, 3}, 3},
            {"a gap as long as what is remembered", {1, 400, 1, 400}, 2},
            {"so old that it may have counted", {400, 1}, 1},
            {"within what is remembered", {400, 200, 200}, 2},
    };
    for (const Case &row : cases) {
        WorkspaceUsage own{{.halfLife = kHalfLife}};
        for (const std::uint32_t number : row.numbers)
            own.add({7, number}, kService, 1, 1, kStart);
        DOUBLES_EQUAL_TEXT(row.used, own.used(kService, 1, kStart), 1e-9, row.name);
    }
}

TEST(WorkspaceUsage, ownersAreToldApart)
{
    usage.add({7, 1}, kService, 1, 2, kStart);
    usage.add({8, 1}, kService, 1, 3, kStart);
    DOUBLES_EQUAL(5, usage.used(kService, 1, kStart), 1e-9);
}

// Guards against a workspace that is punished for what it used minutes ago, or that gathers credit
// while it is idle.
TEST(WorkspaceUsage, decaysWithItsHalfLife)
{
    usage.add({7, 1}, kService, 1, 8, kStart);
    DOUBLES_EQUAL(4, usage.used(kService, 1, kStart + kHalfLife), 1e-9);
    usage.add({7, 2}, kService, 1, 8, kStart + kHalfLife);
    DOUBLES_EQUAL(6, usage.used(kService, 1, kStart + 2 * kHalfLife), 1e-9);
    // Beyond the time after which the stored values are scaled again.
    usage.add({7, 3}, kService, 1, 8, kStart + 100 * kHalfLife);
    DOUBLES_EQUAL(8, usage.used(kService, 1, kStart + 100 * kHalfLife), 1e-6);
    CHECK_TRUE(usage.used(kService, 1, kStart + 1000 * kHalfLife) >= 0);
}

// Guards against memory that grows with the names of workspaces, services and daemons.
TEST(WorkspaceUsage, isBoundedAndKeepsWhatWasUsedMost)
{
    for (std::uint32_t workspace = 1; workspace <= 4; ++workspace)
        usage.add({7, workspace}, kService, workspace, workspace, kStart);
    LONGS_EQUAL(3, usage.share(kService, 4, kStart).active);
    DOUBLES_EQUAL(0, usage.used(kService, 1, kStart), 1e-9);
    for (std::uint32_t number = 10; number < 20; ++number)
        usage.add({number, 1}, "s" + std::to_string(number), 1, 1, kStart + Millis(number));
    LONGS_EQUAL(2, usage.all(kStart).size());
    // Owners 18 and 19 are remembered.
    CHECK_TRUE(usage.isCounted({19, 1}) && usage.isCounted({18, 1}));
    CHECK_FALSE(usage.isCounted({10, 1}));
}

TEST(WorkspaceUsage, shareComparesWithAllActiveWorkspaces)
{
    usage.add({7, 1}, kService, 1, 6, kStart);
    usage.add({7, 2}, kService, 2, 2, kStart);
    const WorkspaceShare share = usage.share(kService, 1, kStart);
    DOUBLES_EQUAL(0.75, share.fraction(), 1e-9);
    DOUBLES_EQUAL(4, share.fair(), 1e-9);
    DOUBLES_EQUAL(6, share.largest, 1e-9);
    DOUBLES_EQUAL(0, usage.share(kService, 3, kStart).used, 1e-9);
    DOUBLES_EQUAL(0, usage.share("other", 1, kStart).fraction(), 1e-9);
}

// Guards against a cost that counts requests instead of what they take of an engine.
TEST(WorkspaceUsage, costIsTheTimeThatARequestTakesOfAnEngine)
{
    const EngineModel model = engine();
    DOUBLES_EQUAL(1, requestCost(nullptr, 5000, 100), 1e-9);
    const double brief = requestCost(&model, 5000, 1770);
    const double prefill = prefillTime(model, 5000).count();
    const double decode = decodeTime(model, 1770, 12, 12 * (5000 + 885)).count() / 12;
    DOUBLES_EQUAL(prefill + decode, brief, 1e-6);
    // A prompt that fills the KV memory leaves no room for others while its answer is decoded.
    const double large = requestCost(&model, 260'000, 1000);
    DOUBLES_EQUAL((prefillTime(model, 260'000) + decodeTime(model, 1000, 1, 260'500)).count(),
                  large, 1e-6);
    CHECK_TRUE(large > 10 * brief);
}

TEST_GROUP(FairOrder){};

// Guards against a queue of one workspace that holds up all others, whatever their requests cost.
TEST(FairOrder, backloggedWorkspacesGetEqualCost)
{
    struct Case
    {
        const char *name;
        double firstCost;
        double secondCost;
    };
    const Case cases[] = {{"equal", 1, 1}, {"one costs ten times", 10, 1}, {"a hundredth", 1, 100}};
    for (const Case &row : cases) {
        WorkspaceUsage usage;
        double got[] = {0, 0};
        TimePoint now = kStart;
        for (std::uint32_t i = 1; i <= 4000; ++i) {
            const std::vector<FairRequest> waiting{
                    {0, 1, usage.used(kService, 1, now), row.firstCost, now},
                    {1, 2, usage.used(kService, 2, now), row.secondCost, now}};
            const std::uint64_t id = fairOrder(waiting).front();
            const double cost = id == 0 ? row.firstCost : row.secondCost;
            usage.add({7, i}, kService, id == 0 ? 1 : 2, cost, now);
            got[id] += cost;
            now += std::chrono::duration_cast<SteadyClock::duration>(FloatMillis(cost));
        }
        const double jain
                = std::pow(got[0] + got[1], 2) / (2 * (got[0] * got[0] + got[1] * got[1]));
        CHECK_TRUE_TEXT(jain >= 0.95, row.name);
    }
}

// Guards against a workspace that saves up credit while it is idle and then has the service alone.
TEST(FairOrder, anIdleWorkspaceGainsCreditForOneHalfLifeAtMost)
{
    for (const int idleHalfLives : {10, 1000, 100'000}) {
        WorkspaceUsage usage{{.halfLife = kHalfLife}};
        std::uint32_t job = 0;
        // The other workspace has had the service alone.
        TimePoint now = kStart + idleHalfLives * kHalfLife;
        for (TimePoint at = now - 20 * kHalfLife; at < now; at += Millis(10))
            usage.add({7, ++job}, kService, 1, 10, at);
        const TimePoint back = now;
        while (usage.used(kService, 2, now) < usage.used(kService, 1, now)) {
            usage.add({7, ++job}, kService, 2, 10, now);
            now += Millis(10);
        }
        CHECK_TRUE(now - back <= kHalfLife + Millis(10));
    }
}

TEST_GROUP(MustYield){};

// Guards against large workspaces that take what becomes free from under the small ones, and
// against endpoints that stay free although nobody else wants them.
TEST(MustYield, onlyFarAboveTheShareWhileOthersWaitAndForAShortTime)
{
    const WorkspaceShare large{.used = 80, .total = 120, .largest = 80, .active = 24};
    WorkspaceShare small = large;
    small.used = 2;
    WorkspaceShare atShare = large;
    atShare.used = large.fair();
    const WorkspaceShare alone{.used = 80, .total = 80, .largest = 80, .active = 1};
    const WorkspaceShare none;
    const FloatMillis interval(16);
    struct Case
    {
        const char *name;
        YieldFacts facts;
        bool yields;
    };
    const Case cases[] = {
            {"far above, others wait", {large, 3, interval, FloatMillis(0)}, true},
            {"nobody else waits", {large, 0, interval, FloatMillis(0)}, false},
            {"a small one", {small, 3, interval, FloatMillis(0)}, false},
            {"one at its share", {atShare, 3, interval, FloatMillis(0)}, false},
            {"the only one", {alone, 3, interval, FloatMillis(0)}, false},
            {"nothing used", {none, 3, interval, FloatMillis(0)}, false},
            {"nobody took the slot", {large, 3, interval, FloatMillis(251)}, false},
            {"a slot free for long", {large, 3, interval, FloatMillis::max()}, false},
    };
    for (const Case &row : cases)
        CHECK_EQUAL_TEXT(row.yields, mustYield(row.facts), row.name);
}

// Guards against two large workspaces of which one gets what both leave.
TEST(MustYield, longestForTheWorkspaceThatHasUsedMost)
{
    const FloatMillis interval(16);
    WorkspaceShare share{.used = 80, .total = 160, .largest = 80, .active = 24};
    const FloatMillis most = maxYield(share, interval);
    share.used = 40;
    const FloatMillis less = maxYield(share, interval);
    CHECK_TRUE(most > less && less > FloatMillis(0));
    // Longer than a slot is known to be free, the rule would have no end.
    CHECK_TRUE(maxYield(share, FloatMillis(1e6)) <= FloatMillis(LoadTracker::kMaxKnownFree));
}

TEST_GROUP(FreeFor){};

// Guards against a slot that counts as new because others at its endpoint became free later.
TEST(FreeFor, isTheAgeOfTheOldestFreeSlot)
{
    constexpr EndpointKey kEndpoint = 5;
    LoadTracker tracker(100, 1);
    const auto place = [&](std::uint32_t number) {
        Job job;
        job.id = {1, number};
        job.parts.push_back({kEndpoint, FloatMillis(5), true, 10});
        job.placed = kStart;
        job.expires = kStart + std::chrono::minutes(1);
        tracker.place(job);
    };
    for (std::uint32_t number = 1; number <= 3; ++number)
        place(number);
    const TimePoint now = kStart + Millis(100);
    CHECK_TRUE(tracker.freeFor(kEndpoint, 1, now) == FloatMillis::max());
    tracker.ended({1, 1}, kStart + Millis(40));
    tracker.ended({1, 2}, kStart + Millis(90));
    DOUBLES_EQUAL(10, tracker.freeFor(kEndpoint, 1, now).count(), 1e-6);
    DOUBLES_EQUAL(60, tracker.freeFor(kEndpoint, 2, now).count(), 1e-6);
    CHECK_TRUE(tracker.freeFor(kEndpoint, 3, now) == FloatMillis::max());
    CHECK_TRUE(tracker.freeFor(kEndpoint, 1, now + Millis(1000)) == FloatMillis::max());
}

TEST_GROUP_BASE(GatewayUsage, GatewayFleet){};

// Guards against daemons that disagree on what a workspace has used, or count a job again with each
// full list of jobs.
TEST(GatewayUsage, allDaemonsCountAJobOnce)
{
    start(3, 2);
    const Answer &answer = send(*daemons[0], "a1:40,c1:20");
    CHECK_TRUE(runUntil([&] { return answer.ended; }));
    serveFor(Millis(1000)); // Several heartbeats.
    for (const auto &daemon : daemons) {
        const auto state = daemon->state();
        CHECK_TRUE(state.contains("workspace_usage"));
        const double used = state["workspace_usage"][kPool]["ws"].get<double>();
        CHECK_TRUE(used > 0);
        DOUBLES_EQUAL(daemons[0]->state()["workspace_usage"][kPool]["ws"].get<double>(), used,
                      0.05 * used);
    }
}
