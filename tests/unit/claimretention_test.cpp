#include "base/ids.h"
#include "claims/claimfold.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace cicadafork;

namespace {

const WallTime kNow = fromEpoch(Millis(1'764'794'000'000));

LogRecord claimRecord(Offset offset, WallTime time, const std::string &key)
{
    const ClaimEntry claim{{"estate", key}, "hash", "attempt",    "member",
                           "incarnation",   kNow,   Millis(5000), Millis(10'000)};
    return {offset, time, encodeClaimBatch({claim})};
}

} // namespace

TEST_GROUP(ClaimRetention){};

// Guards against a second winner of a key at a new reader because the log has dropped the first
// claim: expired records may contain claims on any key that is older than the first retained
// record.
TEST(ClaimRetention, keysThatExpiredRecordsMayContainAreRefused)
{
    struct Case
    {
        const char *name;
        Millis keyAge; ///< Before the first retained record; negative when newer.
        bool won;
    };
    const std::vector<Case> cases = {
            {"older than the first retained record", Millis(30'000), false},
            {"newer by the clock skew", Millis(-5'000), false},
            {"newer by more than the clock skew", Millis(-5'001), true},
    };
    for (const Case &c : cases) {
        ClaimFold fold;
        fold.skipTo(100);
        fold.apply(claimRecord(100, kNow, newUuidV7(kNow)));
        const std::string key = newUuidV7(kNow - c.keyAge);
        const auto verdicts = fold.apply(claimRecord(101, kNow + Millis(6'000), key));
        LONGS_EQUAL_TEXT(1, verdicts.size(), c.name);
        CHECK_EQUAL_TEXT(c.won, verdicts[0].kind == ClaimVerdictKind::Won, c.name);
    }
}

// Guards against a new daemon that refuses the first key of a stream whose records have all
// expired, and against one that accepts a key on which those records may contain claims.
TEST(ClaimRetention, anExpiredStreamRefusesOnlyKeysOfExpiredRecords)
{
    struct Case
    {
        const char *name;
        Millis keyAge;
        bool won;
    };
    const std::vector<Case> cases = {
            {"new key", Millis(0), true},
            {"key within the retention", Millis(300'000), true},
            {"key older than the retention", Millis(590'000), false},
    };
    constexpr Millis kRetention{500'000};
    for (const Case &c : cases) {
        ClaimFold fold;
        fold.skipTo(100);
        fold.markAllExpired(kNow - kRetention);
        const auto verdicts = fold.apply(claimRecord(100, kNow, newUuidV7(kNow - c.keyAge)));
        CHECK_EQUAL_TEXT(c.won, verdicts.at(0).kind == ClaimVerdictKind::Won, c.name);
    }
}
