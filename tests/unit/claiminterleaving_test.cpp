#include "base/ids.h"
#include "claims/claimfold.h"

#include <CppUTest/TestHarness.h>

#include <fmt/format.h>

#include <map>
#include <random>
#include <string>
#include <vector>

using namespace cicadafork;

namespace {

/// Correct claimants, and deliberately faulty ones that the checks must detect.
enum class Variant { Correct, NoReadBack, StartAtTail, DispatchAfterAbandon };

constexpr Millis kValidity{5000};
constexpr Millis kRequestTime{8000};
constexpr Millis kRetention{900'000};
constexpr int kSteps = 70;
const WallTime kEpoch = fromEpoch(Millis(1'764'794'000'000));

struct Claimant
{
    ClaimFold fold;
    ClaimAttempt attempt;
    std::string id;
    std::optional<ClaimVerdictKind> verdict;
    TimePoint deadline;
    /// The caller was told that this attempt was not and will not be run.
    bool reportedNotRun = false;
    bool crashed = false;
    bool abandoned = false;
    bool appendConfirmed = false;
};

/// An append that has been sent and may reach the log at any time.
struct PendingAppend
{
    std::vector<ClaimLogEntry> entries;
    std::size_t claimant = 0;
    bool claim = false;
};

struct Totals
{
    int dispatches = 0;
    int duplicates = 0;
    int abandoned = 0;
    int mayHaveRun = 0;
    int notRanRetries = 0;
};

/// Simulates several claimants on one stream from a seed, with lost replies, delays, duplicated
/// records, pauses, crashes, restarted readers and expiry.
class Simulation
{
public:
    Simulation(std::uint32_t seed, Variant variant, Totals &totals)
        : random_(seed)
        , variant_(variant)
        , totals_(totals)
    {
        for (int i = 0; i < 2; ++i)
            keys_.push_back({"karri", newUuidV7(kEpoch)});
        maxClaimants_ = 2 + pick(3);
    }

    /// Returns the first violation, or an empty string.
    std::string run()
    {
        for (int i = 0; i < kSteps && violation_.empty(); ++i)
            step();
        return violation_;
    }

private:
    int pick(int n) { return static_cast<int>(random_() % static_cast<unsigned>(n)); }
    bool chance(int percent) { return pick(100) < percent; }
    TimePoint now() const { return TimePoint(elapsed_); }
    WallTime wall() const { return kEpoch + elapsed_; }

    void step()
    {
        elapsed_ += Millis(pick(300));
        // Longer than the validity of a claim.
        if (chance(2))
            elapsed_ += Millis(6000);
        // Longer than a request may run, or longer than the de-duplication window.
        if (chance(1))
            elapsed_ += Millis(pick(2) ? 30'000 : 650'000);
        expire();
        if (!pendingAppends_.empty() && chance(60))
            completeAppend();
        if (liveClaimants() < maxClaimants_ && chance(40))
            start();
        if (!claimants_.empty())
            advance(claimants_[static_cast<std::size_t>(
                    pick(static_cast<int>(claimants_.size())))]);
    }

    int liveClaimants() const
    {
        int live = 0;
        for (const Claimant &claimant : claimants_) {
            const AttemptState state = claimant.attempt.state;
            live += !claimant.crashed && state != AttemptState::Done
                    && state != AttemptState::Withdrawn;
        }
        return live;
    }

    void expire()
    {
        while (firstRetained_ < log_.size() && log_[firstRetained_].time + kRetention < wall())
            ++firstRetained_;
    }

    void start()
    {
        Claimant claimant;
        claimant.attempt.key = keys_[static_cast<std::size_t>(pick(2))];
        if (checkClaimKey(claimant.attempt.key.key, wall(), {}) != KeyCheck::Valid)
            return;
        claimant.attempt.started = now();
        claimant.attempt.validity = kValidity;
        claimant.deadline = now() + Millis(500 + pick(4500));
        claimant.id = fmt::format("attempt-{}", claimants_.size());
        claimant.fold.skipTo(variant_ == Variant::StartAtTail ? log_.size() : firstRetained_);
        // The faulty reader assumes that no claims precede the end of the stream.
        if (variant_ == Variant::StartAtTail)
            claimant.fold.markAllExpired(WallTime{});
        ClaimEntry entry{claimant.attempt.key, "sha", claimant.id, "m", "1", wall(), kValidity,
                         kRequestTime};
        pendingAppends_.push_back({{entry}, claimants_.size(), true});
        claimants_.push_back(std::move(claimant));
    }

    /// One append reaches the log. The order is random, the append may be repeated later, and its
    /// reply may be lost.
    void completeAppend()
    {
        const auto index = static_cast<std::size_t>(pick(static_cast<int>(pendingAppends_.size())));
        PendingAppend append = pendingAppends_[index];
        // The owner of a shard may write two batches as one record.
        if (index > 0 && chance(20)) {
            const auto &other = pendingAppends_[0].entries;
            append.entries.insert(append.entries.end(), other.begin(), other.end());
        }
        log_.push_back({log_.size(), wall(), encodeClaimBatch(append.entries)});
        if (!chance(20))
            pendingAppends_.erase(pendingAppends_.begin() + static_cast<std::ptrdiff_t>(index));
        if (append.claim && !chance(30))
            claimants_[append.claimant].appendConfirmed = true;
    }

    void read(Claimant &claimant)
    {
        if (chance(5)) {
            claimant.fold = ClaimFold();
            if (variant_ == Variant::StartAtTail)
                return;
        }
        claimant.fold.skipTo(firstRetained_);
        const std::size_t end = std::min(log_.size(), claimant.fold.next() + 1 + pick(20));
        for (std::size_t i = claimant.fold.next(); i < end; ++i) {
            for (const ClaimVerdict &verdict : claimant.fold.apply(log_[i])) {
                if (verdict.attemptId == claimant.id && !claimant.verdict)
                    claimant.verdict = verdict.kind;
            }
        }
    }

    void advance(Claimant &claimant)
    {
        if (claimant.crashed)
            return;
        if (chance(3)) {
            claimant.crashed = true;
            return;
        }
        read(claimant);
        switch (claimant.attempt.state) {
        case AttemptState::Pending:
            decide(claimant);
            break;
        case AttemptState::Won:
            dispatch(claimant);
            break;
        case AttemptState::Dispatched:
            if (chance(40))
                complete(claimant);
            break;
        case AttemptState::Withdrawn:
        case AttemptState::Done:
            checkEndedAttempt(claimant);
            break;
        }
    }

    void decide(Claimant &claimant)
    {
        const bool won = variant_ == Variant::NoReadBack
                                 ? claimant.appendConfirmed
                                 : claimant.verdict == ClaimVerdictKind::Won;
        if (won && winAttempt(claimant.attempt, now()))
            return;
        if (claimant.verdict && !won) {
            withdrawAttempt(claimant.attempt);
            claimant.reportedNotRun = true;
            checkLostClaim(claimant);
        } else if (won || now() >= claimant.deadline) {
            abandon(claimant);
        }
    }

    void abandon(Claimant &claimant)
    {
        if (!withdrawAttempt(claimant.attempt))
            return;
        ++totals_.abandoned;
        claimant.reportedNotRun = true;
        claimant.abandoned = true;
        pendingAppends_.push_back({{WithdrawnEntry{claimant.attempt.key, claimant.id}}, 0, false});
    }

    void checkLostClaim(const Claimant &claimant)
    {
        if (*claimant.verdict != ClaimVerdictKind::Lost)
            return;
        const ClaimDecision decision = decideAgainstHolder(
                claimant.fold.holder(claimant.attempt.key), "sha", claimant.fold.logTime());
        totals_.mayHaveRun += decision.kind == ClaimDecisionKind::MayHaveRun;
        if (decision.kind != ClaimDecisionKind::Duplicate)
            return;
        ++totals_.duplicates;
        const auto executed = executed_.find(claimant.attempt.key.key);
        if (executed == executed_.end() || decision.outcome->body != executed->second)
            violation_ = "a duplicate got an outcome other than the first one";
    }

    void dispatch(Claimant &claimant)
    {
        if (chance(10)) {
            abandon(claimant);
            return;
        }
        if (!dispatchAttempt(claimant.attempt, now())) {
            abandon(claimant);
            return;
        }
        recordDispatch(claimant);
        if (dispatchAttempt(claimant.attempt, now()))
            violation_ = "an attempt dispatched twice";
    }

    void recordDispatch(const Claimant &claimant)
    {
        const std::string &key = claimant.attempt.key.key;
        ++totals_.dispatches;
        totals_.notRanRetries += refused_.contains(key);
        if (claimant.reportedNotRun)
            violation_ = "an attempt dispatched after the caller was told that it did not run";
        if (executed_.contains(key))
            violation_ = "two dispatches of one key";
        executed_[key] = "outcome of " + claimant.id;
    }

    void complete(Claimant &claimant)
    {
        const std::string &key = claimant.attempt.key.key;
        StoredOutcome outcome;
        outcome.ran = !chance(20);
        outcome.body = executed_[key];
        if (!outcome.ran) {
            executed_.erase(key);
            refused_.insert(key);
        }
        finishAttempt(claimant.attempt);
        pendingAppends_.push_back(
                {{DoneEntry{claimant.attempt.key, claimant.id, outcome}}, 0, false});
    }

    void checkEndedAttempt(Claimant &claimant)
    {
        if (variant_ == Variant::DispatchAfterAbandon && claimant.abandoned
            && claimant.verdict == ClaimVerdictKind::Won) {
            claimant.abandoned = false;
            recordDispatch(claimant);
        }
        if (winAttempt(claimant.attempt, now()) || dispatchAttempt(claimant.attempt, now()))
            violation_ = "an attempt that had ended won or dispatched";
    }

    std::mt19937 random_;
    Variant variant_;
    Totals &totals_;
    std::vector<ClaimKey> keys_;
    int maxClaimants_ = 2;
    Millis elapsed_{0};
    std::vector<LogRecord> log_;
    std::size_t firstRetained_ = 0;
    std::vector<PendingAppend> pendingAppends_;
    std::vector<Claimant> claimants_;
    std::map<std::string, std::string> executed_; ///< Key to the outcome of its only execution.
    std::set<std::string> refused_;               ///< Keys with an outcome that had ran=false.
    std::string violation_;
};

constexpr std::uint32_t kSeeds = 6000;

std::string firstViolation(Variant variant, Totals &totals)
{
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
        const std::string violation = Simulation(seed, variant, totals).run();
        if (!violation.empty())
            return fmt::format("seed {}: {}", seed, violation);
    }
    return "";
}

} // namespace

TEST_GROUP(ClaimInterleaving){};

// Guards against a second execution for a key, and against reporting "not run" for a request that
// runs, under random interleavings.
TEST(ClaimInterleaving, atMostOneDispatchPerKey)
{
    Totals totals;
    STRCMP_EQUAL("", firstViolation(Variant::Correct, totals).c_str());
    // The simulations must have reached the states that are checked.
    CHECK(totals.dispatches > 500);
    CHECK(totals.duplicates > 100);
    CHECK(totals.abandoned > 100);
    CHECK(totals.mayHaveRun > 20);
    CHECK(totals.notRanRetries > 20);
}

// Guards against checks that pass for any behaviour of the claimants.
TEST(ClaimInterleaving, faultyVariantsAreDetected)
{
    struct Case
    {
        const char *name;
        Variant variant;
    };
    const std::vector<Case> cases = {
            {"dispatch without reading back", Variant::NoReadBack},
            {"reader that starts at the end of the stream", Variant::StartAtTail},
            {"dispatch after the attempt was abandoned", Variant::DispatchAfterAbandon},
    };
    for (const Case &c : cases) {
        Totals totals;
        CHECK_TRUE_TEXT(!firstViolation(c.variant, totals).empty(), c.name);
    }
}
