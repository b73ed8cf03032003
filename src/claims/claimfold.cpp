#include "claims/claimfold.h"

#include "base/ids.h"

#include <algorithm>

namespace cicadafork {

namespace {

constexpr Millis kMinRetryAfter{100};
constexpr Millis kMaxRetryAfter{1000};

std::string rowKey(const ClaimKey &key)
{
    return key.workspace + '\n' + key.key;
}

/// Drops a body above kMaxStoredBodyBytes. The limit is enforced on reading as well, because the
/// writer of the record may not have applied it.
StoredOutcome limitBodySize(StoredOutcome outcome)
{
    if (outcome.body.size() > kMaxStoredBodyBytes) {
        outcome.body.clear();
        outcome.truncated = true;
    }
    return outcome;
}

} // namespace

ClaimFold::ClaimFold(ClaimFoldLimits limits)
    : limits_(limits)
    , rows_(limits.maxKeys)
{
}

std::vector<ClaimVerdict> ClaimFold::apply(const LogRecord &record)
{
    std::vector<ClaimVerdict> verdicts;
    if (record.offset < next_)
        return verdicts;
    next_ = record.offset + 1;
    refuseKeysOfSkippedRecords(record.time);
    logTime_ = std::max(logTime_, record.time);
    expireRows();
    for (const ClaimLogEntry &entry : decodeClaimBatch(record.data)) {
        if (const auto *claim = std::get_if<ClaimEntry>(&entry)) {
            const ClaimVerdictKind kind = applyClaim(*claim, record.offset);
            const ClaimHolder *winner
                    = kind == ClaimVerdictKind::Won ? holder(claim->key) : nullptr;
            verdicts.push_back(
                    {claim->attemptId, claim->key, kind, winner ? winner->offset : record.offset});
        } else if (const auto *withdrawn = std::get_if<WithdrawnEntry>(&entry)) {
            applyWithdrawn(*withdrawn);
        } else {
            applyDone(std::get<DoneEntry>(entry));
        }
    }
    return verdicts;
}

void ClaimFold::skipTo(Offset first)
{
    if (first <= next_)
        return;
    next_ = first;
    recordsSkipped_ = true;
}

void ClaimFold::markAllExpired(WallTime expiredBefore)
{
    refuseKeysOfSkippedRecords(expiredBefore);
}

void ClaimFold::refuseKeysOfSkippedRecords(WallTime expiredBefore)
{
    if (!recordsSkipped_)
        return;
    recordsSkipped_ = false;
    // The caller's clock may be ahead, so a key can have been claimed up to one clock skew before
    // its creation time.
    const WallTime bound = expiredBefore + limits_.keys.skew;
    refusedUpTo_ = std::max(refusedUpTo_.value_or(bound), bound);
}

const ClaimHolder *ClaimFold::holder(const ClaimKey &key) const
{
    const ClaimRow *row = rows_.find(rowKey(key));
    return row && row->holder ? &*row->holder : nullptr;
}

bool ClaimFold::refuses(const ClaimKey &key) const
{
    if (const ClaimRow *row = rows_.find(rowKey(key)))
        return !row->holder && row->attempts.size() >= limits_.maxAttempts;
    if (rows_.size() >= rows_.limit())
        return true;
    const std::optional<WallTime> created = uuidV7Time(key.key);
    return refusedUpTo_ && created && *created <= *refusedUpTo_;
}

ClaimVerdictKind ClaimFold::applyClaim(const ClaimEntry &entry, Offset offset)
{
    if (checkClaimKey(entry.key.key, logTime_, limits_.keys) != KeyCheck::Valid)
        return ClaimVerdictKind::KeyInvalid;
    ClaimRow *row = findOrInsertRow(entry.key);
    if (!row)
        return ClaimVerdictKind::Refused;
    if (row->attempts.contains(entry.attemptId)) {
        const bool holds = row->holder && row->holder->attemptId == entry.attemptId;
        return holds ? ClaimVerdictKind::Won : ClaimVerdictKind::Void;
    }
    const bool remembered = row->attempts.size() < limits_.maxAttempts;
    if (remembered)
        row->attempts.insert(entry.attemptId);
    if (row->holder) {
        return row->holder->requestSha256 == entry.requestSha256 ? ClaimVerdictKind::Lost
                                                                 : ClaimVerdictKind::KeyReused;
    }
    if (!remembered)
        return ClaimVerdictKind::Refused;
    row->holder = ClaimHolder{entry.attemptId, entry.requestSha256, offset,
                              logTime_ + entry.validity + entry.requestTime, std::nullopt};
    return ClaimVerdictKind::Won;
}

void ClaimFold::applyWithdrawn(const WithdrawnEntry &entry)
{
    if (checkClaimKey(entry.key.key, logTime_, limits_.keys) != KeyCheck::Valid)
        return;
    ClaimRow *row = findOrInsertRow(entry.key);
    if (!row)
        return;
    if (row->attempts.size() < limits_.maxAttempts)
        row->attempts.insert(entry.attemptId);
    if (row->holder && row->holder->attemptId == entry.attemptId && !row->holder->outcome)
        row->holder.reset();
}

void ClaimFold::applyDone(const DoneEntry &entry)
{
    const std::string id = rowKey(entry.key);
    ClaimRow *row = rows_.find(id);
    if (!row || !row->holder || row->holder->attemptId != entry.attemptId || row->holder->outcome)
        return;
    if (!entry.outcome.ran) {
        row->holder.reset();
        return;
    }
    row->holder->outcome = limitBodySize(entry.outcome);
    if (!row->holder->outcome->body.empty()) {
        bodyBytes_ += row->holder->outcome->body.size();
        bodies_.push_back(id);
        limitBodies();
    }
}

ClaimRow *ClaimFold::findOrInsertRow(const ClaimKey &key)
{
    const std::string id = rowKey(key);
    if (ClaimRow *row = rows_.find(id))
        return row;
    const std::optional<WallTime> created = uuidV7Time(key.key);
    if (refusedUpTo_ && *created <= *refusedUpTo_)
        return nullptr;
    ClaimRow *row = rows_.insert(id);
    if (!row) {
        refusedUpTo_ = *created;
        return nullptr;
    }
    row->expires = *created + limits_.keys.window;
    expiry_.emplace(row->expires, id);
    return row;
}

void ClaimFold::expireRows()
{
    while (!expiry_.empty() && expiry_.begin()->first < logTime_) {
        const std::string &id = expiry_.begin()->second;
        const ClaimRow *row = rows_.find(id);
        if (row && row->holder && row->holder->outcome)
            bodyBytes_ -= row->holder->outcome->body.size();
        rows_.erase(id);
        expiry_.erase(expiry_.begin());
    }
    while (!bodies_.empty() && !rows_.find(bodies_.front()))
        bodies_.pop_front();
}

void ClaimFold::limitBodies()
{
    while (bodyBytes_ > limits_.maxBodyBytes && !bodies_.empty()) {
        if (ClaimRow *row = rows_.find(bodies_.front()); row && row->holder->outcome) {
            bodyBytes_ -= row->holder->outcome->body.size();
            row->holder->outcome->body.clear();
            row->holder->outcome->truncated = true;
        }
        bodies_.pop_front();
    }
}

ClaimDecision decideAgainstHolder(const ClaimHolder *holder, const std::string &requestSha256,
                                  WallTime logTime)
{
    ClaimDecision decision;
    decision.kind = ClaimDecisionKind::InProgress;
    decision.retryAfter = kMinRetryAfter;
    if (holder && holder->requestSha256 != requestSha256) {
        decision.kind = ClaimDecisionKind::KeyReused;
    } else if (holder && holder->outcome) {
        decision.kind = ClaimDecisionKind::Duplicate;
        decision.outcome = holder->outcome;
    } else if (holder && logTime >= holder->mayRunUntil) {
        decision.kind = ClaimDecisionKind::MayHaveRun;
    } else if (holder) {
        const auto left = std::chrono::duration_cast<Millis>(holder->mayRunUntil - logTime);
        decision.retryAfter = std::clamp(left, kMinRetryAfter, kMaxRetryAfter);
    }
    decision.error = claimError(decision.kind);
    return decision;
}

Error claimError(ClaimDecisionKind kind)
{
    switch (kind) {
    case ClaimDecisionKind::Won:
    case ClaimDecisionKind::Duplicate:
        return {};
    case ClaimDecisionKind::InProgress:
        return {ErrorCode::Conflict, "an earlier attempt with this idempotency key is in progress",
                "retry with the same key after Retry-After"};
    case ClaimDecisionKind::MayHaveRun:
        return {ErrorCode::Unavailable,
                "an earlier attempt with this idempotency key ended without a recorded outcome",
                "check with the service whether the request was executed"};
    case ClaimDecisionKind::KeyReused:
        return {ErrorCode::InvalidArgument,
                "the idempotency key was used for a different request; this request was not sent",
                "use a new key for a new request"};
    case ClaimDecisionKind::KeyInvalid:
        return {ErrorCode::InvalidArgument,
                "the idempotency key is not a UUIDv7 created within the de-duplication window",
                "create the UUIDv7 when the request is made, and check the client's clock"};
    case ClaimDecisionKind::Unavailable:
        break;
    }
    return {ErrorCode::Unavailable, "the claim on the idempotency key could not be recorded",
            "retry with the same key after Retry-After"};
}

} // namespace cicadafork
