#include "frontend/silence.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace cicadafork;

namespace {

constexpr Millis kLimit{5000};

} // namespace

TEST_GROUP(Silence){};

// Guards against a request that is held until its deadline by a frozen engine, and against a break
// of long prefills and of requests that wait for something else.
TEST(Silence, onlyRequestsAtEndpointsWithoutSignOfLifeAreInterrupted)
{
    struct Case
    {
        const char *name;
        RequestState state;
        Millis sinceProgress;
        Millis reportAge;
        bool interrupted;
        bool nonRepeatable = false;
    };
    const std::vector<Case> cases = {
            {"frozen before acceptance", RequestState::Dispatched, kLimit, kLimit, true},
            {"frozen in mid-stream", RequestState::Streaming, kLimit, kLimit, true},
            {"frozen while resumed", RequestState::Resuming, kLimit, kLimit, true},
            {"group member frozen", RequestState::Prefilling, kLimit, Millis::max(), true},
            {"long prefill", RequestState::Dispatched, Millis(60'000), Millis(250), false},
            {"reports lost, tokens arrive", RequestState::Streaming, Millis(40), kLimit, false},
            {"sent just now", RequestState::Dispatched, Millis(10), kLimit, false},
            {"may run only once", RequestState::Dispatched, kLimit, kLimit, false, true},
            {"queued", RequestState::Queued, Millis(60'000), kLimit, false},
            {"waits for the log", RequestState::Claiming, Millis(60'000), kLimit, false},
            {"delay before a retry", RequestState::Retrying, Millis(60'000), kLimit, false},
    };
    for (const Case &c : cases) {
        RequestView view;
        view.state = c.state;
        view.sinceProgress = c.sinceProgress;
        view.nonRepeatable = c.nonRepeatable;
        CHECK_EQUAL_TEXT(c.interrupted, waitsForSilentEndpoint(view, c.reportAge, kLimit), c.name);
    }
}

// Guards against breaking all streams off when this process itself was paused.
TEST(Silence, pauseOfThisProcessIsNotASignOfSilentEndpoints)
{
    SilenceWatchState state;
    TimePoint now = TimePoint{} + Millis(1'000'000);
    CHECK_FALSE(watches(state, kLimit, now));
    for (Millis passed{0}; passed < kLimit; passed += Millis(20))
        CHECK_FALSE(watches(state, kLimit, now + passed));
    now += kLimit;
    CHECK_TRUE(watches(state, kLimit, now));
    CHECK_FALSE(watches(state, kLimit, now + Millis(3000)));
    CHECK_FALSE(watches(state, kLimit, now + Millis(3020)));
}
