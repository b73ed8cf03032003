// Attempts of the frontend: retries, groups of engines and calls that run at most once.

#include "base/ids.h"
#include "support/frontendfakes.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <thread>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

std::string executionOf(const httplib::Result &answer)
{
    return nlohmann::json::parse(answer->body).value("execution", "");
}

std::string longPrompt(std::size_t bytes)
{
    std::string prompt;
    while (prompt.size() < bytes)
        prompt += "prompt \xc3\xa9 ";
    return nlohmann::json{{"model", "m"}, {"prompt", prompt}, {"max_tokens", 4}}.dump();
}

} // namespace

TEST_GROUP(FrontendAttempts){};

// Guards against a failure that another endpoint could have hidden, and against a wrong "not run".
TEST(FrontendAttempts, failedFirstAttemptsAreRetriedElsewhereWithinTheBudget)
{
    struct Case
    {
        const char *name;
        FakeBehaviour first;
        bool stopped;
        bool forbidden;
        int budget;
        int status;
        const char *execution; ///< Of the problem.
        std::size_t secondExecutions;
    };
    const FakeBehaviour refuses = {.refuseStatus = 503, .executedFalse = true};
    const FakeBehaviour limits = {.refuseStatus = 429, .executedFalse = true};
    const FakeBehaviour fails = {.refuseStatus = 500, .executedFalse = false};
    const FakeBehaviour breaks
            = {.fault = StreamFault::Truncated, .faultAt = 0, .resumable = false};
    const std::vector<Case> cases = {
            {"refused", refuses, false, false, 1, 200, "", 1},
            {"failed", fails, false, false, 1, 200, "", 1},
            {"no token", breaks, false, false, 1, 200, "", 1},
            {"down", {}, true, false, 1, 200, "", 1},
            {"permission withdrawn", {}, false, true, 1, 200, "", 1},
            {"refused, no budget", refuses, false, false, 0, 503, "not_run", 0},
            {"limited, no budget", limits, false, false, 0, 429, "not_run", 0},
            {"failed, no budget", fails, false, false, 0, 502, "may_have_run", 0},
            {"no token, no budget", breaks, false, false, 0, 502, "may_have_run", 0},
            {"down, no budget", {}, true, false, 0, 503, "not_run", 0},
    };
    for (const Case &c : cases) {
        FrontendFixture fixture(2);
        fixture.engine(0).set(c.first);
        fixture.admission.retryBudget = c.budget;
        if (c.stopped)
            fixture.engine(0).stop();
        if (c.forbidden)
            fixture.fleet.forbid("engine-0");
        const auto answer = fixture.post("/v1/completions", completionBody(false));
        LONGS_EQUAL_TEXT(c.status, answer->status, c.name);
        LONGS_EQUAL_TEXT(c.secondExecutions, fixture.engine(1).executions(), c.name);
        if (c.status != 200) {
            STRCMP_EQUAL_TEXT(c.execution, executionOf(answer).c_str(), c.name);
            CHECK_TRUE_TEXT(c.status == 502 || answer->has_header("Retry-After"), c.name);
        }
        CHECK_TRUE_TEXT(FrontendFixture::eventually([&] {
                            return fixture.fleet.finishedAttempts()
                                   == static_cast<std::size_t>(fixture.admission.placements);
                        }),
                        c.name);
    }
}

// Guards against "not run" after an earlier attempt that may have run.
TEST(FrontendAttempts, doubtOfAnEarlierAttemptIsKept)
{
    FrontendFixture fixture(2);
    fixture.engine(0).set({.refuseStatus = 500, .executedFalse = false});
    fixture.engine(1).set({.refuseStatus = 503, .executedFalse = true});
    const auto answer = fixture.post("/v1/completions", completionBody(false));
    LONGS_EQUAL(503, answer->status);
    STRCMP_EQUAL("may_have_run", executionOf(answer).c_str());
}

TEST(FrontendAttempts, groupPrefillsInTurnAndTheLastMemberDecodes)
{
    FrontendFixture fixture(3);
    fixture.admission.group = true;
    const auto answer = fixture.post("/v1/completions", longPrompt(900));
    LONGS_EQUAL(200, answer->status);
    LONGS_EQUAL(1, fixture.engine(0).prefills());
    LONGS_EQUAL(1, fixture.engine(1).prefills());
    LONGS_EQUAL(0, fixture.engine(2).prefills());
    LONGS_EQUAL(1, fixture.engine(2).executions());
    CHECK_TRUE(FrontendFixture::eventually([&] {
        return fixture.engine(0).holdCount() + fixture.engine(1).holdCount()
                       + fixture.engine(2).holdCount()
               == 0;
    }));
}

// Guards against engine memory that stays reserved after a failure.
TEST(FrontendAttempts, groupReleasesItsHoldsOnEachFailure)
{
    struct Case
    {
        const char *name;
        std::size_t faulty;
        FakeBehaviour behaviour;
        int status;
    };
    const std::vector<Case> cases = {
            {"memory not free", 2, {.refuseHolds = true}, 504},
            {"prefill fails", 1, {.failPrefill = true}, 503},
            {"prefill silent", 0, {.acceptDelay = Millis(1500)}, 504},
            {"decoder refuses", 2, {.refuseStatus = 503}, 503},
            {"decoder fails", 2, {.refuseStatus = 500, .executedFalse = false}, 502},
            {"stream breaks",
             2,
             {.fault = StreamFault::Truncated, .faultAt = 2, .resumable = false},
             502},
            {"decoder silent", 2, {.acceptDelay = Millis(1500)}, 504},
    };
    for (const Case &c : cases) {
        FrontendFixture fixture(3);
        fixture.admission.group = true;
        fixture.admission.retryBudget = 0;
        fixture.engine(c.faulty).set(c.behaviour);
        const auto answer = fixture.post("/v1/completions", longPrompt(900),
                                         {{"X-Request-Timeout-Ms", "700"}});
        LONGS_EQUAL_TEXT(c.status, answer->status, c.name);
        CHECK_TRUE_TEXT(fixture.engine(0).holdsReserved() > 0, c.name);
        CHECK_TRUE_TEXT(FrontendFixture::eventually([&] {
                            return fixture.engine(0).holdCount() + fixture.engine(1).holdCount()
                                           + fixture.engine(2).holdCount()
                                   == 0;
                        }),
                        c.name);
    }
}

// Guards against holds that expire while a long answer is written.
TEST(FrontendAttempts, holdsAreRenewedWhileTheGroupWorks)
{
    FrontendFixture fixture(2);
    fixture.admission.group = true;
    fixture.engine(1).set({.tokenDelay = Millis(150)});
    LONGS_EQUAL(200, fixture.post("/v1/completions", longPrompt(400))->status);
    CHECK_TRUE(fixture.engine(0).holdRenewals() >= 3);
}

// Guards against segments that cut a character, which no JSON text can carry.
TEST(FrontendAttempts, promptIsSplitBetweenCharacters)
{
    const std::string prompt = "\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9\xc3\xa9";
    const std::vector<std::string> segments = splitPrompt(prompt, {3, 1, 3});
    std::string joined;
    for (const std::string &segment : segments) {
        LONGS_EQUAL(0, segment.size() % 2);
        joined += segment;
    }
    LONGS_EQUAL(3, segments.size());
    STRCMP_EQUAL(prompt.c_str(), joined.c_str());
}

// Guards against a gate that is opened twice.
TEST(FrontendAttempts, duplicatesOfANonRepeatableCallGetTheStoredOutcome)
{
    FrontendFixture fixture;
    const httplib::Headers key = {{"Idempotency-Key", newUuidV7(wallNow())}};
    const auto first = fixture.post("/v1/services/gate/open", R"({"gate": 1, "a": 2})", key);
    LONGS_EQUAL(200, first->status);
    CHECK_FALSE(first->has_header("Idempotent-Replay"));
    const auto headers = fixture.engine(0).callHeaders().front();
    STRCMP_EQUAL("42", headers.find("X-Fencing-Number")->second.c_str());
    // The same request in another notation.
    const auto replay = fixture.post("/v1/services/gate/open", R"({"a":2,"gate":1})", key);
    LONGS_EQUAL(200, replay->status);
    STRCMP_EQUAL("true", replay->get_header_value("Idempotent-Replay").c_str());
    STRCMP_EQUAL(first->body.c_str(), replay->body.c_str());
    const auto reused = fixture.post("/v1/services/gate/open", R"({"gate":2})", key);
    LONGS_EQUAL(422, reused->status);
    LONGS_EQUAL(1, fixture.executions());
}

// Guards against a second send, a wrong "not run", and a key that stays blocked without a send.
TEST(FrontendAttempts, nonRepeatableCallsAreSentAtMostOnce)
{
    struct Case
    {
        const char *name;
        FakeBehaviour behaviour;
        bool stopped;
        bool logDown;
        bool validityEnded;
        int status;
        const char *execution;
        std::size_t sends;
        std::size_t withdrawals;
        int repeatStatus;
        const char *repeatExecution;
    };
    const std::vector<Case> cases = {
            {"log down", {}, false, true, false, 503, "not_run", 0, 0, 503, "may_have_run"},
            {"validity ended", {}, false, false, true, 503, "not_run", 0, 0, 409, "may_have_run"},
            {"service down", {}, true, false, false, 503, "not_run", 0, 1, 503, "not_run"},
            {"stated",
             {.refuseStatus = 503},
             false,
             false,
             false,
             503,
             "not_run",
             1,
             0,
             503,
             "not_run"},
            {"500",
             {.refuseStatus = 500, .executedFalse = false},
             false,
             false,
             false,
             502,
             "may_have_run",
             1,
             0,
             502,
             "may_have_run"},
            {"silent",
             {.acceptDelay = Millis(900)},
             false,
             false,
             false,
             504,
             "may_have_run",
             1,
             0,
             502,
             "may_have_run"},
    };
    for (const Case &c : cases) {
        FrontendFixture fixture(1);
        fixture.engine(0).set(c.behaviour);
        fixture.claims.unavailable = c.logDown;
        fixture.claims.validityEnded = c.validityEnded;
        if (c.stopped)
            fixture.engine(0).stop();
        httplib::Headers headers = {{"Idempotency-Key", newUuidV7(wallNow())},
                                    {"X-Request-Timeout-Ms", "500"},
                                    {"X-Attempt", "1"}};
        const auto answer = fixture.post("/v1/services/gate/open", "{}", headers);
        LONGS_EQUAL_TEXT(c.status, answer->status, c.name);
        STRCMP_EQUAL_TEXT(c.execution, executionOf(answer).c_str(), c.name);
        // A caller of an abandoned request must learn when to come back, with the same key.
        CHECK_TRUE_TEXT(answer->has_header("Retry-After"), c.name);
        LONGS_EQUAL_TEXT(c.sends, fixture.engine(0).callHeaders().size(), c.name);
        CHECK_TRUE_TEXT(FrontendFixture::eventually(
                                [&] { return fixture.claims.withdrawals() == c.withdrawals; }),
                        c.name);
        // The stopped call records its outcome shortly after the caller has its answer.
        std::this_thread::sleep_for(Millis(100));
        headers.erase("X-Attempt");
        const auto repeat = fixture.post("/v1/services/gate/open", "{}", headers);
        LONGS_EQUAL_TEXT(c.repeatStatus, repeat->status, c.name);
        STRCMP_EQUAL_TEXT(c.repeatExecution, executionOf(repeat).c_str(), c.name);
        LONGS_EQUAL_TEXT(c.sends, fixture.engine(0).callHeaders().size(), c.name);
    }
}

TEST(FrontendAttempts, repeatablePlainCallsAreRetriedElsewhere)
{
    FrontendFixture fixture(2);
    fixture.engine(0).set({.refuseStatus = 500, .executedFalse = false});
    const auto answer = fixture.post("/v1/services/gate/read", "{}");
    LONGS_EQUAL(200, answer->status);
    STRCMP_EQUAL(R"({"opened":true})", answer->body.c_str());
    LONGS_EQUAL(0, fixture.claims.claimCount());
}

// Guards against a process that grows without bound for a caller that reads slowly.
TEST(FrontendAttempts, streamBufferBlocksAtItsCapacityUntilClosed)
{
    StreamBuffer buffer(2);
    CHECK_TRUE(buffer.push({0, "a"}));
    CHECK_TRUE(buffer.push({1, "b"}));
    std::atomic<bool> returned{false};
    bool accepted = true;
    std::jthread producer([&] {
        accepted = buffer.push({2, "c"});
        returned = true;
    });
    std::this_thread::sleep_for(Millis(50));
    CHECK_FALSE(returned);
    buffer.close();
    producer.join();
    CHECK_FALSE(accepted);
    LONGS_EQUAL(2, buffer.take(steadyNow()).parts.size());
}
