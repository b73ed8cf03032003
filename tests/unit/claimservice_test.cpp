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

TimePoint afterMillis(int millis)
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
    ScriptedLog log;
};

// Guards against a second execution for a key, by the same daemon or by another one.
TEST(ClaimService, duplicateGetsTheFirstOutcome)
{
    LogClaims first(log, testSettings());
    LogClaims second(log, testSettings());
    const ClaimRequest request = freshRequest();
    const ClaimDecision won = first.claim(request, afterMillis(500));
    CHECK_TRUE(won.kind == ClaimDecisionKind::Won);
    CHECK_TRUE(second.claim(request, afterMillis(500)).kind == ClaimDecisionKind::InProgress);
    CHECK_TRUE(first.claim(request, afterMillis(500)).kind == ClaimDecisionKind::InProgress);
    CHECK_TRUE(first.beginDispatch(won.attemptId, steadyNow()));
    CHECK_FALSE(first.beginDispatch(won.attemptId, steadyNow()));
    first.complete(won.attemptId, {true, 201, "text/plain", "sent", false});
    CHECK_TRUE(first.flush(afterMillis(1000)));
    for (LogClaims *claims : {&first, &second}) {
        const ClaimDecision again = claims->claim(request, afterMillis(500));
        CHECK_TRUE(again.kind == ClaimDecisionKind::Duplicate);
        STRCMP_EQUAL("sent", again.outcome->body.c_str());
    }
    ClaimRequest other = request;
    other.requestSha256 = "other";
    CHECK_TRUE(second.claim(other, afterMillis(500)).kind == ClaimDecisionKind::KeyReused);
    // Keys are compared without regard to case.
    ClaimRequest upper = request;
    for (char &character : upper.key)
        character = static_cast<char>(std::toupper(character));
    CHECK_TRUE(second.claim(upper, afterMillis(500)).kind == ClaimDecisionKind::Duplicate);
}

// Guards against a wrong decision after each kind of append fault.
TEST(ClaimService, appendFaultsAreResolvedByReading)
{
    struct Case
    {
        const char *name;
        AppendFault fault;
        ClaimDecisionKind kind;
        ClaimDecisionKind retry; ///< Decision on a retry with the same key, after any withdrawal.
    };
    const std::vector<Case> cases = {
            {"none", AppendFault::None, ClaimDecisionKind::Won, ClaimDecisionKind::InProgress},
            {"lost reply", AppendFault::LoseReply, ClaimDecisionKind::Won,
             ClaimDecisionKind::InProgress},
            {"stored twice", AppendFault::Duplicate, ClaimDecisionKind::Won,
             ClaimDecisionKind::InProgress},
            {"refused", AppendFault::Refuse, ClaimDecisionKind::Unavailable,
             ClaimDecisionKind::Won},
            {"stored after the deadline", AppendFault::Delay, ClaimDecisionKind::Unavailable,
             ClaimDecisionKind::Won},
    };
    for (const Case &c : cases) {
        LogClaims claims(log, testSettings());
        const ClaimRequest request = freshRequest();
        log.failNext({c.fault});
        const ClaimDecision decision = claims.claim(request, afterMillis(150));
        CHECK_TRUE_TEXT(decision.kind == c.kind, c.name);
        if (decision.kind != ClaimDecisionKind::Won)
            CHECK_FALSE_TEXT(claims.beginDispatch(decision.attemptId, steadyNow()), c.name);
        CHECK_TRUE_TEXT(claims.flush(afterMillis(1000)), c.name);
        log.storeDelayed();
        CHECK_TRUE_TEXT(claims.claim(request, afterMillis(500)).kind == c.retry, c.name);
    }
}

// Guards against a dispatch after the process was paused beyond the validity of its claim.
TEST(ClaimService, pauseBeyondTheValidityWithdrawsTheClaim)
{
    LogClaims claims(log, testSettings());
    const ClaimRequest request = freshRequest();
    const ClaimDecision won = claims.claim(request, afterMillis(500));
    CHECK_FALSE(claims.beginDispatch(won.attemptId, afterMillis(1000)));
    CHECK_FALSE(claims.beginDispatch(won.attemptId, steadyNow()));
    CHECK_TRUE(claims.flush(afterMillis(1000)));
    const ClaimDecision next = claims.claim(request, afterMillis(500));
    CHECK_TRUE(next.kind == ClaimDecisionKind::Won);
    claims.withdraw(next.attemptId);
    CHECK_FALSE(claims.beginDispatch(next.attemptId, steadyNow()));
}

// Guards against InProgress forever after the daemon of the first attempt has died.
TEST(ClaimService, lostWinnerBecomesMayHaveRun)
{
    LogClaimsSettings settings = testSettings();
    settings.validity = Millis(100);
    settings.fold.keys.skew = Millis(0);
    const ClaimRequest request = freshRequest();
    {
        LogClaims dead(log, settings);
        const ClaimDecision won = dead.claim(request, afterMillis(100));
        CHECK_TRUE(dead.beginDispatch(won.attemptId, steadyNow()));
    }
    LogClaims claims(log, settings);
    CHECK_TRUE(claims.claim(request, afterMillis(90)).kind == ClaimDecisionKind::InProgress);
    std::this_thread::sleep_for(Millis(250));
    CHECK_TRUE(claims.claim(request, afterMillis(90)).kind == ClaimDecisionKind::MayHaveRun);
}

// Guards against callers that wait for a log that is known to be down.
TEST(ClaimService, openBreakerRefusesAtOnceAndClosesByProbing)
{
    LogClaims claims(log, testSettings());
    log.setDown(true);
    const TimePoint begun = steadyNow();
    // The failed reads and appends of the first request open the breaker, which ends the request.
    CHECK_TRUE(claims.claim(freshRequest(), afterMillis(3000)).kind
               == ClaimDecisionKind::Unavailable);
    CHECK(steadyNow() - begun < Millis(400));
    const int calls = log.reads();
    CHECK_TRUE(calls > 1);
    CHECK_FALSE(claims.logAvailable());
    const TimePoint second = steadyNow();
    CHECK_TRUE(claims.claim(freshRequest(), afterMillis(5000)).kind
               == ClaimDecisionKind::Unavailable);
    CHECK(steadyNow() - second < Millis(50));
    log.setDown(false);
    const TimePoint deadline = afterMillis(3000);
    while (!claims.logAvailable() && steadyNow() < deadline)
        std::this_thread::sleep_for(Millis(5));
    CHECK_TRUE(claims.claim(freshRequest(), afterMillis(500)).kind == ClaimDecisionKind::Won);
}

// Guards against reporting "not run" during an outage for a key whose earlier claim this process
// has already read. Unavailable would state that nothing is known about earlier attempts.
TEST(ClaimService, knownHolderIsReportedDuringAnOutage)
{
    LogClaims first(log, testSettings());
    LogClaims second(log, testSettings());
    const ClaimRequest request = freshRequest();
    CHECK_TRUE(first.claim(request, afterMillis(500)).kind == ClaimDecisionKind::Won);
    CHECK_TRUE(second.claim(request, afterMillis(500)).kind == ClaimDecisionKind::InProgress);
    log.setDown(true);
    // The first call opens the circuit breaker, the second finds it open.
    CHECK_TRUE(second.claim(request, afterMillis(200)).kind == ClaimDecisionKind::InProgress);
    CHECK_FALSE(second.logAvailable());
    CHECK_TRUE(second.claim(request, afterMillis(200)).kind == ClaimDecisionKind::InProgress);
}

// Guards against one append per claim, which would exceed the append rate of the log.
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
            won += claims.claim(request, afterMillis(900)).kind == ClaimDecisionKind::Won;
        });
    }
    for (std::jthread &thread : threads)
        thread.join();
    LONGS_EQUAL(8, won);
    CHECK(log.appends() <= 2);
}

// Guards against a lost or duplicated claim when the owner of the shard fails.
TEST(ClaimService, forwardedBatchGivesTheSameVerdictsUnderFaults)
{
    enum class Link { Works, Down, ReplyLost, Duplicated, Garbage };
    struct Case
    {
        const char *name;
        Link link;
        std::size_t records; ///< Records added to the stream; a lost reply must not add one.
    };
    const std::vector<Case> cases = {
            {"works", Link::Works, 1},
            {"owner down", Link::Down, 1},
            {"reply lost", Link::ReplyLost, 1},
            {"delivered twice", Link::Duplicated, 2},
            {"reply malformed", Link::Garbage, 2},
    };
    for (const Case &c : cases) {
        LogClaims owner(log, testSettings());
        LogClaims sender(
                log, testSettings(),
                [&](std::size_t, const std::string &batch, Millis) -> std::optional<std::string> {
                    if (c.link == Link::Down)
                        return std::nullopt;
                    const std::string reply = owner.handleForwardedBatch(batch);
                    if (c.link == Link::Duplicated)
                        return owner.handleForwardedBatch(batch);
                    if (c.link == Link::Garbage)
                        return "{\"verdicts\":[7,{\"attempt\":1}]}";
                    if (c.link == Link::ReplyLost)
                        return std::nullopt;
                    return reply;
                });
        const ClaimRequest request = freshRequest();
        const std::size_t before = log.records(streamOf(request)).size();
        CHECK_TRUE_TEXT(sender.claim(request, afterMillis(900)).kind == ClaimDecisionKind::Won,
                        c.name);
        CHECK_EQUAL_TEXT(c.records, log.records(streamOf(request)).size() - before, c.name);
        CHECK_TRUE_TEXT(owner.claim(request, afterMillis(900)).kind
                                == ClaimDecisionKind::InProgress,
                        c.name);
    }
    LogClaims owner(log, testSettings());
    for (const char *text : {"", "{", "[]", "{\"shard\":99,\"time_ms\":5,\"entries\":[]}"})
        STRCMP_EQUAL("{\"verdicts\":[]}", owner.handleForwardedBatch(text).c_str());
}

// Guards against a reader that stops when the log drops old records.
TEST(ClaimService, readerSkipsExpiredRecords)
{
    const ClaimRequest request = freshRequest();
    for (int i = 0; i < 5; ++i)
        (void)capture([&] { return log.append(streamOf(request), {{"old", i}}, Millis(10)); });
    // The expired records are older than the key, so that they cannot contain a claim on it.
    log.backdate(streamOf(request), Millis(60'000));
    log.expire(streamOf(request), 4);
    LogClaims claims(log, testSettings());
    CHECK_TRUE(claims.warmUp(afterMillis(1000)));
    const ClaimDecision decision = claims.claim(request, afterMillis(500));
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
                won += claims.claim(request, afterMillis(900)).kind == ClaimDecisionKind::Won;
            });
        }
        for (std::jthread &thread : threads)
            thread.join();
        LONGS_EQUAL(1, won);
    }
}
