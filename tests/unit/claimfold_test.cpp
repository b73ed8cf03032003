#include "base/ids.h"
#include "claims/claimfold.h"

#include <CppUTest/TestHarness.h>

#include <sstream>

using namespace cicadafork;

namespace {

const WallTime kStart = fromEpoch(Millis(1'764'794'000'000));

ClaimEntry claimOf(const ClaimKey &key, const std::string &attempt, const std::string &hash = "h")
{
    return {key, hash, attempt, "member", "1", kStart, Millis(5000), Millis(10'000)};
}

StoredOutcome outcomeOf(const std::string &body, bool ran = true)
{
    return {ran, 200, "text/plain", body, false};
}

/// Decodes one step: "a+" is the claim of attempt a, "a+x" the claim with request hash x, "a-" its
/// withdrawal, "a." its outcome and "a!" its outcome with ran=false.
ClaimLogEntry entryOf(const ClaimKey &key, const std::string &step)
{
    const std::string attempt = step.substr(0, 1);
    switch (step[1]) {
    case '+':
        return claimOf(key, attempt, step.size() > 2 ? step.substr(2) : "h");
    case '-':
        return WithdrawnEntry{key, attempt};
    default:
        return DoneEntry{key, attempt, outcomeOf(attempt, step[1] == '.')};
    }
}

const char *letterOf(ClaimVerdictKind kind)
{
    switch (kind) {
    case ClaimVerdictKind::Won:
        return "W";
    case ClaimVerdictKind::Lost:
        return "L";
    case ClaimVerdictKind::KeyReused:
        return "R";
    case ClaimVerdictKind::KeyInvalid:
        return "I";
    case ClaimVerdictKind::Void:
        return "V";
    case ClaimVerdictKind::Refused:
        return "F";
    }
    return "?";
}

/// One record for each step, or two consecutive copies of each.
std::vector<LogRecord> recordsOf(const ClaimKey &key, const std::string &steps, bool duplicated)
{
    std::vector<LogRecord> records;
    std::istringstream words(steps);
    for (std::string step; words >> step;) {
        const auto data = encodeClaimBatch({entryOf(key, step)});
        for (int i = 0; i < (duplicated ? 2 : 1); ++i)
            records.push_back({records.size(), kStart + Millis(records.size()), data});
    }
    return records;
}

/// The verdicts as letters; firstOfPairs leaves out the verdicts on the second copies.
std::string applyAll(ClaimFold &fold, const std::vector<LogRecord> &records, bool firstOfPairs)
{
    std::string verdicts;
    for (const LogRecord &record : records) {
        for (const ClaimVerdict &verdict : fold.apply(record)) {
            if (!firstOfPairs || record.offset % 2 == 0)
                verdicts += letterOf(verdict.kind);
        }
    }
    return verdicts;
}

} // namespace

TEST_GROUP(ClaimFold)
{
    ClaimKey key{"karri", newUuidV7(kStart)};
};

// Guards against two winners of a key, and against a key that no retry can win.
TEST(ClaimFold, firstClaimThatIsNotWithdrawnWins)
{
    struct Case
    {
        const char *name;
        const char *steps;
        const char *verdicts;
        const char *holder;
    };
    const std::vector<Case> cases = {
            {"first in offset order", "a+ b+ c+", "WLL", "a"},
            {"other request", "a+ b+x", "WR", "a"},
            {"withdrawn before the next claim", "a+ a- b+", "WW", "b"},
            {"a lost claim stays lost after the withdrawal", "a+ b+ a- c+", "WLW", "c"},
            {"withdrawal before its claim", "a- a+ b+", "VW", "b"},
            {"withdrawal of a lost claim", "a+ b+ b- c+", "WLL", "a"},
            {"withdrawal after the outcome", "a+ a. a- b+", "WL", "a"},
            {"finished", "a+ a. b+", "WL", "a"},
            {"did not run", "a+ a! b+", "WW", "b"},
            {"the first outcome is kept", "a+ a. a! b+", "WL", "a"},
            {"outcome of another attempt", "a+ b! c+", "WL", "a"},
            {"the holder's claim repeated", "a+ a+ b+", "WWL", "a"},
            {"a lost claim repeated after the withdrawal", "a+ b+ a- b+", "WLV", ""},
            {"a withdrawn claim repeated", "a+ a- a+", "WV", ""},
    };
    for (const Case &c : cases) {
        for (const bool duplicated : {false, true}) {
            ClaimFold fold;
            const auto records = recordsOf(key, c.steps, duplicated);
            STRCMP_EQUAL_TEXT(c.verdicts, applyAll(fold, records, duplicated).c_str(), c.name);
            const ClaimHolder *holder = fold.holder(key);
            STRCMP_EQUAL_TEXT(c.holder, holder ? holder->attemptId.c_str() : "", c.name);
            STRCMP_EQUAL_TEXT("", applyAll(fold, records, false).c_str(), "old records");
            ClaimFold fresh;
            STRCMP_EQUAL_TEXT(c.verdicts, applyAll(fresh, records, duplicated).c_str(), c.name);
        }
    }
}

// Guards against a second execution for a key whose first claim has expired.
TEST(ClaimFold, expiryFollowsTheTimeOfTheRecords)
{
    ClaimFold fold;
    const auto first = encodeClaimBatch({claimOf(key, "a")});
    const auto second = encodeClaimBatch({claimOf(key, "b")});
    applyAll(fold, {{0, kStart, first}}, false);
    STRCMP_EQUAL("L", applyAll(fold, {{1, kStart + Millis(600'000), second}}, false).c_str());
    STRCMP_EQUAL("I", applyAll(fold, {{2, kStart + Millis(600'001), second}}, false).c_str());
    LONGS_EQUAL(0, fold.size());
    // The key stays expired when the log's clock steps back.
    STRCMP_EQUAL("I", applyAll(fold, {{3, kStart, second}}, false).c_str());
    ClaimFold early;
    STRCMP_EQUAL("I", applyAll(early, {{0, kStart - Millis(5001), first}}, false).c_str());
}

// Guards against a full table that forgets a key within the de-duplication window.
TEST(ClaimFold, fullTableRefusesNewKeysAndKeysThatMayHaveBeenRefused)
{
    ClaimFoldLimits limits;
    limits.maxKeys = 2;
    ClaimFold fold(limits);
    std::vector<ClaimKey> keys;
    for (int i = 0; i < 4; ++i)
        keys.push_back({"w", newUuidV7(kStart + Millis(1000 * i))});
    const auto apply = [&](Offset offset, Millis time, const ClaimKey &claimed) {
        const auto data = encodeClaimBatch({claimOf(claimed, std::to_string(offset))});
        return applyAll(fold, {{offset, kStart + time, data}}, false);
    };
    STRCMP_EQUAL("W", apply(0, Millis(3000), keys[0]).c_str());
    STRCMP_EQUAL("W", apply(1, Millis(3000), keys[1]).c_str());
    STRCMP_EQUAL("F", apply(2, Millis(3000), keys[2]).c_str());
    CHECK_TRUE(fold.refuses(keys[3]));
    STRCMP_EQUAL("L", apply(3, Millis(3000), keys[0]).c_str());
    // A row has expired, but a reader with a larger table may have accepted the refused key.
    STRCMP_EQUAL("F", apply(4, Millis(600'500), keys[2]).c_str());
    CHECK_FALSE(fold.refuses(keys[3]));
    STRCMP_EQUAL("W", apply(5, Millis(600'500), keys[3]).c_str());
}

// Guards against unbounded growth of the attempts stored for a key.
TEST(ClaimFold, attemptsOfAKeyAreBounded)
{
    ClaimFoldLimits limits;
    limits.maxAttempts = 2;
    ClaimFold fold(limits);
    const auto records = recordsOf(key, "a+ b+ c+ a- c+ d+", false);
    STRCMP_EQUAL("WLLFF", applyAll(fold, records, false).c_str());
    CHECK_TRUE(fold.refuses(key));
}

// Guards against a wrong decision on a duplicate at each stage of the first attempt.
TEST(ClaimFold, decisionFollowsTheStageOfTheHolder)
{
    ClaimHolder running{"a", "h", 7, kStart + Millis(15'000), std::nullopt};
    ClaimHolder finished = running;
    finished.outcome = outcomeOf("done");
    struct Case
    {
        const char *name;
        const ClaimHolder *holder;
        const char *hash;
        Millis time;
        ClaimDecisionKind kind;
    };
    const std::vector<Case> cases = {
            {"running", &running, "h", Millis(14'999), ClaimDecisionKind::InProgress},
            {"lost winner", &running, "h", Millis(15'000), ClaimDecisionKind::MayHaveRun},
            {"finished", &finished, "h", Millis(20'000), ClaimDecisionKind::Duplicate},
            {"other request", &finished, "x", Millis(0), ClaimDecisionKind::KeyReused},
            {"withdrawn since", nullptr, "h", Millis(0), ClaimDecisionKind::InProgress},
    };
    for (const Case &c : cases) {
        const ClaimDecision decision = decideAgainstHolder(c.holder, c.hash, kStart + c.time);
        CHECK_TRUE_TEXT(decision.kind == c.kind, c.name);
        CHECK_TRUE_TEXT(decision.retryAfter >= Millis(100), c.name);
        CHECK_EQUAL_TEXT(c.kind == ClaimDecisionKind::Duplicate, decision.outcome.has_value(),
                         c.name);
    }
}

// Guards against unbounded memory for stored response bodies.
TEST(ClaimFold, oldestBodiesAreDroppedAtTheLimit)
{
    ClaimFoldLimits limits;
    limits.maxBodyBytes = 15;
    ClaimFold fold(limits);
    const ClaimKey other{"karri", newUuidV7(kStart)};
    const std::string body(10, 'x');
    const auto batch = encodeClaimBatch({claimOf(key, "a"), claimOf(other, "b"),
                                         DoneEntry{key, "a", outcomeOf(body)},
                                         DoneEntry{other, "b", outcomeOf(body)}});
    STRCMP_EQUAL("WW", applyAll(fold, {{0, kStart, batch}}, false).c_str());
    CHECK_TRUE(fold.holder(key)->outcome->truncated);
    STRCMP_EQUAL(body.c_str(), fold.holder(other)->outcome->body.c_str());
}

// Guards against a reader that stops at a malformed record of another writer.
TEST(ClaimFold, malformedEntriesAreSkipped)
{
    const auto good = encodeClaimBatch({claimOf(key, "a")})["entries"][0];
    nlohmann::json wrongType = good;
    wrongType["key"] = 7;
    const nlohmann::json mixed = {{"entries", {wrongType, 3, nullptr, {{"type", "later"}}, good}}};
    ClaimFold fold;
    for (const auto &data : {nlohmann::json(nullptr), nlohmann::json(5), nlohmann::json::object()})
        STRCMP_EQUAL("", applyAll(fold, {{fold.next(), kStart, data}}, false).c_str());
    STRCMP_EQUAL("W", applyAll(fold, {{fold.next(), kStart, mixed}}, false).c_str());
}

// Guards against a body that is not valid UTF-8: serializing it as a JSON string throws, in the
// background thread that appends outcomes.
TEST(ClaimFold, binaryBodyIsPreservedByEncoding)
{
    const std::string body("\xff\x00\x80z", 4);
    const auto data = nlohmann::json::parse(encodeOutcome(outcomeOf(body)).dump());
    CHECK_TRUE(decodeOutcome(data).body == body);
}
