// Requests that a caller repeats at another entry VM after its own has died.

#include "support/frontendfakes.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace cicadafork;
using namespace cicadafork::test;

TEST_GROUP(FrontendRepeat){};

// Guards against a repeated request that fails because the engine knows the attempts of the front
// that died, and against an endless search for an attempt number that is free.
TEST(FrontendRepeat, attemptsOfAnEarlierFrontAreSkipped)
{
    struct Case
    {
        const char *name;
        unsigned known;
        int status;
        std::size_t executions;
    };
    const std::vector<Case> cases = {
            {"none", 0, 200, 1},
            {"one", 1, 200, 1},
            {"all of an earlier front", 3, 200, 1},
            {"more than an earlier front makes", 50, 502, 0},
    };
    for (const Case &c : cases) {
        FrontendFixture fixture;
        fixture.admission.retryBudget = 0;
        fixture.engine(0).set({.knownAttempts = c.known});
        const auto answer = fixture.post("/v1/completions",
                                         R"({"model":"m","prompt":"repeated","max_tokens":4})");
        LONGS_EQUAL_TEXT(c.status, answer->status, c.name);
        LONGS_EQUAL_TEXT(c.executions, fixture.engine(0).executions(), c.name);
    }
}
