#include "admission/decisions.h"
#include "admission/fairqueue.h"
#include "admission/outlierdetector.h"
#include "admission/retrybudget.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

// After the standard headers: it defines new as a macro.
#include <CppUTest/TestHarness.h>

using namespace cicadafork;

namespace {

const TimePoint kStart{std::chrono::hours(1)};

QueueEntry entry(std::uint64_t ticket, const std::string &workspace, Priority priority,
                 std::uint64_t tokens = 1000)
{
    QueueEntry result;
    result.ticket = ticket;
    result.workspace = workspace;
    result.service = "s";
    result.priority = priority;
    result.promptTokens = tokens;
    return result;
}

} // namespace

TEST_GROUP(Admission)
{
    Random random{3};
};

// Guards against queueing requests that cannot be served, and against refusing those that can.
TEST(Admission, refusalFollowsOutcomeAndRemainingTime)
{
    struct Case
    {
        const char *name;
        RouteOutcome outcome;
        Millis expected;
        Millis queueing;
        Millis remaining;
        bool refused;
        RefusalReason reason;
        bool canRetry;
    };
    using enum RefusalReason;
    const std::vector<Case> cases = {
            {"in time", RouteOutcome::Endpoint, Millis(50), Millis(0), Millis(100), false, {}, {}},
            {"waits in time",
             RouteOutcome::Wait,
             Millis(50),
             Millis(20),
             Millis(100),
             false,
             {},
             {}},
            {"prefill too long", RouteOutcome::Endpoint, Millis(100), Millis(0), Millis(100), true,
             DeadlineTooShort, true},
            {"queue too long", RouteOutcome::Wait, Millis(50), Millis(60), Millis(100), true,
             DeadlineTooShort, true},
            {"deadline passed", RouteOutcome::Endpoint, Millis(0), Millis(0), Millis(-5), true,
             DeadlineTooShort, true},
            {"no endpoint", RouteOutcome::NoEndpoint, Millis(0), Millis(0), Millis(100), true,
             NoEndpoint, true},
            {"too large", RouteOutcome::Impossible, Millis(0), Millis(0), Millis(100), true,
             PromptTooLarge, false},
    };
    for (const Case &c : cases) {
        RouteDecision decision;
        decision.outcome = c.outcome;
        decision.expectedFirstToken = c.expected;
        const auto refusal = refuseByDecision(decision, c.queueing, c.remaining, random);
        CHECK_EQUAL_TEXT(c.refused, refusal.has_value(), c.name);
        if (!refusal)
            continue;
        CHECK_TRUE_TEXT(c.reason == refusal->reason, c.name);
        CHECK_EQUAL_TEXT(c.canRetry, refusal->retryAfter > Millis(0), c.name);
        CHECK_TRUE_TEXT(!refusal->error.remedy.empty(), c.name);
    }
}

// Guards against refused callers that all retry at the same time.
TEST(Admission, retryAfterIsJitteredAndBounded)
{
    std::map<Millis, int> seen;
    for (int i = 0; i < 200; ++i) {
        const Millis delay = jittered(Millis(4000), random);
        CHECK_TRUE(delay >= Millis(4000) && delay <= Millis(6000));
        ++seen[delay];
    }
    CHECK_TRUE(seen.size() > 100);
    CHECK_TRUE(jittered(Millis(10'000'000), random) <= Millis(90'000));
}

// Guards against a flood of requests that leaves no queue entries for urgent ones.
TEST(Admission, lowPrioritiesAreRefusedFirstAndUrgentHasReservedEntries)
{
    FairQueue queue(20);
    std::uint64_t ticket = 0;
    for (int i = 0; i < 10; ++i)
        CHECK_FALSE(queue.push(entry(++ticket, "w", Priority::Background)).refused.has_value());
    CHECK_TRUE(queue.push(entry(++ticket, "w", Priority::Background)).refused
               == RefusalReason::LoadShed);
    for (int i = 0; i < 8; ++i)
        CHECK_FALSE(queue.push(entry(++ticket, "w", Priority::Normal)).displaced.has_value());
    const FairQueue::PushResult normal = queue.push(entry(++ticket, "w", Priority::Normal));
    CHECK_FALSE(normal.refused.has_value());
    LONGS_EQUAL(10, *normal.displaced);
    int accepted = 0;
    for (int i = 0; i < 30; ++i) {
        if (!queue.push(entry(++ticket, "w", Priority::Urgent)).refused)
            ++accepted;
    }
    LONGS_EQUAL(20, accepted);
    LONGS_EQUAL(20, queue.size());
    CHECK_TRUE(queue.push(entry(++ticket, "w", Priority::Urgent)).refused
               == RefusalReason::QueueFull);
}

// Guards against a workspace that fills the queue or is served more than its share.
TEST(Admission, workspacesGetQueueEntriesAndServiceByShare)
{
    FairQueue queue(100);
    std::uint64_t ticket = 0;
    for (int i = 0; i < 90; ++i)
        queue.push(entry(++ticket, "flood", Priority::Normal));
    for (int i = 0; i < 30; ++i) {
        QueueEntry small = entry(++ticket, "small", Priority::Normal);
        small.share = 2;
        CHECK_FALSE(queue.push(small).refused.has_value());
    }
    LONGS_EQUAL(90, queue.size());
    CHECK_TRUE(queue.push(entry(++ticket, "flood", Priority::Normal)).refused
               == RefusalReason::QueueFull);
    std::map<std::string, int> served;
    for (int i = 0; i < 30; ++i) {
        const std::uint64_t next = queue.order("s", 1).front();
        ++served[queue.find(next)->workspace];
        queue.erase(next, true);
    }
    CHECK_TRUE(served["small"] >= 19 && served["small"] <= 21);
}

// Guards against a group that overtakes an earlier one.
TEST(Admission, onlyTheOldestGroupOfAServiceIsListed)
{
    FairQueue queue(10);
    QueueEntry first = entry(1, "big", Priority::Normal, 500'000);
    QueueEntry second = entry(2, "other", Priority::Urgent, 300'000);
    first.group = second.group = true;
    // Ticket 4 returns after its reservation was refused; its request arrived before the others.
    first.groupOrder = 11;
    second.groupOrder = 12;
    QueueEntry returned = entry(4, "back", Priority::Background, 400'000);
    returned.group = true;
    returned.groupOrder = 10;
    queue.push(first);
    queue.push(second);
    queue.push(entry(3, "small", Priority::Normal));
    CHECK_TRUE(queue.order("s", 10) == (std::vector<std::uint64_t>{1, 3}));
    queue.push(returned);
    CHECK_TRUE(queue.order("s", 10) == (std::vector<std::uint64_t>{3, 4}));
    queue.erase(4, true);
    queue.erase(1, true);
    CHECK_TRUE(queue.order("s", 10) == (std::vector<std::uint64_t>{2, 3}));
}

// Guards against starvation of background requests when normal requests exceed the capacity, and
// against background requests that delay urgent ones.
TEST(Admission, backgroundGetsATwentiethUnderConstantNormalLoad)
{
    FairQueue queue(1000);
    std::uint64_t ticket = 0;
    std::map<Priority, int> served;
    for (int step = 0; step < 400; ++step) {
        if (step < 100)
            queue.push(entry(++ticket, "b", Priority::Background));
        queue.push(entry(++ticket, "n", Priority::Normal));
        if (step % 10 == 0)
            queue.push(entry(++ticket, "u", Priority::Urgent));
        const std::uint64_t next = queue.order("s", 1).front();
        const Priority priority = queue.find(next)->priority;
        ++served[priority];
        if (step % 10 == 0)
            CHECK_TRUE(priority == Priority::Urgent);
        queue.erase(next, true);
    }
    LONGS_EQUAL(18, served[Priority::Background]);
    LONGS_EQUAL(40, served[Priority::Urgent]);
}

// Guards against starvation of background requests: they are served whenever no other request
// waits, and a constant stream of normal requests below the capacity leaves room for them.
TEST(Admission, backgroundIsServedWhenOthersUseLessThanCapacity)
{
    FairQueue queue(100);
    std::uint64_t ticket = 0;
    int served = 0;
    for (int step = 0; step < 100; ++step) {
        queue.push(entry(++ticket, "b", Priority::Background));
        if (step % 10 != 0)
            queue.push(entry(++ticket, "n", Priority::Normal));
        const std::uint64_t next = queue.order("s", 1).front();
        if (queue.find(next)->priority == Priority::Background)
            ++served;
        queue.erase(next, true);
    }
    LONGS_EQUAL(10, served);
}

// Guards against retries that sustain an overload.
TEST(Admission, retriesStayWithinTheBudget)
{
    struct Case
    {
        const char *name;
        double successShare;
        double maxAttemptRatio; ///< Offered attempts over first attempts.
    };
    for (const Case &c : {Case{"total failure", 0, 1.1}, Case{"half fail", 0.5, 1.1},
                          Case{"tenth fail", 0.9, 1.1}}) {
        RetryBudget budget(0.1, 16);
        int first = 0;
        int retries = 0;
        TimePoint now = kStart;
        for (int i = 0; i < 2000; ++i, now += Millis(50)) {
            ++first;
            if (std::uniform_real_distribution<>(0, 1)(random) < c.successShare) {
                budget.recordSuccess("w", "s", now);
                continue;
            }
            for (int attempt = 0; attempt < 5 && budget.take("w", "s", now); ++attempt)
                ++retries;
        }
        CHECK_TRUE_TEXT(retries > 0, c.name);
        CHECK_TRUE_TEXT(first + retries <= c.maxAttemptRatio * first, c.name);
    }
}

// Guards against unbounded growth of the budget table and budgets that are shared between
// workspaces.
TEST(Admission, retryBudgetsAreSeparateAndBounded)
{
    RetryBudget budget(0.1, 2);
    for (int i = 0; i < static_cast<int>(kInitialRetries); ++i)
        CHECK_TRUE(budget.take("w1", "s", kStart));
    CHECK_FALSE(budget.take("w1", "s", kStart));
    CHECK_TRUE(budget.take("w2", "s", kStart));
    CHECK_FALSE(budget.take("w3", "s", kStart));
    LONGS_EQUAL(2, budget.size());
    CHECK_TRUE(budget.take("w3", "s", kStart + Millis(700'000)));
}

TEST(Admission, retryDelayHasFullJitterBelowAnExponentialBound)
{
    for (const unsigned attempt : {0U, 1U, 3U, 40U}) {
        Millis largest{0};
        Millis smallest{10'000};
        for (int i = 0; i < 500; ++i) {
            const Millis delay = retryDelay(attempt, random);
            largest = std::max(largest, delay);
            smallest = std::min(smallest, delay);
        }
        const Millis bound = std::min(Millis(2000), Millis(50) * (1 << std::min(attempt, 10U)));
        CHECK_TRUE(largest <= bound && largest > bound * 8 / 10);
        CHECK_TRUE(smallest < bound / 5);
    }
}

TEST_GROUP(Outliers)
{
    std::map<std::string, bool> ejected;
    OutlierDetector detector{64, [this](const std::string &id, bool out) { ejected[id] = out; }};

    std::vector<std::string> pool(int size)
    {
        std::vector<std::string> ids;
        for (int i = 0; i < size; ++i)
            ids.push_back("e" + std::to_string(i));
        detector.setPool("s", ids);
        return ids;
    }

    int ejectedCount() const
    {
        int count = 0;
        for (const auto &[id, out] : ejected)
            count += out ? 1 : 0;
        return count;
    }

    void fail(const std::string &id, TimePoint now)
    {
        for (unsigned i = 0; i < kFailuresToEject; ++i)
            detector.observe(id, false, 0, now);
    }
};

// Guards against ejections that take the whole service down when all requests fail.
TEST(Outliers, atMostAThirdOfAPoolIsEjected)
{
    struct Case
    {
        int size;
        int expected;
    };
    for (const Case &c : {Case{1, 0}, Case{2, 0}, Case{3, 1}, Case{20, 6}}) {
        ejected.clear();
        detector.setPool("s", {"none"});
        for (const std::string &id : pool(c.size))
            fail(id, kStart);
        for (int tick = 0; tick < 5; ++tick)
            detector.tick(kStart);
        LONGS_EQUAL(c.expected, ejectedCount());
    }
}

// Guards against one slow endpoint that raises the p95 of the pool, and against ejections in a pool
// that is uniformly slow.
TEST(Outliers, endpointMuchSlowerThanTheMedianIsEjected)
{
    struct Case
    {
        const char *name;
        double others;
        double one;
        int expected;
    };
    for (const Case &c : {Case{"ten times slower", 1, 10, 1}, Case{"twice as slow", 1, 2, 0},
                          Case{"all slow", 10, 10, 0}}) {
        ejected.clear();
        detector.setPool("s", {"none"});
        for (const std::string &id : pool(4)) {
            for (unsigned i = 0; i < kMinSlowFactorSamples; ++i)
                detector.observe(id, true, id == "e2" ? c.one : c.others, kStart);
        }
        detector.tick(kStart);
        LONGS_EQUAL_TEXT(c.expected, ejectedCount(), c.name);
        if (c.expected > 0)
            CHECK_TRUE_TEXT(ejected["e2"], c.name);
    }
}

// Guards against an endpoint that returns to full load at once, or that keeps being ejected for the
// same short time.
TEST(Outliers, endpointReturnsByProbeAndSlowStartAndEachEjectionIsLonger)
{
    pool(3);
    TimePoint now = kStart;
    Millis length = kMinEjectionTime;
    for (int round = 0; round < 4; ++round) {
        fail("e1", now);
        detector.tick(now);
        CHECK_TRUE(ejected["e1"]);
        detector.tick(now + length - Millis(1));
        CHECK_TRUE(ejected["e1"]);
        now += length;
        detector.tick(now);
        CHECK_FALSE(ejected["e1"]);
        CHECK_TRUE(detector.state("e1") == OutlierState::Probing);
        DOUBLES_EQUAL(kProbeShare, detector.trafficShare("e1", now), 1e-9);
        length *= 2;
    }
    detector.observe("e1", true, 1, now);
    CHECK_TRUE(detector.state("e1") == OutlierState::SlowStart);
    CHECK_TRUE(detector.trafficShare("e1", now) < 0.2);
    DOUBLES_EQUAL(0.5, detector.trafficShare("e1", now + kSlowStartTime / 2), 0.01);
    detector.tick(now + kSlowStartTime);
    DOUBLES_EQUAL(1, detector.trafficShare("e1", now + kSlowStartTime), 1e-9);
}
