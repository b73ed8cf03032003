#include "claims/logclaims.h"

#include "base/ids.h"
#include "claims/claimwire.h"

#include <algorithm>

namespace cicadafork {

namespace {

/// Bounds the time that an earlier attempt counts as in progress.
constexpr Millis kMaxRequestTime = std::chrono::hours(24);

ClaimDecision decisionOf(ClaimDecisionKind kind)
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
        return decisionOf(ClaimDecisionKind::KeyInvalid);
    entry.requestSha256 = request.requestSha256;
    entry.attemptId = newUuidV7(entry.created);
    entry.memberId = settings_.memberId;
    entry.incarnation = settings_.incarnation;
    entry.validity = settings_.validity;
    entry.requestTime = std::min(timeLeft(deadline), kMaxRequestTime);

    const TimePoint limit = std::min(deadline, started + settings_.validity);
    const std::size_t shard = claimShard(entry.key);
    if (std::optional<ClaimDecision> early = decideEarly(shard, entry, limit))
        return *early;
    if (!insertAttempt(entry, started))
        return decisionOf(ClaimDecisionKind::Unavailable);
    addWaiters(shard, {entry});
    submit(shard, {entry}, false, limit);
    std::optional<ClaimDecision> decision = resolve(shard, entry.attemptId, limit);
    removeWaiters(shard, {entry});
    ClaimDecision settled = settle(entry.attemptId, entry.key, std::move(decision));
    if (settled.kind == ClaimDecisionKind::Unavailable) {
        if (std::optional<ClaimDecision> known = decideByKnownHolder(shard, entry))
            return *known;
    }
    return settled;
}

/// The decision against the holder that was read before the log stopped answering.
std::optional<ClaimDecision> LogClaims::decideByKnownHolder(std::size_t shard,
                                                            const ClaimEntry &entry)
{
    Shard &state = shards_[shard];
    std::lock_guard lock(state.mutex);
    const ClaimHolder *holder = state.fold.holder(entry.key);
    if (!holder || holder->attemptId == entry.attemptId)
        return std::nullopt;
    // The local clock may be ahead of the log's clock by the allowed skew.
    const WallTime logTime = std::max(state.fold.logTime(), wallNow() - settings_.fold.keys.skew);
    ClaimDecision decision = decideAgainstHolder(holder, entry.requestSha256, logTime);
    decision.attemptId = entry.attemptId;
    return decision;
}

/// Decides without an append where the stream already shows the answer.
std::optional<ClaimDecision> LogClaims::decideEarly(std::size_t shard, const ClaimEntry &entry,
                                                    TimePoint limit)
{
    Shard &state = shards_[shard];
    bool held = false;
    {
        std::lock_guard lock(state.mutex);
        const ClaimHolder *holder = state.fold.holder(entry.key);
        held = holder != nullptr;
        if (held && holder->outcome)
            return decideAgainstHolder(holder, entry.requestSha256, state.fold.logTime());
        if (!held && (breaker_.open() || state.fold.refuses(entry.key)))
            return decisionOf(ClaimDecisionKind::Unavailable);
    }
    if (!held || (!breaker_.open() && !catchUp(shard, limit)))
        return std::nullopt;
    return decideByKnownHolder(shard, entry);
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

ClaimDecision LogClaims::settle(const std::string &attemptId, const ClaimKey &key,
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
        // The claim may still enter the log; the withdrawal makes it void in either order.
        writer_.enqueue(WithdrawnEntry{key, attemptId});
        decision = decisionOf(ClaimDecisionKind::Unavailable);
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
    const TimePoint limit = steadyNow() + std::min(batch->time, settings_.validity);
    addWaiters(batch->shard, batch->entries);
    submit(batch->shard, batch->entries, true, limit);
    ForwardedVerdicts verdicts;
    for (const ClaimEntry &entry : batch->entries) {
        if (auto decision = resolve(batch->shard, entry.attemptId, limit))
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

std::size_t LogClaims::foldedKeys()
{
    std::size_t keys = 0;
    for (Shard &shard : shards_) {
        const std::lock_guard lock(shard.mutex);
        keys += shard.fold.size();
    }
    return keys;
}

} // namespace cicadafork
