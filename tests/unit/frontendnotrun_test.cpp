// The rule for `execution: not_run`: no attempt with the idempotency key can have been dispatched.

#include "base/ids.h"
#include "support/frontendfakes.h"

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

std::string executionOf(const httplib::Result &answer)
{
    return nlohmann::json::parse(answer->body).value("execution", "");
}

} // namespace

TEST_GROUP(FrontendNotRun)
{
    std::string key = newUuidV7(wallNow());

    httplib::Headers headers(const std::string &attempt, Millis timeout = Millis(3000)) const
    {
        httplib::Headers headers = {{"Idempotency-Key", key},
                                    {"X-Request-Timeout-Ms", std::to_string(timeout.count())}};
        if (!attempt.empty())
            headers.emplace("X-Attempt", attempt);
        return headers;
    }
};

// Guards against "not run" for a key that an earlier attempt has run elsewhere: the answer to an
// attempt that this process refuses says nothing about the others.
TEST(FrontendNotRun, refusalBeforeTheClaimIsResolvedDependsOnTheAttempt)
{
    enum class Fault { LogDown, LogSilent, Draining, UnknownService, Refused, ModelRefused };
    struct Case
    {
        const char *name;
        Fault fault;
        const char *path;
        const char *body;
        int status;
        bool retryAfter;
    };
    const char *const model = R"({"model":"m","prompt":"a"})";
    const std::vector<Case> cases = {
            {"log down", Fault::LogDown, "/v1/services/gate/open", "{}", 503, true},
            {"log silent", Fault::LogSilent, "/v1/services/gate/open", "{}", 504, true},
            {"draining", Fault::Draining, "/v1/services/gate/open", "{}", 503, true},
            {"unknown service", Fault::UnknownService, "/v1/services/x/open", "{}", 404, false},
            {"repeatable", Fault::Refused, "/v1/services/gate/read", "{}", 503, true},
            {"model", Fault::ModelRefused, "/v1/completions", model, 503, true},
    };
    const std::vector<std::pair<std::string, const char *>> attempts
            = {{"", "may_have_run"}, {"1", "not_run"}, {"2", "may_have_run"}};
    for (const Case &c : cases) {
        for (const auto &[attempt, expected] : attempts) {
            const std::string name = std::string(c.name) + ", attempt '" + attempt + "'";
            FrontendFixture fixture;
            fixture.claims.unavailable = c.fault == Fault::LogDown;
            if (c.fault == Fault::LogSilent)
                fixture.claims.delay = Millis(700);
            if (c.fault == Fault::Draining)
                fixture.frontend().beginDrain();
            fixture.engine(0).set({.refuseStatus = 503});
            const auto answer = fixture.post(c.path, c.body, headers(attempt, Millis(300)));
            LONGS_EQUAL_TEXT(c.status, answer->status, name.c_str());
            STRCMP_EQUAL_TEXT(expected, executionOf(answer).c_str(), name.c_str());
            CHECK_EQUAL_TEXT(c.retryAfter, answer->has_header("Retry-After"), name.c_str());
        }
    }
}

// Guards against a needless "may have run": the claim that was won shows that no earlier attempt
// was dispatched.
TEST(FrontendNotRun, wonClaimExcludesEarlierAttempts)
{
    FrontendFixture fixture;
    fixture.engine(0).set({.refuseStatus = 503});
    const auto answer = fixture.post("/v1/services/gate/open", "{}", headers("2"));
    LONGS_EQUAL(503, answer->status);
    STRCMP_EQUAL("not_run", executionOf(answer).c_str());
}

// Guards against "not run" for a key that ran another request, also when the caller states a first
// attempt.
TEST(FrontendNotRun, claimOfAnotherAttemptOutweighsTheCallersStatement)
{
    FrontendFixture fixture;
    LONGS_EQUAL(200, fixture.post("/v1/services/gate/open", "{}", headers("1"))->status);
    const auto reused = fixture.post("/v1/services/gate/open", R"({"gate":2})", headers("1"));
    LONGS_EQUAL(422, reused->status);
    STRCMP_EQUAL("may_have_run", executionOf(reused).c_str());
}

// Guards against an attempt number that is misread as the first.
TEST(FrontendNotRun, wrongAttemptNumberIsRefused)
{
    for (const char *attempt : {"0", "-1", "first", "1.0", "+1"}) {
        FrontendFixture fixture;
        const auto answer = fixture.post("/v1/services/gate/open", "{}", headers(attempt));
        LONGS_EQUAL_TEXT(400, answer->status, attempt);
        STRCMP_EQUAL_TEXT("may_have_run", executionOf(answer).c_str(), attempt);
    }
}
