#include "claims/logclaims.h"

#include "base/ids.h"
#include "claims/claimwire.h"

#include <algorithm>

namespace cicadafork {

namespace {

/// Limits how long an attempt without an outcome is reported as in progress.
constexpr Millis kMaxRequestTime = std::chrono::hours(24);

ClaimDecision makeDecision(ClaimDecisionKind kind)
{
    ClaimDecision decision;
    decision.kind = kind;
    decision.error = claimError(kind);
    return decision;
}

std::string lowerCase(std::string text)
{
    for (char &character : text) {
        if (character >= 'A' && character <= 'Z')
            character = static_cast<char>(character - 'A' + 'a');
    }
    return text;
}

} // namespace

LogClaims::LogClaims(LogClient &log, LogClaimsSettings settings, ClaimForwarder forwarder)
    : log_(log)
    , settings_(std::move(settings))
    , forwarder_(std::move(forwarder))
    , attempts_(settings_.maxAttempts)
    , writer_(log, breaker_, settings_.writer)
{
    for (Shard &shard : shards_)
        shard.fold = ClaimFold(settings_.fold);
}

ClaimDecision LogClaims::claim(const ClaimRequest &request, TimePoint deadline)
{
    const TimePoint started = steadyNow();
    ClaimEntry entry;
    entry.key = {request.workspace, lowerCase(request.key)};
    entry.created = wallNow();
    if (checkClaimKey(entry.key.key, entry.created, settings_.fold.keys) != KeyCheck::Valid)
        return makeDecision(ClaimDecisionKind::KeyInvalid);
    entry.requestSha256 = request.requestSha256;
    entry.attemptId = newUuidV7(entry.created);
    entry.memberId = settings_.memberId;
    entry.incarnation = settings_.incarnation;
    entry.validity = settings_.validity;
    entry.requestTime = std::min(timeLeft(deadline), kMaxRequestTime);

    const TimePoint claimDeadline = std::min(deadline, started + settings_.validity);
    const std::size_t shard = claimShard(entry.key);
    if (std::optional<ClaimDecision> early = decideWithoutAppend(shard, entry, claimDeadline))
        return *early;
    if (!insertAttempt(entry, started))
        return makeDecision(ClaimDecisionKind::Unavailable);
    addWaiters(shard, {entry});
    submit(shard, {entry}, false, claimDeadline);
    std::optional<ClaimDecision> decision = awaitDecision(shard, entry.attemptId, claimDeadline);
    removeWaiters(shard, {entry});
    ClaimDecision decided = concludeAttempt(entry.attemptId, entry.key, std::move(decision));
    if (decided.kind == ClaimDecisionKind::Unavailable) {
        if (std::optional<ClaimDecision> known = decideFromKnownHolder(shard, entry))
            return *known;
    }
    return decided;
}

/// Decides against the holder that this process has read from the stream, without a call to the
/// log. Empty when no other attempt is known to hold the key.
std::optional<ClaimDecision> LogClaims::decideFromKnownHolder(std::size_t shard,
                                                              const ClaimEntry &entry)
{
    Shard &state = shards_[shard];
    std::lock_guard lock(state.mutex);
    const ClaimHolder *holder = state.fold.holder(entry.key);
    if (!holder || holder->attemptId == entry.attemptId)
        return std::nullopt;
    // Subtracts the allowed skew because the local clock may be ahead of the log's clock.
    const WallTime logTime = std::max(state.fold.logTime(), wallNow() - settings_.fold.keys.skew);
    ClaimDecision decision = decideAgainstHolder(holder, entry.requestSha256, logTime);
    decision.attemptId = entry.attemptId;
    return decision;
}

/// Decides without an append where the records read so far, or an open circuit breaker, allow it.
std::optional<ClaimDecision>
LogClaims::decideWithoutAppend(std::size_t shard, const ClaimEntry &entry, TimePoint deadline)
{
    Shard &state = shards_[shard];
    bool held = false;
    {
        std::lock_guard lock(state.mutex);
        const ClaimHolder *holder = state.fold.holder(entry.key);
        held = holder != nullptr;
        if (held && holder->outcome)
            return decideAgainstHolder(holder, entry.requestSha256, state.fold.logTime());
        if (!held && (breaker_.isOpen() || state.fold.refuses(entry.key)))
            return makeDecision(ClaimDecisionKind::Unavailable);
    }
    if (!held || (!breaker_.isOpen() && !catchUp(shard, deadline)))
        return std::nullopt;
    return decideFromKnownHolder(shard, entry);
}

bool LogClaims::insertAttempt(const ClaimEntry &entry, TimePoint started)
{
    std::lock_guard lock(attemptsMutex_);
    ClaimAttempt *attempt = attempts_.insert(entry.attemptId);
    if (!attempt)
        return false;
    attempt->key = entry.key;
    attempt->started = started;
    attempt->validity = entry.validity;
    return true;
}

ClaimDecision LogClaims::concludeAttempt(const std::string &attemptId, const ClaimKey &key,
                                         std::optional<ClaimDecision> decision)
{
    std::lock_guard lock(attemptsMutex_);
    ClaimAttempt *attempt = attempts_.find(attemptId);
    const bool won = decision && decision->kind == ClaimDecisionKind::Won;
    if (won && attempt && winAttempt(*attempt, steadyNow())) {
        decision->attemptId = attemptId;
        return *decision;
    }
    attempts_.erase(attemptId);
    if (won || !decision) {
        // The claim may still reach the log; the withdrawal makes it void in either order.
        writer_.enqueue(WithdrawnEntry{key, attemptId});
        decision = makeDecision(ClaimDecisionKind::Unavailable);
    }
    decision->attemptId = attemptId;
    return *decision;
}

bool LogClaims::beginDispatch(const std::string &attemptId, TimePoint now)
{
    std::lock_guard lock(attemptsMutex_);
    ClaimAttempt *attempt = attempts_.find(attemptId);
    if (!attempt)
        return false;
    if (dispatchAttempt(*attempt, now))
        return true;
    if (withdrawAttempt(*attempt)) {
        writer_.enqueue(WithdrawnEntry{attempt->key, attemptId});
        attempts_.erase(attemptId);
    }
    return false;
}

void LogClaims::complete(const std::string &attemptId, const StoredOutcome &outcome)
{
    std::lock_guard lock(attemptsMutex_);
    ClaimAttempt *attempt = attempts_.find(attemptId);
    if (!attempt || !finishAttempt(*attempt))
        return;
    DoneEntry entry{attempt->key, attemptId, outcome};
    if (entry.outcome.body.size() > kMaxStoredBodyBytes) {
        entry.outcome.body.clear();
        entry.outcome.truncated = true;
    }
    attempts_.erase(attemptId);
    writer_.enqueue(std::move(entry));
}

void LogClaims::withdraw(const std::string &attemptId)
{
    std::lock_guard lock(attemptsMutex_);
    ClaimAttempt *attempt = attempts_.find(attemptId);
    if (!attempt || !withdrawAttempt(*attempt))
        return;
    writer_.enqueue(WithdrawnEntry{attempt->key, attemptId});
    attempts_.erase(attemptId);
}

std::string LogClaims::handleForwardedBatch(const std::string &text)
{
    const std::optional<ForwardedBatch> batch = decodeForwardedBatch(text);
    if (!batch)
        return encodeForwardedVerdicts({});
    const TimePoint deadline = steadyNow() + std::min(batch->time, settings_.validity);
    addWaiters(batch->shard, batch->entries);
    submit(batch->shard, batch->entries, true, deadline);
    ForwardedVerdicts verdicts;
    for (const ClaimEntry &entry : batch->entries) {
        if (auto decision = awaitDecision(batch->shard, entry.attemptId, deadline))
            verdicts[entry.attemptId] = std::move(*decision);
    }
    removeWaiters(batch->shard, batch->entries);
    return encodeForwardedVerdicts(verdicts);
}

bool LogClaims::warmUp(TimePoint deadline)
{
    for (std::size_t shard = 0; shard < kClaimShards; ++shard) {
        if (!catchUp(shard, deadline))
            return false;
    }
    return true;
}

std::size_t LogClaims::attempts()
{
    const std::lock_guard lock(attemptsMutex_);
    return attempts_.size();
}

std::size_t LogClaims::claimedKeys()
{
    std::size_t keys = 0;
    for (Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex);
        keys += shard.fold.size();
    }
    return keys;
}

} // namespace cicadafork
