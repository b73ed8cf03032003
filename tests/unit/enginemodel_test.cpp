#include "standin-engine/enginemodel.h"
#include "standin-engine/prompt.h"

#include "base/hash.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace cicadafork;
using namespace cicadafork::standin;

namespace {

const TimePoint kStart{std::chrono::hours(1)};

EngineParameters smallEngine()
{
    EngineParameters p;
    p.kvCapacityTokens = 10'000;
    return p;
}

StreamRequest makeRequest(const std::string &id, std::uint64_t promptTokens,
                          std::uint64_t maxTokens = 1, int priority = 1)
{
    StreamRequest request;
    request.key = {id, 1};
    request.promptTokens = promptTokens;
    request.maxTokens = maxTokens;
    request.priority = priority;
    return request;
}

StreamRequest requestOfText(const std::string &id, const std::string &text)
{
    StreamRequest request = makeRequest(id, 0);
    fillPrompt(request, text, kFnvOffset, EngineParameters{}.blockTokens);
    return request;
}

// Runs steps until nothing is left and returns the time that they took.
Micros runAll(EngineState &engine, TimePoint start = kStart)
{
    TimePoint now = start;
    while (const auto cost = beginStep(engine, now)) {
        now += *cost;
        finishStep(engine, now);
    }
    return std::chrono::duration_cast<Micros>(now - start);
}

void runSteps(EngineState &engine, int steps)
{
    for (int i = 0; i < steps && beginStep(engine, kStart); ++i)
        finishStep(engine, kStart);
}

StreamState stateOf(const EngineState &engine, const std::string &id)
{
    return engine.streams.at({id, 1}).state;
}

} // namespace

TEST_GROUP(EngineModel){};

// Guards against a prefill time that does not follow the stated rate, which bounds every ideal
// time to first token.
TEST(EngineModel, stepsCostWhatTheParametersSay)
{
    struct Case
    {
        const char *name;
        std::uint64_t prompt;
        std::uint64_t answer;
        double scale;
        double slow;
        std::int64_t micros;
    };
    const std::vector<Case> cases = {
            {"one chunk, one token", 2000, 1, 1, 1, 108'000 + 8'015},
            {"three chunks", 6144, 1, 1, 1, 307'200 + 3 * 8'000 + 8'015},
            {"ten tokens", 2000, 10, 1, 1, 108'000 + 10 * 8'015},
            {"ten times faster", 2000, 1, 10, 1, 10'800 + 802},
            {"ten times slower", 2000, 1, 1, 10, 1'080'000 + 80'150},
    };
    for (const Case &c : cases) {
        EngineParameters p = smallEngine();
        p.timeScale = c.scale;
        EngineState engine(p);
        engine.slowFactor = c.slow;
        submit(engine, makeRequest("r", c.prompt, c.answer), kStart);
        LONGS_EQUAL_TEXT(c.micros, runAll(engine).count(), c.name);
    }
}

TEST(EngineModel, decodeCostGrowsWithTheBatch)
{
    EngineState engine(EngineParameters{});
    for (int i = 0; i < 1200; ++i)
        submit(engine, makeRequest("r" + std::to_string(i), 1, 300), kStart);
    runSteps(engine, 1);
    const auto cost = beginStep(engine, kStart);
    CHECK_TRUE(cost.has_value());
    LONGS_EQUAL(8'000 + 1200 * 15, cost->count());
}

// Guards against an urgent prompt that waits behind the chunks of a long one.
TEST(EngineModel, chunksGoToUrgentStreamsFirst)
{
    EngineState engine(smallEngine());
    submit(engine, makeRequest("long", 6000, 1, 2), kStart);
    runSteps(engine, 1);
    submit(engine, makeRequest("urgent", 2048, 1, 0), kStart);
    runSteps(engine, 1);
    CHECK_TRUE(stateOf(engine, "urgent") == StreamState::Decode);
    CHECK_TRUE(stateOf(engine, "long") == StreamState::Prefill);
}

TEST(EngineModel, holdsOnOtherEnginesMakeAStreamSlower)
{
    EngineState engine(smallEngine());
    StreamRequest request = makeRequest("r", 2000);
    request.remotePriors = 2;
    submit(engine, request, kStart);
    LONGS_EQUAL(104'000 + 8'000 + 8'000 + 16, runAll(engine).count());
}

// Guards against a prompt that waits for memory for ever, or runs after it was refused.
TEST(EngineModel, promptWithoutMemoryIsRefusedAtTheBound)
{
    EngineState engine(smallEngine());
    submit(engine, makeRequest("first", 9000, 100), kStart);
    runSteps(engine, 1);
    submit(engine, makeRequest("second", 5000), kStart);
    runSteps(engine, 1);
    CHECK_TRUE(stateOf(engine, "second") == StreamState::Waiting);
    expire(engine, kStart + engine.parameters.memoryWait - Millis(1));
    CHECK_TRUE(stateOf(engine, "second") == StreamState::Waiting);
    expire(engine, kStart + engine.parameters.memoryWait);
    CHECK_TRUE(stateOf(engine, "second") == StreamState::Refused);
    runSteps(engine, 200);
    LONGS_EQUAL(0, engine.streams.at({"second", 1}).generated);
    CHECK_TRUE(submit(engine, makeRequest("huge", 10'001), kStart) == StreamState::Refused);
}

TEST(EngineModel, prefixHitsAreNotPrefilledAgain)
{
    EngineState engine(smallEngine());
    const std::string text(4 * 2048, 'x');
    submit(engine, requestOfText("a", text), kStart);
    runAll(engine);
    LONGS_EQUAL(2048, engine.memory.cache);
    submit(engine, requestOfText("b", text + "tail"), kStart);
    beginStep(engine, kStart);
    LONGS_EQUAL(2048, engine.streams.at({"b", 1}).prefilled);
    LONGS_EQUAL(2048, engine.memory.pinned);
    finishStep(engine, kStart);
    runAll(engine);
    LONGS_EQUAL(0, engine.memory.pinned);
    LONGS_EQUAL(0, engine.memory.live);
}

// Guards against eviction of blocks in use, and against use above the capacity.
TEST(EngineModel, evictionTakesTheLeastRecentlyUsedBlocks)
{
    EngineState engine(smallEngine());
    std::vector<StreamRequest> requests;
    for (const char letter : {'a', 'b', 'c', 'd', 'e', 'f'})
        requests.push_back(requestOfText(std::string(1, letter), std::string(4 * 2048, letter)));
    for (const StreamRequest &request : requests) {
        submit(engine, request, kStart);
        runAll(engine);
        CHECK_TRUE(usedTokens(engine) <= engine.parameters.kvCapacityTokens);
    }
    CHECK_FALSE(engine.cache.contains(requests.front().blocks.back()));
    CHECK_TRUE(engine.cache.contains(requests.back().blocks.front()));
    const bool evictionReported
            = std::any_of(engine.cacheEvents.begin(), engine.cacheEvents.end(),
                          [](const CacheEvent &event) { return !event.stored; });
    CHECK_TRUE(evictionReported);
}

// Guards against leaked memory after a cancel in each state, also in the middle of a step.
TEST(EngineModel, cancelFreesMemoryInEveryState)
{
    struct Case
    {
        const char *name;
        int steps;
        bool inStep;
        CancelOutcome outcome;
    };
    const std::vector<Case> cases = {
            {"waiting", 0, false, CancelOutcome::NotRun},
            {"prefill", 1, false, CancelOutcome::Stopped},
            {"in a prefill step", 1, true, CancelOutcome::Stopped},
            {"decode", 4, false, CancelOutcome::Stopped},
            {"in a decode step", 4, true, CancelOutcome::Stopped},
            {"finished", 100, false, CancelOutcome::AlreadyEnded},
    };
    for (const Case &c : cases) {
        EngineState engine(smallEngine());
        submit(engine, makeRequest("r", 5000, 50), kStart);
        runSteps(engine, c.steps);
        if (c.inStep)
            beginStep(engine, kStart);
        CHECK_TEXT(cancel(engine, {"r", 1}, kStart) == c.outcome, c.name);
        finishStep(engine, kStart);
        LONGS_EQUAL_TEXT(0, engine.memory.live, c.name);
        CHECK_TEXT(engine.waiting.empty() && engine.running.empty(), c.name);
    }
}

// Guards against a request that runs although its caller was told that it did not.
TEST(EngineModel, requestThatArrivesAfterItsCancelIsRefused)
{
    EngineState engine(smallEngine());
    CHECK_TRUE(cancel(engine, {"r", 1}, kStart) == CancelOutcome::NotRun);
    CHECK_TRUE(submit(engine, makeRequest("r", 10), kStart) == StreamState::Refused);
}

TEST(EngineModel, orphanIsCancelledAfterItsGraceTime)
{
    EngineState engine(smallEngine());
    submit(engine, makeRequest("lost", 10, 100), kStart);
    submit(engine, makeRequest("resumed", 10, 100), kStart);
    runSteps(engine, 3);
    markOrphaned(engine, {"lost", 1}, kStart);
    markOrphaned(engine, {"resumed", 1}, kStart);
    markOrphaned(engine, {"resumed", 1}, std::nullopt);
    expire(engine, kStart + Millis(4999));
    CHECK_TRUE(stateOf(engine, "lost") == StreamState::Decode);
    expire(engine, kStart + Millis(5000));
    CHECK_TRUE(stateOf(engine, "lost") == StreamState::Cancelled);
    CHECK_TRUE(stateOf(engine, "resumed") == StreamState::Decode);
}

// Guards against partial reservations and against holds that outlive their expiry.
TEST(EngineModel, holdTakesAllItsTokensOrNone)
{
    EngineState engine(smallEngine());
    Hold hold;
    hold.tokens = 6000;
    hold.expires = kStart + Millis(100);
    CHECK_TRUE(placeHold(engine, "h1", hold));
    CHECK_FALSE(placeHold(engine, "h2", hold));
    CHECK_TRUE(placeHold(engine, "h1", hold));
    LONGS_EQUAL(6000, engine.memory.holds);
    expire(engine, kStart + Millis(100));
    LONGS_EQUAL(0, engine.memory.holds);
    CHECK_TRUE(placeHold(engine, "h2", hold));
}

TEST(EngineModel, segmentsFillAHoldAndNoMore)
{
    EngineState engine(smallEngine());
    Hold hold;
    hold.tokens = 6000;
    hold.expires = kStart + Millis(100'000);
    placeHold(engine, "h", hold);
    StreamRequest segment = makeRequest("s1", 5000, 0);
    segment.holdId = "h";
    submit(engine, segment, kStart);
    runAll(engine);
    LONGS_EQUAL(5000, engine.holds.at("h").filledTokens);
    segment.key = {"s2", 1};
    CHECK_TRUE(submit(engine, segment, kStart) == StreamState::Refused);
    StreamRequest last = makeRequest("last", 900, 100);
    last.holdId = "h";
    submit(engine, last, kStart);
    runSteps(engine, 2);
    releaseHold(engine, "h");
    expire(engine, kStart);
    CHECK_TRUE(stateOf(engine, "last") == StreamState::Cancelled);
    LONGS_EQUAL(0, usedTokens(engine));
}

// Guards against answers that a caller cannot check when a prompt was prefilled in segments.
TEST(EngineModel, digestContinuesOverSegments)
{
    StreamRequest whole;
    StreamRequest part;
    fillPrompt(whole, "hello world", kFnvOffset, 256);
    fillPrompt(part, "hello ", kFnvOffset, 256);
    fillPrompt(part, "world", part.digest, 256);
    CHECK_TRUE(whole.digest == part.digest);
    LONGS_EQUAL(3, whole.promptTokens);
    LONGS_EQUAL(17, answerToken(whole.digest, 0).size());
}
