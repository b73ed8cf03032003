#include "support/frontendfakes.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>
#include <thread>

using namespace cicadafork;
using namespace cicadafork::test;

TEST_GROUP(FrontendLimits){};

// Guards against a body of nested arrays that overflows the stack of the thread that copies or
// writes it, which ended the process.
TEST(FrontendLimits, deeplyNestedBodiesAreRefused)
{
    FrontendFixture fixture;
    const std::size_t depth = 32'000; // A test body may have 64 KiB.
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    for (const char *path : {"/v1/completions", "/v1/chat/completions", "/v1/services/gate/look"}) {
        const auto answer = fixture.post(path, "{\"model\":" + nested + "}");
        CHECK_TRUE_TEXT(static_cast<bool>(answer), path);
        LONGS_EQUAL_TEXT(400, answer->status, path);
    }
}

// Guards against callers of a stopped service that wait in the queue until their timeout.
TEST(FrontendLimits, queuedRequestsOfAStoppedServiceEndAtOnce)
{
    FrontendFixture fixture;
    fixture.admission.queueForever = true;
    std::optional<httplib::Result> waiting;
    std::thread caller([&] {
        waiting.emplace(fixture.post("/v1/completions", completionBody(true),
                                     {{"X-Request-Timeout-Ms", "20000"}}));
    });
    const bool queued = FrontendFixture::eventually(
            [&] { return !fixture.frontend().requests(steadyNow()).empty(); });
    Configuration stopped = *fixture.configuration.current();
    stopped.services["writer"].state = ServiceState::Stopped;
    const TimePoint begin = steadyNow();
    fixture.frontend().endStopped(stopped);
    caller.join();
    CHECK_TRUE(queued);
    CHECK_TRUE(steadyNow() - begin < Millis(2000));
    LONGS_EQUAL(503, (*waiting)->status);
    STRCMP_CONTAINS("service-stopped", (*waiting)->body.c_str());
    STRCMP_CONTAINS("not_run", (*waiting)->body.c_str());
    CHECK_FALSE((*waiting)->get_header_value("Retry-After").empty());
}
