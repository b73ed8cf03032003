#include "base/ids.h"
#include "claims/claimattempt.h"

#include <CppUTest/TestHarness.h>

using namespace cicadafork;

TEST_GROUP(ClaimAttempt){};

// Guards against an attempt that dispatches twice, after its validity, or after its withdrawal.
TEST(ClaimAttempt, dispatchesOnceAndOnlyWhileValid)
{
    struct Case
    {
        const char *name;
        const char *steps;   ///< w win, d dispatch, x withdraw, f finish, p pause of 5 s.
        const char *results; ///< 1 or 0 for the result of each step but the pauses.
        AttemptState state;
    };
    const std::vector<Case> cases = {
            {"normal", "wdf", "111", AttemptState::Done},
            {"dispatch without winning", "d", "0", AttemptState::Pending},
            {"dispatch twice", "wdd", "110", AttemptState::Dispatched},
            {"pause before the verdict", "pw", "0", AttemptState::Pending},
            {"pause before the dispatch", "wpdx", "101", AttemptState::Withdrawn},
            {"withdrawn before the verdict", "xwd", "100", AttemptState::Withdrawn},
            {"withdrawn before the dispatch", "wxd", "110", AttemptState::Withdrawn},
            {"withdrawn after the dispatch", "wdx", "110", AttemptState::Dispatched},
            {"after the end", "wdfdxwf", "1110000", AttemptState::Done},
            {"finish without dispatch", "wf", "10", AttemptState::Won},
    };
    for (const Case &c : cases) {
        TimePoint now{Millis(1000)};
        ClaimAttempt attempt;
        attempt.started = now;
        attempt.validity = Millis(5000);
        std::string results;
        for (const char step : std::string(c.steps)) {
            if (step == 'p')
                now += Millis(5000);
            else if (step == 'w')
                results += winAttempt(attempt, now) ? '1' : '0';
            else if (step == 'd')
                results += dispatchAttempt(attempt, now) ? '1' : '0';
            else if (step == 'x')
                results += withdrawAttempt(attempt) ? '1' : '0';
            else
                results += finishAttempt(attempt) ? '1' : '0';
        }
        STRCMP_EQUAL_TEXT(c.results, results.c_str(), c.name);
        CHECK_TRUE_TEXT(attempt.state == c.state, c.name);
    }
}

// Guards against accepting a key whose earlier claim may have expired in the log.
TEST(ClaimAttempt, keyMustBeAUuidV7WithinTheWindow)
{
    const WallTime now = fromEpoch(Millis(1'764'794'000'000));
    struct Case
    {
        const char *name;
        std::string key;
        KeyCheck expected;
    };
    const std::vector<Case> cases = {
            {"now", newUuidV7(now), KeyCheck::Valid},
            {"at the window", newUuidV7(now - Millis(600'000)), KeyCheck::Valid},
            {"older than the window", newUuidV7(now - Millis(600'001)), KeyCheck::TooOld},
            {"within the skew", newUuidV7(now + Millis(5000)), KeyCheck::Valid},
            {"beyond the skew", newUuidV7(now + Millis(5001)), KeyCheck::FromFuture},
            {"year 10889", "ffffffff-ffff-7fff-8fff-ffffffffffff", KeyCheck::FromFuture},
            {"version 4", "019a0cc8-2f7e-4a0e-9f29-4dc1f3a6b8aa", KeyCheck::Malformed},
            {"text", "019a", KeyCheck::Malformed},
            {"empty", "", KeyCheck::Malformed},
    };
    for (const Case &c : cases)
        CHECK_TRUE_TEXT(checkClaimKey(c.key, now, {}) == c.expected, c.name);
}
