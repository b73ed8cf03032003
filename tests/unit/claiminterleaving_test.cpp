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

/// Deliberately wrong fronts that the checks must find.
enum class Variant { Correct, NoReadBack, StartAtTail, DispatchAfterAbandon };

constexpr Millis kValidity{5000};
constexpr Millis kRequestTime{8000};
constexpr Millis kRetention{900'000};
constexpr int kSteps = 70;
const WallTime kEpoch = fromEpoch(Millis(1'764'794'000'000));

struct Front
{
    ClaimFold fold;
    ClaimAttempt attempt;
    std::string id;
    std::optional<ClaimVerdictKind> verdict;
    TimePoint limit;
    bool toldNotRun = false; ///< The caller was told that this attempt did not and will not run.
    bool crashed = false;
    bool abandoned = false;
    bool appendAnswered = false;
};

struct Flight
{
    std::vector<ClaimLogEntry> entries;
    std::size_t front = 0;
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

/// One seeded run of several fronts on one stream, with lost answers, delays, doubled records,
/// pauses, crashes, replaced readers and expiry.
class Run
{
public:
    Run(std::uint32_t seed, Variant variant, Totals &totals)
        : random_(seed)
        , variant_(variant)
        , totals_(totals)
    {
        for (int i = 0; i < 2; ++i)
            keys_.push_back({"karri", newUuidV7(kEpoch)});
        maxFronts_ = 2 + pick(3);
    }

    /// Empty when every check held, otherwise the first violation.
    std::string execute()
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
        if (chance(2))
            elapsed_ += Millis(6000);
        if (chance(1))
            elapsed_ += Millis(pick(2) ? 30'000 : 650'000);
        expire();
        if (!flights_.empty() && chance(60))
            land();
        if (liveFronts() < maxFronts_ && chance(40))
            start();
        if (!fronts_.empty())
            advance(fronts_[static_cast<std::size_t>(pick(static_cast<int>(fronts_.size())))]);
    }

    int liveFronts() const
    {
        int live = 0;
        for (const Front &front : fronts_) {
            const AttemptState state = front.attempt.state;
            live += !front.crashed && state != AttemptState::Done
                    && state != AttemptState::Withdrawn;
        }
        return live;
    }

    void expire()
    {
        while (first_ < log_.size() && log_[first_].time + kRetention < wall())
            ++first_;
    }

    void start()
    {
        Front front;
        front.attempt.key = keys_[static_cast<std::size_t>(pick(2))];
        if (checkClaimKey(front.attempt.key.key, wall(), {}) != KeyCheck::Valid)
            return;
        front.attempt.started = now();
        front.attempt.validity = kValidity;
        front.limit = now() + Millis(500 + pick(4500));
        front.id = fmt::format("attempt-{}", fronts_.size());
        front.fold.skipTo(variant_ == Variant::StartAtTail ? log_.size() : first_);
        // The wrong reader takes the end of the stream for its beginning.
        if (variant_ == Variant::StartAtTail)
            front.fold.noteNothingRetained(WallTime{});
        ClaimEntry entry{front.attempt.key, "sha",       front.id, "m", "1", wall(),
                         kValidity,         kRequestTime};
        flights_.push_back({{entry}, fronts_.size(), true});
        fronts_.push_back(std::move(front));
    }

    /// One message reaches the log, in any order, possibly twice, with its answer possibly lost.
    void land()
    {
        const auto index = static_cast<std::size_t>(pick(static_cast<int>(flights_.size())));
        Flight flight = flights_[index];
        // Two batches of one shard owner become one record.
        if (index > 0 && chance(20)) {
            const auto &other = flights_[0].entries;
            flight.entries.insert(flight.entries.end(), other.begin(), other.end());
        }
        log_.push_back({log_.size(), wall(), encodeClaimBatch(flight.entries)});
        if (!chance(20))
            flights_.erase(flights_.begin() + static_cast<std::ptrdiff_t>(index));
        if (flight.claim && !chance(30))
            fronts_[flight.front].appendAnswered = true;
    }

    void read(Front &front)
    {
        if (chance(5)) {
            front.fold = ClaimFold();
            if (variant_ == Variant::StartAtTail)
                return;
        }
        front.fold.skipTo(first_);
        const std::size_t end = std::min(log_.size(), front.fold.next() + 1 + pick(20));
        for (std::size_t i = front.fold.next(); i < end; ++i) {
            for (const ClaimVerdict &verdict : front.fold.apply(log_[i])) {
                if (verdict.attemptId == front.id && !front.verdict)
                    front.verdict = verdict.kind;
            }
        }
    }

    void advance(Front &front)
    {
        if (front.crashed)
            return;
        if (chance(3)) {
            front.crashed = true;
            return;
        }
        read(front);
        switch (front.attempt.state) {
        case AttemptState::Pending:
            decide(front);
            break;
        case AttemptState::Won:
            dispatch(front);
            break;
        case AttemptState::Dispatched:
            if (chance(40))
                complete(front);
            break;
        case AttemptState::Withdrawn:
        case AttemptState::Done:
            probeEnded(front);
            break;
        }
    }

    void decide(Front &front)
    {
        const bool won = variant_ == Variant::NoReadBack ? front.appendAnswered
                                                         : front.verdict == ClaimVerdictKind::Won;
        if (won && winAttempt(front.attempt, now()))
            return;
        if (front.verdict && !won) {
            withdrawAttempt(front.attempt);
            front.toldNotRun = true;
            checkLoser(front);
        } else if (won || now() >= front.limit) {
            abandon(front);
        }
    }

    void abandon(Front &front)
    {
        if (!withdrawAttempt(front.attempt))
            return;
        ++totals_.abandoned;
        front.toldNotRun = true;
        front.abandoned = true;
        flights_.push_back({{WithdrawnEntry{front.attempt.key, front.id}}, 0, false});
    }

    void checkLoser(const Front &front)
    {
        if (*front.verdict != ClaimVerdictKind::Lost)
            return;
        const ClaimDecision decision = decideAgainstHolder(front.fold.holder(front.attempt.key),
                                                           "sha", front.fold.logTime());
        totals_.mayHaveRun += decision.kind == ClaimDecisionKind::MayHaveRun;
        if (decision.kind != ClaimDecisionKind::Duplicate)
            return;
        ++totals_.duplicates;
        const auto executed = executed_.find(front.attempt.key.key);
        if (executed == executed_.end() || decision.outcome->body != executed->second)
            violation_ = "a duplicate got an outcome that is not the first one";
    }

    void dispatch(Front &front)
    {
        if (chance(10)) {
            abandon(front);
            return;
        }
        if (!dispatchAttempt(front.attempt, now())) {
            abandon(front);
            return;
        }
        recordDispatch(front);
        if (dispatchAttempt(front.attempt, now()))
            violation_ = "an attempt dispatched twice";
    }

    void recordDispatch(const Front &front)
    {
        const std::string &key = front.attempt.key.key;
        ++totals_.dispatches;
        totals_.notRanRetries += refused_.contains(key);
        if (front.toldNotRun)
            violation_ = "an attempt dispatched after the caller was told that it did not run";
        if (executed_.contains(key))
            violation_ = "two dispatches of one key";
        executed_[key] = "outcome of " + front.id;
    }

    void complete(Front &front)
    {
        const std::string &key = front.attempt.key.key;
        StoredOutcome outcome;
        outcome.ran = !chance(20);
        outcome.body = executed_[key];
        if (!outcome.ran) {
            executed_.erase(key);
            refused_.insert(key);
        }
        finishAttempt(front.attempt);
        flights_.push_back({{DoneEntry{front.attempt.key, front.id, outcome}}, 0, false});
    }

    void probeEnded(Front &front)
    {
        if (variant_ == Variant::DispatchAfterAbandon && front.abandoned
            && front.verdict == ClaimVerdictKind::Won) {
            front.abandoned = false;
            recordDispatch(front);
        }
        if (winAttempt(front.attempt, now()) || dispatchAttempt(front.attempt, now()))
            violation_ = "an attempt that had ended was revived";
    }

    std::mt19937 random_;
    Variant variant_;
    Totals &totals_;
    std::vector<ClaimKey> keys_;
    int maxFronts_ = 2;
    Millis elapsed_{0};
    std::vector<LogRecord> log_;
    std::size_t first_ = 0;
    std::vector<Flight> flights_;
    std::vector<Front> fronts_;
    std::map<std::string, std::string> executed_; ///< Key to the outcome of its only execution.
    std::set<std::string> refused_;
    std::string violation_;
};

constexpr std::uint32_t kSeeds = 6000;

std::string firstViolation(Variant variant, Totals &totals)
{
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
        const std::string violation = Run(seed, variant, totals).execute();
        if (!violation.empty())
            return fmt::format("seed {}: {}", seed, violation);
    }
    return "";
}

} // namespace

TEST_GROUP(ClaimInterleaving){};

// Guards against a second execution of a key and against a false "not run", under any interleaving.
TEST(ClaimInterleaving, atMostOneDispatchPerKey)
{
    Totals totals;
    STRCMP_EQUAL("", firstViolation(Variant::Correct, totals).c_str());
    // The runs must reach the states that the checks are about.
    CHECK(totals.dispatches > 500);
    CHECK(totals.duplicates > 100);
    CHECK(totals.abandoned > 100);
    CHECK(totals.mayHaveRun > 20);
    CHECK(totals.notRanRetries > 20);
}

// Guards against checks that pass whatever the fronts do.
TEST(ClaimInterleaving, wrongVariantsAreFound)
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
