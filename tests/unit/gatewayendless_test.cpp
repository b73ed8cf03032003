// Endpoints whose answers have no end, and what becomes of the requests at sound ones.

#include "support/gatewayfleet.h"
#include "support/heap.h"

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

constexpr const char *kHeadBegin = "HTTP/1.1 200 OK\r\nRequest-Id: $\r\n";

std::string repeated(std::string_view text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

} // namespace

TEST_GROUP_BASE(GatewayEndless, GatewayFleet)
{
    std::size_t memoryBytes = GatewaySettings().memoryBytes; ///< Setting of the daemons.

    void configure(GatewaySettings & settings, unsigned) override
    {
        settings.memoryBytes = memoryBytes;
    }
};

// Guards against work on an answer that grows faster than its bytes and so stops the event loop.
TEST(GatewayEndless, anAnswerWithoutEndDoesNotHoldUpCallsToOtherServices)
{
    constexpr std::size_t kRate = 1'000'000;
    constexpr Millis kRun{800};
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
            {"fields of a head", {kHeadBegin, "X-A: bbbbbbbb\r\n", kRate}},
            {"fields without a value", {kHeadBegin, "a:\r\n", kRate}},
            {"status line", {"HTTP/1.1 200 ", "x", kRate}},
            {"informational heads", {"", "HTTP/1.1 100 Continue\r\n\r\n", kRate}},
            {"empty lines", {"", "\r\n", kRate}},
            {"trailers", {kStreamHead + std::string("0\r\n"), "X-A: b\r\n", kRate}},
            {"extension of a chunk", {kStreamHead + std::string("1;"), "x", kRate}},
            {"body of another answer",
             {"HTTP/1.1 200 OK\r\nRequest-Id: another\r\nContent-Length: 1000000000\r\n\r\n", "x",
              kRate}},
    };
    for (const Case &row : cases) {
        reset();
        start(1, 1);
        addEndpoint(true, kPlain);
        CHECK_TRUE(runUntil([&] { return daemons[0]->endpoints() == 2; }));
        endpoints[0]->endless = row.answer;
        endpoints[0]->script.assign(100, EndpointBehaviour::Endless);
        const std::size_t before = bytesInUse();
        std::size_t peak = before;
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
            peak = std::max(peak, bytesInUse());
            const auto took = std::chrono::ceil<Millis>(steadyNow() - sentAt);
            CHECK_TRUE_TEXT(took < kCallTimeout,
                            fmt::format("{}: {} ms", row.name, took.count()).c_str());
            runUntil([&] { return steadyNow() >= nextCall; });
        }
        CHECK_TRUE_TEXT(peak - before < memoryBytes / 6,
                        fmt::format("{}: {} bytes", row.name, peak - before).c_str());
    }
}

// Guards against answers that are each within their limit and together exceed the memory.
TEST(GatewayEndless, aServiceWithoutASoundEndpointTakesNoMoreThanItsRoom)
{
    constexpr unsigned kEndpoints = 6;
    constexpr unsigned kCallers = 30;
    constexpr unsigned kSoundRequests = 10;
    constexpr std::size_t kMegabyte = 1024 * 1024;
    // Of each answer, which reaches the limit for one answer within a second.
    constexpr std::size_t kRate = 8 * kMegabyte;
    constexpr std::size_t kEndpointBuffer = 64 * 1024;
    struct Case
    {
        const char *name;
        const char *target;
        std::string head;
        std::string piece;
    };
    const std::string bytes(1024, 'x');
    const std::string sealed = "HTTP/1.1 200 OK\r\nRequest-Id: $\r\nResponse-Seal: s\r\n";
    const Case cases[] = {
            {"until the connection ends", "/once/x", sealed + "Connection: close\r\n\r\n", bytes},
            {"of a large length", "/once/x", sealed + "Content-Length: 1000000000\r\n\r\n", bytes},
            {"in chunks, repeatable", "/safe/x", sealed + "Transfer-Encoding: chunked\r\n\r\n",
             fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes)},
    };
    memoryBytes = 64 * kMegabyte;
    for (const Case &row : cases) {
        reset();
        start(1, 1);
        for (unsigned i = 0; i < kEndpoints; ++i)
            addEndpoint(true, kPlain);
        CHECK_TRUE(runUntil([&] { return daemons[0]->endpoints() == 1 + kEndpoints; }));
        for (unsigned i = 1; i <= kEndpoints; ++i) {
            endpoints[i]->endless = {row.head, row.piece, kRate, kEndpointBuffer};
            endpoints[i]->script.assign(1000, EndpointBehaviour::Endless);
        }
        const std::size_t before = bytesInUse();
        std::size_t peak = before;
        std::vector<const Answer *> endless;
        for (unsigned i = 0; i < kCallers; ++i)
            endless.push_back(&sendRequest(*daemons[0], row.target, "body"));
        const auto watch = [&](const auto &condition) {
            return runUntil([&] {
                peak = std::max(peak, bytesInUse());
                return condition();
            });
        };
        for (unsigned i = 0; i < kSoundRequests; ++i) {
            const Answer &sound = send(*daemons[0], "a1:40");
            CHECK_TRUE_TEXT(watch([&] { return sound.ended; }), row.name);
            CHECK_TRUE_TEXT(sound.status == 200 && sound.complete, row.name);
        }
        CHECK_TRUE_TEXT(watch([&] {
                            return std::ranges::all_of(
                                    endless, [](const Answer *answer) { return answer->ended; });
                        }),
                        row.name);
        for (const Answer *answer : endless) {
            const std::string text = fmt::format("{}: {}", row.name, answer->status);
            CHECK_TRUE_TEXT(answer->complete, text.c_str());
            // The requests have run, so no status may promise otherwise.
            CHECK_TRUE_TEXT(answer->status == 502 || answer->status == 504, text.c_str());
        }
        CHECK_TRUE_TEXT(peak - before < memoryBytes / 2,
                        fmt::format("{}: {} bytes", row.name, peak - before).c_str());
    }
}
