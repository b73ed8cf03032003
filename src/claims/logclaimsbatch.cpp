#include "claims/claimwire.h"
#include "claims/logclaims.h"

// The shared part of claim() and handleForwardedBatch(): batches, reads and the delivery of
// verdicts.

#include <algorithm>

namespace cicadafork {

namespace {

constexpr std::size_t kPageRecords = 1000;
/// Longest wait of one read for a record; a shorter wait only costs more reads.
constexpr Millis kReadWait{50};
constexpr Millis kReadRetryDelay{20};

} // namespace

Millis LogClaims::timeLeft(TimePoint limit)
{
    return std::max(Millis(0), std::chrono::duration_cast<Millis>(limit - steadyNow()));
}

void LogClaims::addWaiters(std::size_t shard, const std::vector<ClaimEntry> &entries)
{
    Shard &state = shards_[shard];
    std::lock_guard lock(state.mutex);
    for (const ClaimEntry &entry : entries) {
        Waiter &waiter = state.waiters[entry.attemptId];
        waiter.requestSha256 = entry.requestSha256;
        ++waiter.users;
    }
}

void LogClaims::removeWaiters(std::size_t shard, const std::vector<ClaimEntry> &entries)
{
    Shard &state = shards_[shard];
    std::lock_guard lock(state.mutex);
    for (const ClaimEntry &entry : entries) {
        const auto waiter = state.waiters.find(entry.attemptId);
        if (waiter != state.waiters.end() && --waiter->second.users == 0)
            state.waiters.erase(waiter);
    }
}

/// Adds entries to the shard's batch. The first caller waits for others and sends the batch, within
/// its own limit; the others return at once.
void LogClaims::submit(std::size_t shard, const std::vector<ClaimEntry> &entries, bool forwarded,
                       TimePoint limit)
{
    Shard &state = shards_[shard];
    Batch &batch = forwarded ? state.forwarded : state.own;
    std::unique_lock lock(state.mutex);
    batch.entries.insert(batch.entries.end(), entries.begin(), entries.end());
    if (batch.led)
        return;
    batch.led = true;
    lock.unlock();
    std::this_thread::sleep_until(std::min(limit, steadyNow() + settings_.batchDelay));
    lock.lock();
    const std::vector<ClaimLogEntry> taken = std::exchange(batch.entries, {});
    batch.led = false;
    lock.unlock();
    send(shard, taken, forwarded, limit);
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
                     TimePoint limit)
{
    std::vector<ClaimLogEntry> left = entries;
    if (!forwarded && forwarder_)
        forward(shard, left, limit);
    const Millis timeout = std::min(settings_.logTimeout, timeLeft(limit));
    if (left.empty() || timeout == Millis(0))
        return;
    const auto offset = capture(
            [&] { return log_.append(claimStream(shard), encodeClaimBatch(left), timeout); });
    offset ? breaker_.succeeded() : breaker_.failed();
}

/// Sends the batch to the owner and removes the entries that have a verdict afterwards. The owner
/// may have appended the others too; appending them again under the same attempt id changes
/// nothing.
void LogClaims::forward(std::size_t shard, std::vector<ClaimLogEntry> &entries, TimePoint limit)
{
    // Half of the time is kept for the direct append.
    const Millis timeout = std::min(settings_.forwardTimeout, timeLeft(limit) / 2);
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
        catchUp(shard, std::min(limit, steadyNow() + timeout));
    }
    std::lock_guard lock(state.mutex);
    std::erase_if(entries, [&](const ClaimLogEntry &entry) {
        const auto waiter = state.waiters.find(std::get<ClaimEntry>(entry).attemptId);
        return waiter == state.waiters.end() || waiter->second.decision;
    });
}

/// Reads the stream until it holds the verdict on the attempt; nothing when the limit passed or the
/// circuit breaker opened first.
std::optional<ClaimDecision> LogClaims::resolve(std::size_t shard, const std::string &attemptId,
                                                TimePoint limit)
{
    Shard &state = shards_[shard];
    std::unique_lock lock(state.mutex);
    while (true) {
        const Waiter &waiter = state.waiters.at(attemptId);
        if (waiter.decision)
            return waiter.decision;
        if (steadyNow() >= limit)
            return std::nullopt;
        if (!waiter.sent || state.reading)
            state.changed.wait_until(lock, limit);
        else if (!readPage(shard, lock, kReadWait, limit)) {
            // During an outage the caller is refused at once; its claim is withdrawn.
            if (breaker_.open())
                return std::nullopt;
            state.changed.wait_until(lock, std::min(limit, steadyNow() + kReadRetryDelay));
        }
    }
}

/// Reads and folds one page; the lock is released during the read. True when the page held records,
/// nothing when the read failed.
std::optional<bool> LogClaims::readPage(std::size_t shard, std::unique_lock<std::mutex> &lock,
                                        Millis wait, TimePoint limit)
{
    Shard &state = shards_[shard];
    const Offset from = state.fold.next();
    const Millis left = timeLeft(limit);
    const Millis pageWait = std::min(wait, left / 2);
    const Millis timeout = std::clamp(left - pageWait, Millis(1), settings_.logTimeout);
    state.reading = true;
    lock.unlock();
    const auto page = capture(
            [&] { return log_.read(claimStream(shard), from, kPageRecords, pageWait, timeout); });
    page ? breaker_.succeeded() : breaker_.failed();
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

/// Folds the stream up to its end.
bool LogClaims::catchUp(std::size_t shard, TimePoint limit)
{
    Shard &state = shards_[shard];
    std::unique_lock lock(state.mutex);
    while (steadyNow() < limit) {
        if (state.reading) {
            state.changed.wait_until(lock, limit);
            continue;
        }
        const std::optional<bool> more = readPage(shard, lock, Millis(0), limit);
        if (more && !*more)
            return true;
        if (!more)
            state.changed.wait_until(lock, std::min(limit, steadyNow() + kReadRetryDelay));
    }
    return false;
}

void LogClaims::applyPage(Shard &shard, const LogPage &page)
{
    if (page.expired)
        shard.fold.skipTo(page.first);
    else if (page.records.empty())
        shard.fold.noteNothingRetained(wallNow() - settings_.logRetention);
    for (const LogRecord &record : page.records) {
        for (const ClaimVerdict &verdict : shard.fold.apply(record))
            deliver(shard, verdict);
    }
}

/// Turns a verdict into the decision for the call that waits for it. The first verdict stands.
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
