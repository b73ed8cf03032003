// Endpoints whose answers have no end, and what becomes of the requests at sound ones.

#include "support/gatewayfleet.h"

using namespace cicadafork;
using namespace cicadafork::gateway;
using namespace cicadafork::test;

namespace {

constexpr const char *kStreamHead = "HTTP/1.1 200 OK\r\nRequest-Id: $\r\nResponse-Seal: s\r\n"
                                    "Content-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n";
constexpr const char *kLongStreamHead = "HTTP/1.1 200 OK\r\nRequest-Id: $\r\nResponse-Seal: s\r\n"
                                        "Content-Type: text/event-stream\r\n"
                                        "Content-Length: 1000000000\r\n\r\n";

std::string repeated(std::string_view text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

} // namespace

TEST_GROUP_BASE(GatewayEndless, GatewayFleet){};

// Guards against work on a stream that grows faster than its bytes and so stops the event loop.
TEST(GatewayEndless, aStreamWithoutEndDoesNotHoldUpCallsToOtherServices)
{
    constexpr std::size_t kRate = 1'000'000;
    constexpr Millis kRun{2500};
    constexpr Millis kStreamInterval{250};
    constexpr Millis kCallInterval{50};
    // Of the configured route; a sound endpoint answers at once.
    constexpr Millis kCallTimeout{1500};
    struct Case
    {
        const char *name;
        EndlessAnswer answer;
    };
    const Case cases[] = {
            {"lines in chunks", {kStreamHead, "8\r\ndata: x\n\r\n", kRate}},
            {"lines", {kLongStreamHead, "data: x\n", kRate}},
            {"single bytes in chunks", {kStreamHead, "1\r\nx\r\n", kRate}},
            {"comments in chunks", {kStreamHead, "3\r\n:\n\n\r\n", kRate}},
            {"short comments", {kLongStreamHead, repeated(":\n\n", 1000), kRate}},
            {"carriage returns", {kLongStreamHead, "\n\r", kRate}},
    };
    for (const Case &row : cases) {
        reset();
        start(1, 1);
        addEndpoint(true, kPlain);
        CHECK_TRUE(runUntil([&] { return daemons[0]->endpoints() == 2; }));
        endpoints[0]->endless = row.answer;
        endpoints[0]->script.assign(100, EndpointBehaviour::Endless);
        const TimePoint end = steadyNow() + kRun;
        TimePoint nextStream{};
        TimePoint nextCall{};
        while (steadyNow() < end) {
            if (steadyNow() >= nextStream) {
                send(*daemons[0], "a1:40");
                nextStream = steadyNow() + kStreamInterval;
            }
            nextCall = steadyNow() + kCallInterval;
            const TimePoint sentAt = steadyNow();
            const Answer &answer = sendRequest(*daemons[0], "/safe/x", "body");
            runUntil([&] { return answer.ended; });
            CHECK_EQUAL_TEXT(200, answer.status, row.name);
            const auto took = std::chrono::ceil<Millis>(steadyNow() - sentAt);
            CHECK_TRUE_TEXT(took < kCallTimeout,
                            fmt::format("{}: {} ms", row.name, took.count()).c_str());
            runUntil([&] { return steadyNow() >= nextCall; });
        }
    }
}
