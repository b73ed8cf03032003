#include "base/ids.h"
#include "claims/claimwire.h"
#include "claims/logclaims.h"
#include "unit/claimtestlog.h"

#include <CppUTest/TestHarness.h>

#include <atomic>

using namespace cicadafork;

namespace {

LogClaimsSettings testSettings()
{
    LogClaimsSettings settings;
    settings.memberId = "entry-1";
    settings.incarnation = "1";
    settings.validity = Millis(1000);
    settings.batchDelay = Millis(5);
    settings.logTimeout = Millis(100);
    settings.forwardTimeout = Millis(100);
    settings.writer.minBackoff = Millis(5);
    settings.writer.probeInterval = Millis(10);
    return settings;
}

TimePoint in(int millis)
{
    return steadyNow() + Millis(millis);
}

ClaimRequest freshRequest()
{
    return {"karri", newUuidV7(wallNow()), "sha"};
}

std::string streamOf(const ClaimRequest &request)
{
    return claimStream(claimShard({request.workspace, request.key}));
}

} // namespace

TEST_GROUP(ClaimService)
{
    FakeLog log;
};

// Guards against a second execution of a key, from the same daemon or from another one.
TEST(ClaimService, duplicateGetsTheFirstOutcome)
{
    LogClaims first(log, testSettings());
    LogClaims second(log, testSettings());
    const ClaimRequest request = freshRequest();
    const ClaimDecision won = first.claim(request, in(500));
    CHECK_TRUE(won.kind == ClaimDecisionKind::Won);
    CHECK_TRUE(second.claim(request, in(500)).kind == ClaimDecisionKind::InProgress);
    CHECK_TRUE(first.claim(request, in(500)).kind == ClaimDecisionKind::InProgress);
    CHECK_TRUE(first.beginDispatch(won.attemptId, steadyNow()));
    CHECK_FALSE(first.beginDispatch(won.attemptId, steadyNow()));
    first.complete(won.attemptId, {true, 201, "text/plain", "sent", false});
    CHECK_TRUE(first.flush(in(1000)));
    for (LogClaims *claims : {&first, &second}) {
        const ClaimDecision again = claims->claim(request, in(500));
        CHECK_TRUE(again.kind == ClaimDecisionKind::Duplicate);
        STRCMP_EQUAL("sent", again.outcome->body.c_str());
    }
    ClaimRequest other = request;
    other.requestSha256 = "other";
    CHECK_TRUE(second.claim(other, in(500)).kind == ClaimDecisionKind::KeyReused);
    // Upper case is the same key.
    ClaimRequest upper = request;
    for (char &character : upper.key)
        character = static_cast<char>(std::toupper(character));
    CHECK_TRUE(second.claim(upper, in(500)).kind == ClaimDecisionKind::Duplicate);
}

// Guards against a wrong verdict or a second record after each fault of one append.
TEST(ClaimService, faultsOfTheAppendAreResolvedByReading)
{
    struct Case
    {
        const char *name;
        AppendFault fault;
        ClaimDecisionKind kind;
        ClaimDecisionKind retry; ///< Of the same key, after the withdrawal.
    };
    const std::vector<Case> cases = {
            {"none", AppendFault::None, ClaimDecisionKind::Won, ClaimDecisionKind::InProgress},
            {"lost answer", AppendFault::LoseAnswer, ClaimDecisionKind::Won,
             ClaimDecisionKind::InProgress},
            {"stored twice", AppendFault::Double, ClaimDecisionKind::Won,
             ClaimDecisionKind::InProgress},
            {"refused", AppendFault::Refuse, ClaimDecisionKind::Unavailable,
             ClaimDecisionKind::Won},
            {"stored after the deadline", AppendFault::Hold, ClaimDecisionKind::Unavailable,
             ClaimDecisionKind::Won},
    };
    for (const Case &c : cases) {
        LogClaims claims(log, testSettings());
        const ClaimRequest request = freshRequest();
        log.failNext({c.fault});
        const ClaimDecision decision = claims.claim(request, in(150));
        CHECK_TRUE_TEXT(decision.kind == c.kind, c.name);
        if (decision.kind != ClaimDecisionKind::Won)
            CHECK_FALSE_TEXT(claims.beginDispatch(decision.attemptId, steadyNow()), c.name);
        CHECK_TRUE_TEXT(claims.flush(in(1000)), c.name);
        log.releaseHeld();
        CHECK_TRUE_TEXT(claims.claim(request, in(500)).kind == c.retry, c.name);
    }
}

// Guards against a dispatch after the process was paused past the validity of its claim.
TEST(ClaimService, pausePastTheValidityWithdrawsTheClaim)
{
    LogClaims claims(log, testSettings());
    const ClaimRequest request = freshRequest();
    const ClaimDecision won = claims.claim(request, in(500));
    CHECK_FALSE(claims.beginDispatch(won.attemptId, in(1000)));
    CHECK_FALSE(claims.beginDispatch(won.attemptId, steadyNow()));
    CHECK_TRUE(claims.flush(in(1000)));
    const ClaimDecision next = claims.claim(request, in(500));
    CHECK_TRUE(next.kind == ClaimDecisionKind::Won);
    claims.withdraw(next.attemptId);
    CHECK_FALSE(claims.beginDispatch(next.attemptId, steadyNow()));
}

// Guards against InProgress for ever after the front of the first attempt has died.
TEST(ClaimService, lostWinnerBecomesMayHaveRun)
{
    LogClaimsSettings settings = testSettings();
    settings.validity = Millis(100);
    settings.fold.keys.skew = Millis(0);
    const ClaimRequest request = freshRequest();
    {
        LogClaims dead(log, settings);
        const ClaimDecision won = dead.claim(request, in(100));
        CHECK_TRUE(dead.beginDispatch(won.attemptId, steadyNow()));
    }
    LogClaims claims(log, settings);
    CHECK_TRUE(claims.claim(request, in(90)).kind == ClaimDecisionKind::InProgress);
    std::this_thread::sleep_for(Millis(250));
    CHECK_TRUE(claims.claim(request, in(90)).kind == ClaimDecisionKind::MayHaveRun);
}

// Guards against callers that wait for a log that is known to be down.
TEST(ClaimService, openBreakerRefusesAtOnceAndClosesByProbing)
{
    LogClaims claims(log, testSettings());
    log.setDown(true);
    const TimePoint begun = steadyNow();
    // The failures of the request that meets the outage first open the breaker and end it.
    CHECK_TRUE(claims.claim(freshRequest(), in(3000)).kind == ClaimDecisionKind::Unavailable);
    CHECK(steadyNow() - begun < Millis(400));
    const int calls = log.reads();
    CHECK_TRUE(calls > 1);
    CHECK_FALSE(claims.logAvailable());
    const TimePoint second = steadyNow();
    CHECK_TRUE(claims.claim(freshRequest(), in(5000)).kind == ClaimDecisionKind::Unavailable);
    CHECK(steadyNow() - second < Millis(50));
    log.setDown(false);
    const TimePoint limit = in(3000);
    while (!claims.logAvailable() && steadyNow() < limit)
        std::this_thread::sleep_for(Millis(5));
    CHECK_TRUE(claims.claim(freshRequest(), in(500)).kind == ClaimDecisionKind::Won);
}

// Guards against "not run" for a key whose earlier claim this process has already read: during an
// outage Unavailable means to the front that nothing is known about the key.
TEST(ClaimService, knownHolderIsReportedDuringAnOutage)
{
    LogClaims first(log, testSettings());
    LogClaims second(log, testSettings());
    const ClaimRequest request = freshRequest();
    CHECK_TRUE(first.claim(request, in(500)).kind == ClaimDecisionKind::Won);
    CHECK_TRUE(second.claim(request, in(500)).kind == ClaimDecisionKind::InProgress);
    log.setDown(true);
    // The first call meets the outage, the second an open circuit breaker.
    CHECK_TRUE(second.claim(request, in(200)).kind == ClaimDecisionKind::InProgress);
    CHECK_FALSE(second.logAvailable());
    CHECK_TRUE(second.claim(request, in(200)).kind == ClaimDecisionKind::InProgress);
}

// Guards against a claim rate above the append rate of the log.
TEST(ClaimService, claimsOfAShardShareOneRecord)
{
    LogClaimsSettings settings = testSettings();
    settings.batchDelay = Millis(100);
    LogClaims claims(log, settings);
    std::vector<ClaimRequest> requests;
    while (requests.size() < 8) {
        const ClaimRequest request = freshRequest();
        if (streamOf(request) == claimStream(3))
            requests.push_back(request);
    }
    std::atomic<int> won{0};
    std::vector<std::jthread> threads;
    for (const ClaimRequest &request : requests) {
        threads.emplace_back([&claims, &won, request] {
            won += claims.claim(request, in(900)).kind == ClaimDecisionKind::Won;
        });
    }
    for (std::jthread &thread : threads)
        thread.join();
    LONGS_EQUAL(8, won);
    CHECK(log.appends() <= 2);
}

// Guards against a lost or doubled claim when the owner of the shard fails.
TEST(ClaimService, forwardedBatchGivesTheSameVerdictsUnderFaults)
{
    enum class Link { Works, Down, AnswerLost, Doubled, Garbage };
    struct Case
    {
        const char *name;
        Link link;
        std::size_t records; ///< In the stream; a lost answer must not add one.
    };
    const std::vector<Case> cases = {
            {"works", Link::Works, 1},
            {"owner down", Link::Down, 1},
            {"answer lost", Link::AnswerLost, 1},
            {"delivered twice", Link::Doubled, 2},
            {"answer malformed", Link::Garbage, 2},
    };
    for (const Case &c : cases) {
        LogClaims owner(log, testSettings());
        LogClaims front(
                log, testSettings(),
                [&](std::size_t, const std::string &batch, Millis) -> std::optional<std::string> {
                    if (c.link == Link::Down)
                        return std::nullopt;
                    const std::string reply = owner.handleForwardedBatch(batch);
                    if (c.link == Link::Doubled)
                        return owner.handleForwardedBatch(batch);
                    if (c.link == Link::Garbage)
                        return "{\"verdicts\":[7,{\"attempt\":1}]}";
                    if (c.link == Link::AnswerLost)
                        return std::nullopt;
                    return reply;
                });
        const ClaimRequest request = freshRequest();
        const std::size_t before = log.records(streamOf(request)).size();
        CHECK_TRUE_TEXT(front.claim(request, in(900)).kind == ClaimDecisionKind::Won, c.name);
        CHECK_EQUAL_TEXT(c.records, log.records(streamOf(request)).size() - before, c.name);
        CHECK_TRUE_TEXT(owner.claim(request, in(900)).kind == ClaimDecisionKind::InProgress,
                        c.name);
    }
    LogClaims owner(log, testSettings());
    for (const char *text : {"", "{", "[]", "{\"shard\":99,\"time_ms\":5,\"entries\":[]}"})
        STRCMP_EQUAL("{\"verdicts\":[]}", owner.handleForwardedBatch(text).c_str());
}

// Guards against a reader that stops when the log drops old records.
TEST(ClaimService, readerMovesPastExpiredRecords)
{
    const ClaimRequest request = freshRequest();
    for (int i = 0; i < 5; ++i)
        (void)capture([&] { return log.append(streamOf(request), {{"old", i}}, Millis(10)); });
    // Records expire because they are old; the key is newer than all of them.
    log.age(streamOf(request), Millis(60'000));
    log.expire(streamOf(request), 4);
    LogClaims claims(log, testSettings());
    CHECK_TRUE(claims.warmUp(in(1000)));
    const ClaimDecision decision = claims.claim(request, in(500));
    CHECK_TRUE(decision.kind == ClaimDecisionKind::Won);
    LONGS_EQUAL(5, decision.fencingNumber);
}

// Guards against two winners when several daemons claim one key at the same moment.
TEST(ClaimService, simultaneousClaimsHaveOneWinner)
{
    for (int round = 0; round < 20; ++round) {
        LogClaims first(log, testSettings());
        LogClaims second(log, testSettings());
        const ClaimRequest request = freshRequest();
        std::atomic<int> won{0};
        std::vector<std::jthread> threads;
        for (int i = 0; i < 6; ++i) {
            threads.emplace_back([&, i] {
                LogClaims &claims = i % 2 ? first : second;
                won += claims.claim(request, in(900)).kind == ClaimDecisionKind::Won;
            });
        }
        for (std::jthread &thread : threads)
            thread.join();
        LONGS_EQUAL(1, won);
    }
}
