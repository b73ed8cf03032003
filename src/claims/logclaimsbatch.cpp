#include "claims/claimwire.h"
#include "claims/logclaims.h"

// The part of LogClaims that claim() and handleForwardedBatch() share: batching, reading the stream
// and passing verdicts to the waiting calls.

#include <algorithm>

namespace cicadafork {

namespace {

constexpr std::size_t kPageRecords = 1000;
/// Longest time that one read waits for new records. A shorter wait only causes more reads.
constexpr Millis kReadWait{50};
constexpr Millis kReadRetryDelay{20};

} // namespace

Millis LogClaims::timeLeft(TimePoint deadline)
{
    return std::max(Millis(0), std::chrono::duration_cast<Millis>(deadline - steadyNow()));
}

void LogClaims::addWaiters(std::size_t shard, const std::vector<ClaimEntry> &entries)
{
    Shard &state = shards_[shard];
    std::lock_guard lock(state.mutex);
    for (const ClaimEntry &entry : entries) {
        Waiter &waiter = state.waiters[entry.attemptId];
        waiter.requestSha256 = entry.requestSha256;
        ++waiter.waitingCalls;
    }
}

void LogClaims::removeWaiters(std::size_t shard, const std::vector<ClaimEntry> &entries)
{
    Shard &state = shards_[shard];
    std::lock_guard lock(state.mutex);
    for (const ClaimEntry &entry : entries) {
        const auto waiter = state.waiters.find(entry.attemptId);
        if (waiter != state.waiters.end() && --waiter->second.waitingCalls == 0)
            state.waiters.erase(waiter);
    }
}

/// Adds entries to the shard's batch. The first caller waits for further claims and then sends the
/// batch, before its own deadline; the other callers return at once.
void LogClaims::submit(std::size_t shard, const std::vector<ClaimEntry> &entries, bool forwarded,
                       TimePoint deadline)
{
    Shard &state = shards_[shard];
    Batch &batch = forwarded ? state.forwardedBatch : state.ownBatch;
    std::unique_lock lock(state.mutex);
    batch.entries.insert(batch.entries.end(), entries.begin(), entries.end());
    if (batch.hasLeader)
        return;
    batch.hasLeader = true;
    lock.unlock();
    std::this_thread::sleep_until(std::min(deadline, steadyNow() + settings_.batchDelay));
    lock.lock();
    const std::vector<ClaimLogEntry> taken = std::exchange(batch.entries, {});
    batch.hasLeader = false;
    lock.unlock();
    send(shard, taken, forwarded, deadline);
    lock.lock();
    for (const ClaimLogEntry &entry : taken) {
        const auto waiter = state.waiters.find(std::get<ClaimEntry>(entry).attemptId);
        if (waiter != state.waiters.end())
            waiter->second.sent = true;
    }
    lock.unlock();
    state.changed.notify_all();
}

void LogClaims::send(std::size_t shard, const std::vector<ClaimLogEntry> &entries, bool forwarded,
                     TimePoint deadline)
{
    std::vector<ClaimLogEntry> undecided = entries;
    if (!forwarded && forwarder_)
        forward(shard, undecided, deadline);
    const Millis timeout = std::min(settings_.logTimeout, timeLeft(deadline));
    if (undecided.empty() || timeout == Millis(0))
        return;
    const auto offset = capture(
            [&] { return log_.append(claimStream(shard), encodeClaimBatch(undecided), timeout); });
    offset ? breaker_.recordSuccess() : breaker_.recordFailure();
}

/// Sends the batch to the owner of the shard and removes the entries that are decided afterwards.
/// The owner may have appended the others as well; appending them again with the same attempt id
/// has no effect.
void LogClaims::forward(std::size_t shard, std::vector<ClaimLogEntry> &entries, TimePoint deadline)
{
    // Reserves half of the remaining time for the direct append.
    const Millis timeout = std::min(settings_.forwardTimeout, timeLeft(deadline) / 2);
    ForwardedBatch batch{shard, timeout, {}};
    for (const ClaimLogEntry &entry : entries)
        batch.entries.push_back(std::get<ClaimEntry>(entry));
    const std::optional<std::string> reply
            = forwarder_(shard, encodeForwardedBatch(batch), timeout);
    Shard &state = shards_[shard];
    if (reply) {
        std::lock_guard lock(state.mutex);
        for (auto &[attemptId, decision] : decodeForwardedVerdicts(*reply)) {
            const auto waiter = state.waiters.find(attemptId);
            if (waiter != state.waiters.end() && !waiter->second.decision)
                waiter->second.decision = decision;
        }
    } else {
        catchUp(shard, std::min(deadline, steadyNow() + timeout));
    }
    std::lock_guard lock(state.mutex);
    std::erase_if(entries, [&](const ClaimLogEntry &entry) {
        const auto waiter = state.waiters.find(std::get<ClaimEntry>(entry).attemptId);
        return waiter == state.waiters.end() || waiter->second.decision;
    });
}

/// Reads the stream until the attempt is decided; empty when the deadline passes or the circuit
/// breaker opens first.
std::optional<ClaimDecision>
LogClaims::awaitDecision(std::size_t shard, const std::string &attemptId, TimePoint deadline)
{
    Shard &state = shards_[shard];
    std::unique_lock lock(state.mutex);
    while (true) {
        const Waiter &waiter = state.waiters.at(attemptId);
        if (waiter.decision)
            return waiter.decision;
        if (steadyNow() >= deadline)
            return std::nullopt;
        if (!waiter.sent || state.reading)
            state.changed.wait_until(lock, deadline);
        else if (!readPage(shard, lock, kReadWait, deadline)) {
            // During an outage the caller is refused at once and its claim is withdrawn.
            if (breaker_.isOpen())
                return std::nullopt;
            state.changed.wait_until(lock, std::min(deadline, steadyNow() + kReadRetryDelay));
        }
    }
}

/// Reads and applies one page; the lock is released during the read. True when the page moved the
/// position in the stream, false at the end of the stream, empty when the read failed.
std::optional<bool> LogClaims::readPage(std::size_t shard, std::unique_lock<std::mutex> &lock,
                                        Millis wait, TimePoint deadline)
{
    Shard &state = shards_[shard];
    const Offset from = state.fold.next();
    const Millis left = timeLeft(deadline);
    const Millis pageWait = std::min(wait, left / 2);
    const Millis timeout = std::clamp(left - pageWait, Millis(1), settings_.logTimeout);
    state.reading = true;
    lock.unlock();
    const auto page = capture(
            [&] { return log_.read(claimStream(shard), from, kPageRecords, pageWait, timeout); });
    page ? breaker_.recordSuccess() : breaker_.recordFailure();
    lock.lock();
    state.reading = false;
    std::optional<bool> outcome;
    if (page) {
        applyPage(state, *page);
        outcome = page->expired || !page->records.empty();
    }
    state.changed.notify_all();
    return outcome;
}

/// Reads and applies the stream up to its end; false when the deadline passes first.
bool LogClaims::catchUp(std::size_t shard, TimePoint deadline)
{
    Shard &state = shards_[shard];
    std::unique_lock lock(state.mutex);
    while (steadyNow() < deadline) {
        if (state.reading) {
            state.changed.wait_until(lock, deadline);
            continue;
        }
        const std::optional<bool> more = readPage(shard, lock, Millis(0), deadline);
        if (more && !*more)
            return true;
        if (!more)
            state.changed.wait_until(lock, std::min(deadline, steadyNow() + kReadRetryDelay));
    }
    return false;
}

void LogClaims::applyPage(Shard &shard, const LogPage &page)
{
    if (page.expired)
        shard.fold.skipTo(page.first);
    else if (page.records.empty())
        shard.fold.markAllExpired(wallNow() - settings_.logRetention);
    for (const LogRecord &record : page.records) {
        for (const ClaimVerdict &verdict : shard.fold.apply(record))
            deliver(shard, verdict);
    }
}

/// Converts a verdict to the decision for the call that waits for it. Later verdicts on the same
/// attempt are ignored.
void LogClaims::deliver(Shard &shard, const ClaimVerdict &verdict)
{
    const auto found = shard.waiters.find(verdict.attemptId);
    if (found == shard.waiters.end() || found->second.decision)
        return;
    Waiter &waiter = found->second;
    ClaimDecision decision;
    switch (verdict.kind) {
    case ClaimVerdictKind::Won:
        decision.kind = ClaimDecisionKind::Won;
        decision.fencingNumber = verdict.offset;
        break;
    case ClaimVerdictKind::Lost:
    case ClaimVerdictKind::KeyReused:
        decision = decideAgainstHolder(shard.fold.holder(verdict.key), waiter.requestSha256,
                                       shard.fold.logTime());
        break;
    case ClaimVerdictKind::KeyInvalid:
        decision.kind = ClaimDecisionKind::KeyInvalid;
        decision.error = claimError(decision.kind);
        break;
    case ClaimVerdictKind::Void:
    case ClaimVerdictKind::Refused:
        decision.error = claimError(decision.kind);
        break;
    }
    decision.attemptId = verdict.attemptId;
    waiter.decision = std::move(decision);
}

} // namespace cicadafork
