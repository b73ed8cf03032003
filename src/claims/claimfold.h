#pragma once

// Fold of one claims stream. The verdict on a claim depends only on the records up to its offset,
// so every reader of the stream gives the same verdict.
//
//   for (const ClaimVerdict &verdict : fold.apply(record))
//       deliver(verdict);
//
// The first claim of a key that finds no holder wins and becomes the holder. The holder gives the
// key up by its own withdrawal or by an outcome with ran=false. A claim that finds a holder has
// lost for good, so its front may tell the caller "not run". Only the first record of an attempt
// counts, and the holder's own claim read again confirms that it won; a withdrawal that precedes
// its claim makes the claim void.
//
// Expiry uses the time of the records, never a local clock. A row is kept until no record can carry
// a valid claim for its key. At the limit of rows a new key is refused, and so is every later key
// without a row that is not newer: it may be one that was refused here but accepted by a reader
// with more room. No key is forgotten within the window.

#include "base/table.h"
#include "claims/claimattempt.h"

#include <deque>
#include <set>

namespace cicadafork {

struct ClaimFoldLimits
{
    KeyLimits keys;
    std::size_t maxKeys = 32'768; ///< 600 claims/s over 16 shards in 10 min are 22,500 keys.
    std::size_t maxAttempts = 64; ///< Attempts remembered for a key; further ones are refused.
    std::size_t maxBodyBytes = 2 << 20; ///< Stored bodies; the oldest are dropped first.
};

enum class ClaimVerdictKind { Won, Lost, KeyReused, KeyInvalid, Void, Refused };

struct ClaimVerdict
{
    std::string attemptId;
    ClaimKey key;
    ClaimVerdictKind kind = ClaimVerdictKind::Void;
    Offset offset = 0;
};

struct ClaimHolder
{
    std::string attemptId;
    std::string requestSha256;
    Offset offset = 0;
    WallTime busyUntil; ///< Latest time, by the log's clock, at which the request may still run.
    std::optional<StoredOutcome> outcome;
};

struct ClaimRow
{
    WallTime expires;
    std::set<std::string> attempts; ///< Attempts seen, by claim or by withdrawal.
    std::optional<ClaimHolder> holder;
};

class ClaimFold
{
public:
    explicit ClaimFold(ClaimFoldLimits limits = {});

    /// Applies one record and returns the verdicts on the claims that it holds. A record below
    /// next() was applied before and changes nothing.
    std::vector<ClaimVerdict> apply(const LogRecord &record);
    /// Moves past records that have expired in the log; older offsets change nothing. The expired
    /// records may hold claims of every key that is older than the first record after them, so that
    /// those keys are refused from then on.
    void skipTo(Offset first);
    /// States that no record follows the expired ones yet, and that they were older than a time.
    void noteNothingRetained(WallTime expiredBefore);

    Offset next() const { return next_; }
    /// Latest time seen in a record.
    WallTime logTime() const { return logTime_; }
    const ClaimHolder *holder(const ClaimKey &key) const;
    /// A claim for this key would be refused for lack of room.
    bool refuses(const ClaimKey &key) const;
    std::size_t size() const { return rows_.size(); }

private:
    ClaimVerdictKind applyClaim(const ClaimEntry &entry, Offset offset);
    void applyWithdrawn(const WithdrawnEntry &entry);
    void applyDone(const DoneEntry &entry);
    ClaimRow *rowFor(const ClaimKey &key);
    void expireRows();
    void limitBodies();
    void closeGap(WallTime expiredBefore);

    ClaimFoldLimits limits_;
    Table<std::string, ClaimRow> rows_;
    std::set<std::pair<WallTime, std::string>> expiry_;
    std::deque<std::string> bodies_; ///< Rows with a stored body, oldest first.
    std::size_t bodyBytes_ = 0;
    Offset next_ = 0;
    WallTime logTime_;
    /// Keys without a row are refused when they are not newer than this: one was refused at the
    /// limit, or records that may hold their claims have expired.
    std::optional<WallTime> refusedUpTo_;
    bool gap_ = false; ///< Records were skipped, and no later one has been seen.
};

/// The decision on a claim that did not win, from the holder that the fold has now. logTime is the
/// present time by the log's clock.
ClaimDecision decideAgainstHolder(const ClaimHolder *holder, const std::string &requestSha256,
                                  WallTime logTime);

/// Message and remedy for a caller.
Error claimError(ClaimDecisionKind kind);

} // namespace cicadafork
