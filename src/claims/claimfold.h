#pragma once

// Replays one claims stream and decides each claim. The verdict on a claim depends only on the
// records up to its offset, so every reader of the stream computes the same verdict.
//
//   for (const ClaimVerdict &verdict : fold.apply(record))
//       handle(verdict);
//
// The first claim on a key without a holder wins and becomes the holder. The key is released when
// the holder withdraws or records an outcome with ran=false. A claim on a key that has a holder is
// lost permanently, so the caller may be told that the request was not run. Only the first record
// of an attempt counts; a repeated claim of the holder is again reported as won. A withdrawal that
// precedes its claim makes the claim void.
//
// Expiry uses the timestamps of the records, never a local clock. A row is kept until its key is
// older than the de-duplication window; no valid claim on the key can follow. No key is forgotten
// within the window: when the table is full, a new key is refused. From then on every key without a
// row is refused unless it was created after the refused one, because a reader with a larger table
// may have accepted it.

#include "base/table.h"
#include "claims/claimattempt.h"

#include <deque>
#include <set>

namespace cicadafork {

struct ClaimFoldLimits
{
    KeyLimits keys;
    std::size_t maxKeys = 32'768; ///< 600 claims/s over 16 shards for 10 min make 22,500 keys.
    std::size_t maxAttempts = 64; ///< Attempts stored per key; further ones are refused.
    std::size_t maxBodyBytes = 2 << 20; ///< Of all stored bodies; the oldest are dropped first.
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
    WallTime mayRunUntil; ///< Latest time, by the log's clock, at which the request may be running.
    std::optional<StoredOutcome> outcome;
};

struct ClaimRow
{
    WallTime expires;
    std::set<std::string> attempts; ///< Ids of the attempts that claimed or withdrew.
    std::optional<ClaimHolder> holder;
};

class ClaimFold
{
public:
    explicit ClaimFold(ClaimFoldLimits limits = {});

    /// Applies one record and returns the verdicts on the claims in it. A record below next() was
    /// applied before and is ignored.
    std::vector<ClaimVerdict> apply(const LogRecord &record);
    /// Skips records that have expired in the log; an offset at or below next() is ignored. The
    /// skipped records may contain claims on any key that is older than the first record after
    /// them, so such keys are refused from that record on.
    void skipTo(Offset first);
    /// Tells the fold that every record of the stream has expired and is older than the given time.
    /// Without effect unless records were skipped.
    void markAllExpired(WallTime expiredBefore);

    /// Offset of the next record to apply.
    Offset next() const { return next_; }
    /// Latest timestamp of the applied records.
    WallTime logTime() const { return logTime_; }
    const ClaimHolder *holder(const ClaimKey &key) const;
    /// True when a claim on this key would be refused because a limit is reached, or because
    /// records that may contain claims on it were skipped.
    bool refuses(const ClaimKey &key) const;
    std::size_t size() const { return rows_.size(); }

private:
    ClaimVerdictKind applyClaim(const ClaimEntry &entry, Offset offset);
    void applyWithdrawn(const WithdrawnEntry &entry);
    void applyDone(const DoneEntry &entry);
    ClaimRow *findOrInsertRow(const ClaimKey &key);
    void expireRows();
    void limitBodies();
    void refuseKeysOfSkippedRecords(WallTime expiredBefore);

    ClaimFoldLimits limits_;
    Table<std::string, ClaimRow> rows_;
    std::set<std::pair<WallTime, std::string>> expiry_;
    std::deque<std::string> bodies_; ///< Keys of the rows with a stored body, oldest first.
    std::size_t bodyBytes_ = 0;
    Offset next_ = 0;
    WallTime logTime_;
    /// Keys without a row that were created at or before this time are refused: one of them was
    /// refused because the table was full, or skipped records may contain claims on them.
    std::optional<WallTime> refusedUpTo_;
    bool recordsSkipped_ = false; ///< Records were skipped and no later record has been applied.
};

/// The decision on a claim that did not win, given the present holder of its key, which may be
/// null. logTime is the present time by the log's clock.
ClaimDecision decideAgainstHolder(const ClaimHolder *holder, const std::string &requestSha256,
                                  WallTime logTime);

/// Message and remedy for the caller; empty for Won and Duplicate.
Error claimError(ClaimDecisionKind kind);

} // namespace cicadafork
