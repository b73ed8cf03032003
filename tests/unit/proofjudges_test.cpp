// The judges of the proofs: each must find the defect that it is there for, and no other.

#include "support/calljournal.h"
#include "support/configwatch.h"

#include <CppUTest/TestHarness.h>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

WallTime wallAt(int millis)
{
    return WallTime(Millis(1'000'000 + millis));
}

TimePoint at(int millis)
{
    return TimePoint(Millis(1'000'000 + millis));
}

CallRecord callOf(const char *id, int sent, int answered, const char *execution, int status = 503)
{
    CallRecord call{id, "key", "daemon-1", wallAt(sent), wallAt(answered), {}};
    call.result.status = status;
    call.result.execution = execution;
    return call;
}

} // namespace

TEST_GROUP(ProofJudges){};

// Guards against a proof of not_run that cannot fail, or that blames a later attempt.
TEST(ProofJudges, falseNotRunIsFoundForTheAttemptAndForItsKey)
{
    struct Case
    {
        const char *name;
        int otherSent;
        int otherAnswered;
        const char *executed; ///< Request id that ran.
        int executedAt;
        std::size_t found;
    };
    // The call "a" runs from 100 to 200 and is told not_run.
    const std::vector<Case> cases = {
            {"itself", 300, 400, "a", 500, 1},
            {"earlier attempt ran before", 0, 50, "b", 20, 1},
            {"earlier attempt ran late", 0, 50, "b", 900, 1},
            {"overlapping attempt ran before the answer", 120, 400, "b", 150, 1},
            {"overlapping attempt ran after the answer", 120, 400, "b", 300, 0},
            {"later attempt", 300, 400, "b", 350, 0},
            {"another request", 0, 50, "c", 150, 0},
    };
    for (const Case &c : cases) {
        const std::vector<CallRecord> calls
                = {callOf("a", 100, 200, "not_run"),
                   callOf("b", c.otherSent, c.otherAnswered, "may_have_run")};
        const std::vector<Execution> executions
                = {{"service-1", c.executed, "key", wallAt(c.executedAt)}};
        CHECK_EQUAL_TEXT(c.found, falseNotRuns(calls, executions).size(), c.name);
    }
}

TEST(ProofJudges, secondExecutionsAndDifferentAnswersAreFound)
{
    const std::vector<Execution> executions = {{"service-1", "a", "key", wallAt(1)},
                                               {"service-2", "b", "key", wallAt(2)},
                                               {"service-2", "c", "", wallAt(3)},
                                               {"service-2", "d", "", wallAt(4)}};
    LONGS_EQUAL(1, repeatedExecutions(executions).size());
    std::vector<CallRecord> calls = {callOf("a", 0, 10, "", 200), callOf("b", 20, 30, "", 200)};
    LONGS_EQUAL(0, differingOutcomes(calls, executions).size());
    calls[1].result.text = "other";
    LONGS_EQUAL(1, differingOutcomes(calls, executions).size());
    LONGS_EQUAL(3, differingOutcomes(calls, {}).size());
}

// Guards against a proof of the configuration that misses a late, a lost, a reverted or a doubly
// accepted change.
TEST(ProofJudges, configurationDefectsAreFound)
{
    using Kind = ChangeAnswer::Kind;
    const ChangeAnswer accepted{"w0", 5, "2", Kind::Accepted, 8, at(0)};
    {
        ConfigWatch watch;
        watch.recordAnswer(accepted);
        watch.recordVersion("d", "w0", 5, "1", at(0));
        watch.recordVersion("d", "w0", 8, "2", at(5900));
        LONGS_EQUAL(0, watch.findViolations({}).size());
        LONGS_EQUAL(5900, watch.longestPropagation({}).count());
        watch.recordAnswer({"w0", 5, "3", Kind::Accepted, 9, at(0)});
        // Accepted twice on version 5, and the second one is never in force.
        LONGS_EQUAL(2, watch.findViolations({}).size());
    }
    {
        ConfigWatch watch;
        watch.recordAnswer(accepted);
        watch.recordVersion("d", "w0", 8, "2", at(7000));
        LONGS_EQUAL(1, watch.findViolations({}).size());
        LONGS_EQUAL(0, watch.findViolations({{"d", at(-100), at(2000)}}).size());
        LONGS_EQUAL(1, watch.findViolations({{"e", at(-100), at(2000)}}).size());
        watch.recordVersion("d", "w0", 5, "1", at(8000));
        LONGS_EQUAL(1, watch.findViolations({{"d", at(-100), at(2000)}}).size());
    }
    {
        ConfigWatch watch;
        watch.recordAnswer({"w0", 5, "3", Kind::Rejected, 5, at(0)});
        watch.recordVersion("d", "w0", 8, "3", at(10));
        watch.recordVersion("e", "w0", 8, "4", at(10));
        LONGS_EQUAL(2, watch.findViolations({}).size());
    }
}

// Guards against a bound that a chain of disturbances ends too early, or that an old one extends.
TEST(ProofJudges, timeInForceCountsFromTheEndOfDisturbances)
{
    CHECK_TRUE(propagationDeadline("d", at(0), {}) == at(6000));
    CHECK_TRUE(propagationDeadline("d", at(0), {{"d", at(-9000), at(-1)}}) == at(6000));
    CHECK_TRUE(propagationDeadline("d", at(0), {{"d", at(8000), at(9000)}}) == at(6000));
    CHECK_TRUE(
            propagationDeadline("d", at(0), {{"d", at(8000), at(9000)}, {"d", at(1000), at(3000)}})
            == at(15'000));
}
