#include "support/frontendfakes.h"

#include <CppUTest/TestHarness.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::test;

TEST_GROUP(FrontendLoad){};

// Guards against a frontend that refuses or breaks streams at the concurrency of the design
// (1,000).
TEST(FrontendLoad, thousandConcurrentStreamsAreDeliveredWhole)
{
    constexpr std::size_t kStreams = 1000;
    constexpr std::uint64_t kTokens = 20;
    FrontendFixture fixture(1, kStreams);
    fixture.engine(0).set({.tokenDelay = Millis(150)});
    const std::string expected = fakeAnswer("a prompt", kTokens);
    std::atomic<int> refused{0};
    std::atomic<int> broken{0};
    std::vector<std::jthread> callers;
    for (std::size_t i = 0; i < kStreams; ++i) {
        callers.emplace_back([&] {
            const auto answer = fixture.post("/v1/completions", completionBody(true, kTokens));
            if (!answer || answer->status != 200)
                ++refused;
            else if (parseStream(answer->body).text != expected)
                ++broken;
        });
    }
    std::size_t most = 0;
    const TimePoint until = steadyNow() + Millis(3000);
    while (steadyNow() < until) {
        most = std::max(most, fixture.frontend().requests(steadyNow()).size());
        std::this_thread::sleep_for(Millis(20));
    }
    for (std::jthread &caller : callers)
        caller.join();
    LONGS_EQUAL(0, refused);
    LONGS_EQUAL(0, broken);
    LONGS_EQUAL(kStreams, most);
}
