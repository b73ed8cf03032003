#include "base/ids.h"
#include "support/frontendfakes.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <optional>
#include <string>
#include <thread>
#include <vector>

// Last, because it replaces new by a macro that the standard headers do not survive.
#include <CppUTest/TestHarness.h>

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
    std::jthread caller([&] {
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

// Guards against a change of the configuration that ends an answer which its engine can still
// complete.
TEST(FrontendLimits, brokenStreamOfAStoppedServiceIsResumed)
{
    FrontendFixture fixture;
    fixture.engine(0).set(
            {.fault = StreamFault::Truncated, .faultAt = 3, .tokenDelay = Millis(150)});
    std::optional<httplib::Result> answer;
    std::jthread caller(
            [&] { answer.emplace(fixture.post("/v1/completions", completionBody(true))); });
    const bool sent = FrontendFixture::eventually([&] { return fixture.executions() == 1; });
    Configuration stopped = *fixture.configuration.current();
    stopped.services["writer"].state = ServiceState::Stopped;
    fixture.frontend().endStopped(stopped);
    caller.join();
    CHECK_TRUE(sent);
    const ParsedStream parsed = parseStream((*answer)->body);
    STRCMP_EQUAL(fakeAnswer("a prompt", 5).c_str(), parsed.text.c_str());
    CHECK_TRUE(parsed.done);
}

// Guards against ending a call that may run only once, and so cannot be sent elsewhere, because its
// endpoint is silent.
TEST(FrontendLimits, nonRepeatableCallAtASilentEndpointIsNotBrokenOff)
{
    constexpr Millis kSilence{20'000};
    FrontendFixture fixture;
    fixture.engine(0).set({.acceptDelay = Millis(600)});
    std::optional<httplib::Result> answer;
    std::jthread caller([&] {
        answer.emplace(fixture.post("/v1/services/gate/open", R"({"gate":1})",
                                    {{"Idempotency-Key", newUuidV7(wallNow())},
                                     {"X-Attempt", "1"},
                                     {"X-Request-Timeout-Ms", "30000"}}));
    });
    const bool sent = FrontendFixture::eventually([&] {
        const auto requests = fixture.frontend().requests(steadyNow());
        return !requests.empty() && requests.front().state == RequestState::Dispatched;
    });
    std::this_thread::sleep_for(Millis(100));
    const TimePoint now = steadyNow();
    for (Millis passed{0}; passed < kSilence; passed += Millis(200))
        fixture.frontend().breakOffSilent({{"engine-0", kSilence}}, now + passed);
    caller.join();
    CHECK_TRUE(sent);
    LONGS_EQUAL(200, (*answer)->status);
}

// Guards against idle connections, and requests that stop in the middle, that hold server threads
// for long. A connection that sends a byte now and then is not bounded; docs/OPERATING.md says so.
TEST(FrontendLimits, silentConnectionsAreClosed)
{
    FrontendFixture fixture;
    const std::string starts[] = {"", "POST /v1/completions HTTP/1.1\r\nHost: x\r\n",
                                  "POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{"};
    std::vector<std::jthread> callers;
    std::atomic<int> closed{0};
    const TimePoint begin = steadyNow();
    for (const std::string &start : starts) {
        callers.emplace_back([&fixture, &closed, start] {
            const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
            sockaddr_in target{};
            target.sin_family = AF_INET;
            target.sin_port = htons(fixture.address().port);
            inet_pton(AF_INET, fixture.address().ip.c_str(), &target.sin_addr);
            const timeval limit{20, 0};
            setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
            char buffer[4096];
            if (connect(socket, reinterpret_cast<sockaddr *>(&target), sizeof target) == 0) {
                (void)!send(socket, start.data(), start.size(), MSG_NOSIGNAL);
                ssize_t received = 0;
                while ((received = recv(socket, buffer, sizeof buffer, 0)) > 0)
                    continue;
                closed += received == 0 ? 1 : 0;
            }
            close(socket);
        });
    }
    for (std::jthread &caller : callers)
        caller.join();
    LONGS_EQUAL(3, closed);
    CHECK_TRUE(steadyNow() - begin < Millis(15'000));
}
