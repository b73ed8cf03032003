// Where requests are read and written, from what is known of the endpoints.

#include "gateway/loadtracker.h"
#include "gateway/placement.h"
#include "support/productionengine.h"

#include <CppUTest/TestHarness.h>
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace cicadafork;
using namespace cicadafork::gateway;

namespace {

EndpointView view(EndpointKey key)
{
    EndpointView endpoint;
    endpoint.key = key;
    endpoint.slots = 16;
    endpoint.inOwnDomain = true;
    return endpoint;
}

/// An endpoint that writes short answers, which tolerate pauses of 200 ms.
EndpointView writing(EndpointKey key, unsigned writers)
{
    EndpointView endpoint = view(key);
    endpoint.load.sequences = writers;
    endpoint.load.decodingSequences = writers;
    endpoint.load.contextTokens = writers * 6000;
    endpoint.load.kvTokens = writers * 6600;
    if (writers > 0)
        endpoint.load.shortestEventGap = Millis(200);
    return endpoint;
}

PlacementRequest shortPrompt()
{
    return {.promptTokens = 5000,
            .answerTokens = 1600,
            .maxEventGap = Millis(200),
            .untilObjective = Millis(300),
            .untilDeadline = Millis(10'000)};
}

PlacementRequest longPrompt(std::uint64_t tokens)
{
    return {.promptTokens = tokens,
            .answerTokens = 800,
            .maxEventGap = Millis(800),
            .untilObjective = Millis(3000),
            .untilDeadline = Millis(15'000)};
}

std::vector<EndpointView> idle(unsigned count)
{
    std::vector<EndpointView> endpoints;
    for (unsigned i = 0; i < count; ++i)
        endpoints.push_back(view(i + 1));
    return endpoints;
}

} // namespace

TEST_GROUP(Placement)
{
    // The engines of both users' sites.
    const EngineModel engine
            = test::productionEngine({.slots = 16, .kvCapacityTokens = 450'000, .stride = 46});
};

// The times that the users' notes give for one reader.
TEST(Placement, readTimeGrowsWithTheSquareOfThePrompt)
{
    const std::pair<std::uint64_t, double> cases[]
            = {{5000, 21}, {45'000, 269}, {210'000, 2842}, {1'000'000, 49'756}};
    for (const auto &[tokens, millis] : cases)
        DOUBLES_EQUAL(millis, prefillTime(engine, tokens).count(), 1);
}

TEST(Placement, longPromptsTakeAsFewReadersAsMeetTheObjective)
{
    const std::pair<std::uint64_t, std::size_t> cases[]
            = {{45'000, 1}, {180'000, 1}, {210'000, 2}, {300'000, 3}, {440'000, 6}};
    const auto endpoints = idle(20);
    for (const auto &[tokens, readers] : cases) {
        const Placement placement = placeStream(longPrompt(tokens), engine, endpoints);
        const std::string text = fmt::format("{} tokens", tokens);
        CHECK_TRUE_TEXT(placement.outcome == PlacementOutcome::Send && placement.onTime,
                        text.c_str());
        LONGS_EQUAL_TEXT(readers, placement.helpers.size() + 1, text.c_str());
    }
}

// Guards against short prompts that spread over all endpoints and leave none for long reads.
TEST(Placement, shortPromptsFillTheFullestEndpointThatKeepsTheirPauses)
{
    std::vector<EndpointView> endpoints = {writing(1, 3), writing(2, 9), writing(3, 16), view(4)};
    const Placement placement = placeStream(shortPrompt(), engine, endpoints);
    LONGS_EQUAL(2, placement.head);
    CHECK_TRUE(placement.onTime);
}

// Guards against a long read that makes every short stream beside it pause.
TEST(Placement, longReadsStayAwayFromStreamsThatCannotPause)
{
    std::vector<EndpointView> endpoints = {writing(1, 5), writing(2, 5), view(3)};
    const Placement placement = placeStream(longPrompt(150'000), engine, endpoints);
    LONGS_EQUAL(3, placement.head);
    CHECK_TRUE(placement.helpers.empty());
    endpoints.pop_back();
    CHECK_TRUE(placeStream(longPrompt(150'000), engine, endpoints).outcome
               == PlacementOutcome::Wait);
}

// Guards against joint reads that make earlier reads late: the newest part is read first.
TEST(Placement, jointPartsRespectTheSlackOfTheReadsTheyOvertake)
{
    auto endpoints = idle(4);
    for (EndpointView &endpoint : endpoints) {
        endpoint.load.pendingPrefill = Millis(1000);
        endpoint.load.prefillSlack = Millis(100);
    }
    CHECK_TRUE(placeStream(longPrompt(300'000), engine, endpoints).outcome
               == PlacementOutcome::Wait);
    for (EndpointView &endpoint : endpoints)
        endpoint.load.prefillSlack = Millis(2500);
    endpoints.push_back(view(5));
    const Placement placement = placeStream(longPrompt(300'000), engine, endpoints);
    CHECK_TRUE(placement.outcome == PlacementOutcome::Send);
    LONGS_EQUAL_TEXT(5, placement.head, "where nothing is read while it writes");
}

// Guards against prompts over one engine's memory, and those that nearly fill it, that are refused.
TEST(Placement, largePromptsDivideTheirMemory)
{
    struct Case
    {
        std::uint64_t tokens;
        std::uint64_t taken; ///< Memory in use at each endpoint.
        unsigned holders;
    };
    const Case cases[] = {{430'000, 0, 0},
                          {430'000, 60'000, 1},
                          {440'000, 0, 1},
                          {700'000, 0, 1},
                          {1'000'000, 0, 2}};
    for (const Case &row : cases) {
        auto endpoints = idle(20);
        for (EndpointView &endpoint : endpoints)
            endpoint.load.kvTokens = row.taken;
        const Placement placement = placeStream(longPrompt(row.tokens), engine, endpoints);
        const std::string text = fmt::format("{} tokens, {} taken", row.tokens, row.taken);
        CHECK_TRUE_TEXT(placement.outcome == PlacementOutcome::Send, text.c_str());
        LONGS_EQUAL_TEXT(row.holders, placement.holders, text.c_str());
        CHECK_TRUE_TEXT(placement.kvTokensPerHolder * (row.holders + 1) >= row.tokens + 800,
                        text.c_str());
        CHECK_TRUE_TEXT(placement.kvTokensPerHolder + row.taken <= 450'000, text.c_str());
    }
}

TEST(Placement, refusesAtOnceWhatCannotBeServed)
{
    PlacementRequest late = longPrompt(900'000);
    late.untilDeadline = Millis(500);
    CHECK_TRUE(placeStream(late, engine, idle(20)).outcome == PlacementOutcome::Reject);
    CHECK_TRUE(placeStream(longPrompt(900'000), engine, idle(2)).outcome
               == PlacementOutcome::Reject);
}

TEST(Placement, lateRequestsAreStillServedWhenNobodyIsHarmed)
{
    PlacementRequest late = longPrompt(200'000);
    late.untilObjective = Millis(-100);
    const Placement placement = placeStream(late, engine, idle(3));
    CHECK_TRUE(placement.outcome == PlacementOutcome::Send);
    CHECK_FALSE(placement.onTime);
}

// Guards against a long prompt that cannot be on time and takes readers from others that can.
TEST(Placement, aLateLongReadTakesSpareReadersOnly)
{
    struct Case
    {
        const char *name;
        std::uint64_t tokens;
        unsigned reading; ///< Of 20 endpoints.
        PlacementOutcome expected;
    };
    const Case cases[] = {
            {"long, all are idle", 300'000, 0, PlacementOutcome::Send},
            {"long, some are idle", 300'000, 15, PlacementOutcome::Send},
            {"long, few are idle", 300'000, 16, PlacementOutcome::Reject},
            {"short, few are idle", 5000, 16, PlacementOutcome::Send},
    };
    for (const Case &entry : cases) {
        std::vector<EndpointView> endpoints = idle(20);
        for (unsigned i = 0; i < entry.reading; ++i)
            endpoints[i].load.pendingPrefill = FloatMillis(100);
        PlacementRequest late = longPrompt(entry.tokens);
        late.untilObjective = Millis(-100);
        CHECK_TRUE_TEXT(placeStream(late, engine, endpoints).outcome == entry.expected, entry.name);
    }
}

TEST(Placement, theBacklogIsTheMeanOfWhatEndpointsStillRead)
{
    DOUBLES_EQUAL(0, meanBacklog({}).count(), 0.1);
    std::vector<EndpointView> endpoints = idle(4);
    endpoints[0].load.pendingPrefill = FloatMillis(1000);
    endpoints[1].load.pendingPrefill = FloatMillis(200);
    endpoints[1].slowdown = 3;
    DOUBLES_EQUAL(400, meanBacklog(endpoints).count(), 0.1);
}

TEST(Placement, callsGoToTheEndpointWithTheLeastWork)
{
    std::vector<EndpointView> endpoints = {view(1), view(2), view(3)};
    for (EndpointView &endpoint : endpoints)
        endpoint.slots = 6;
    endpoints[0].load.sequences = 4;
    endpoints[1].load.sequences = 1;
    endpoints[2].load.sequences = 0;
    endpoints[2].usable = false;
    LONGS_EQUAL(2, placeCall(endpoints, 7).head);
    for (EndpointView &endpoint : endpoints)
        endpoint.load.sequences = 12;
    CHECK_TRUE(placeCall(endpoints, 7).outcome == PlacementOutcome::Wait);
}

TEST_GROUP(LoadTracker)
{
    LoadTracker board{100};
    const TimePoint start{std::chrono::seconds(1000)};

    Job job(std::uint32_t number, std::vector<JobPart> parts, Millis readIn)
    {
        Job made;
        made.id = {1, number};
        made.parts = std::move(parts);
        made.promptTokens = 1000;
        made.answerTokens = 200;
        made.maxEventGap = Millis(200);
        made.placed = start;
        made.expectedPrefillEnd = start + readIn;
        made.dueBy = start + Millis(3000);
        made.expires = start + Millis(10'000);
        return made;
    }
};

TEST(LoadTracker, countsAJobAsReadingUntilItStarts)
{
    board.place(job(1, {{7, Millis(100), true, 1200}}, Millis(150)));
    EndpointLoad load = board.load(7, start);
    LONGS_EQUAL(1, load.sequences);
    LONGS_EQUAL(0, load.decodingSequences);
    DOUBLES_EQUAL(100, load.pendingPrefill.count(), 0.1);
    LONGS_EQUAL(1200, load.kvTokens);
    DOUBLES_EQUAL(40, board.load(7, start + Millis(110)).pendingPrefill.count(), 0.1);
    board.started({1, 1}, start + Millis(120));
    load = board.load(7, start + Millis(120));
    LONGS_EQUAL(1, load.decodingSequences);
    DOUBLES_EQUAL(0, load.pendingPrefill.count(), 0.1);
    board.ended({1, 1}, start + Millis(200));
    LONGS_EQUAL(0, board.load(7, start + Millis(300)).sequences);
}

// Guards against an overdue long read that passes for a stream, so that more is placed beside it.
TEST(LoadTracker, countsAnOverdueLongReadAsGoingOn)
{
    board.place(job(1, {{7, Millis(800), true, 0}}, Millis(900)));
    CHECK_TRUE(board.load(7, start + Millis(1500)).pendingPrefill > FloatMillis(100));
    LONGS_EQUAL_TEXT(1, board.load(7, start + Millis(3000)).decodingSequences,
                     "its report was lost");
}

TEST(LoadTracker, aJointReadTakesTheSlackOfTheReadsItOvertakes)
{
    board.place(job(1, {{7, Millis(800), true, 0}}, Millis(900)));
    DOUBLES_EQUAL(2100, board.load(7, start).prefillSlack.count(), 0.1);
    board.place(job(2, {{7, Millis(300), true, 0}, {8, Millis(300), false, 0}}, Millis(400)));
    DOUBLES_EQUAL(1800, board.load(7, start).prefillSlack.count(), 0.1);
    LONGS_EQUAL(1, board.load(8, start).helperPrefills);
}

// Guards against all daemons that fill an endpoint at once when several of its streams end
// together.
TEST(LoadTracker, aFreedSlotBelongsToItsOwnerFirstAndThenToOneAfterTheOther)
{
    unsigned atOnce = 0;
    std::vector<Millis> freeAfter;
    for (std::uint64_t daemon = 1; daemon <= 88; ++daemon) {
        LoadTracker mine(100, daemon);
        Job ending = job(1, {{7, Millis(10), true, 0}}, Millis(20));
        ending.id.owner = 5;
        mine.place(ending);
        mine.ended(ending.id, start);
        Millis free(0);
        while (mine.load(7, start + free).sequences > 0)
            free += Millis(1);
        if (daemon == 5)
            LONGS_EQUAL_TEXT(0, free.count(), "its owner may use it at once");
        else
            freeAfter.push_back(free);
        CHECK_TRUE(free <= Millis(60));
    }
    for (const Millis free : freeAfter)
        atOnce = std::max(atOnce, static_cast<unsigned>(std::ranges::count(freeAfter, free)));
    CHECK_TRUE(*std::ranges::min_element(freeAfter) >= Millis(10));
    CHECK_TRUE_TEXT(atOnce <= 6, fmt::format("{} of 87 in one millisecond", atOnce).c_str());
}

TEST(LoadTracker, aFullListEndsTheJobsItDoesNotName)
{
    for (std::uint32_t number = 1; number <= 4; ++number)
        board.place(job(number, {{7, Millis(10), true, 0}}, Millis(20)));
    board.removeUnlisted(1, {2}, 1, 3);
    CHECK_TRUE(board.find({1, 2}) != nullptr);
    CHECK_TRUE_TEXT(board.find({1, 4}) != nullptr, "its message overtook the list");
    LONGS_EQUAL(2, board.size());
    board.removeOwner(1);
    LONGS_EQUAL(0, board.size());
}

TEST(LoadTracker, aJobThatNobodyMentionsExpires)
{
    board.place(job(1, {{7, Millis(10), true, 0}}, Millis(20)));
    board.expire(start + Millis(9999));
    LONGS_EQUAL(1, board.size());
    board.expire(start + Millis(10'000));
    LONGS_EQUAL(0, board.size());
}
