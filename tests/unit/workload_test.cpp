#include "support/workload.h"

#include "routing/choose.h"

#include <CppUTest/TestHarness.h>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

standin::EngineParameters engineAtScale(double scale)
{
    standin::EngineParameters engine;
    engine.timeScale = scale;
    return engine;
}

} // namespace

TEST_GROUP(Workload){};

// Guards against a benchmark whose offered load is not the stated one, because a few long prompts
// of the trace outweigh the mean of the mix.
TEST(Workload, arrivalsAreStretchedToTheStatedLoad)
{
    for (const char *profile : {"karri-ridge", "coop"}) {
        for (const double load : {0.7, 2.0}) {
            const auto engine = engineAtScale(4);
            const FleetLoad fleet{20, load, Millis(20'000)};
            GenerateOptions options;
            options.profile = profile;
            options.seed = 3;
            const auto trace = traceAtLoad(options, fleet, engine);
            GenerateOptions sameRate = options;
            sameRate.duration = fleet.duration;
            const double end = workSeconds(engine, trace) / (20 * load);
            CHECK_TRUE(trace.back().offset <= Millis(static_cast<Millis::rep>(end * 1000) + 1));
            CHECK_TRUE(trace.back().offset > Millis(static_cast<Millis::rep>(end * 900)));
        }
    }
}

// Guards against an ideal that forgets the base time of a step or the time scale.
TEST(Workload, idealIsTheUnloadedPrefillTime)
{
    struct Case
    {
        double scale;
        std::uint64_t tokens;
        double expected; ///< 50 us for each token and 8 ms for each step of 2,048 tokens.
    };
    for (const Case &c : {Case{1, 1000, 58.0}, Case{1, 2048, 110.4}, Case{1, 2049, 118.45},
                          Case{4, 1000, 14.5}, Case{1, 100'000, 5392.0}}) {
        DOUBLES_EQUAL(c.expected, idealFirstTokenMs(engineAtScale(c.scale), c.tokens), 1e-6);
    }
}

// Guards against a slowdown that compares different short requests.
TEST(Workload, runWithoutLongKeepsTheShortRequestsAsTheyAre)
{
    const auto trace = traceAtLoad({}, {}, engineAtScale(4));
    const auto shortOnly = withoutLong(trace);
    std::size_t next = 0;
    for (const TraceRequest &request : trace) {
        if (request.promptTokens < kLongPromptTokens)
            CHECK_TRUE(request == shortOnly.at(next++));
    }
    CHECK_EQUAL(next, shortOnly.size());
    CHECK_TRUE(next < trace.size());
}

// Guards against plain calls that count as engine work.
TEST(Workload, callsTakeNoEngineTime)
{
    TraceRequest call;
    call.kind = RequestKind::Call;
    call.promptTokens = 100;
    DOUBLES_EQUAL(0, workSeconds(engineAtScale(1), call), 0);
}
