#pragma once

// Implements Claims on the platform's log.
//
//   LogClaims claims(log, {.memberId = settings.memberId, .incarnation = incarnation}, forwarder);
//   claims.warmUp(deadline); // before the daemon is ready
//
// Claims are appended in batches by the calling threads: the first caller of a shard becomes the
// leader of a batch, waits batchDelay for further claims, and appends all of them as one record.
// Each caller then reads the stream until it has the verdict on its own attempt. One background
// thread appends outcomes and withdrawals.
// Thread-safe. No lock is held during I/O.

#include "claims/claimfold.h"
#include "claims/claimwriter.h"

#include <array>
#include <functional>
#include <map>

namespace cicadafork {

struct LogClaimsSettings
{
    std::string memberId;
    std::string incarnation;
    Millis validity{5000};
    Millis batchDelay{20};
    Millis logTimeout{1000};
    Millis forwardTimeout{300};
    Millis logRetention{3'600'000}; ///< The log keeps records at least this long.
    std::size_t maxAttempts = 4096; ///< Concurrent attempts of this process.
    ClaimFoldLimits fold;
    ClaimWriterLimits writer;
};

/// Sends a batch to the owner of a shard and returns the reply of its handleForwardedBatch(). Empty
/// when this process is the owner, or when the owner did not reply in time. Must not throw.
using ClaimForwarder = std::function<std::optional<std::string>(
        std::size_t shard, const std::string &batch, Millis timeout)>;

class LogClaims : public Claims
{
public:
    LogClaims(LogClient &log, LogClaimsSettings settings, ClaimForwarder forwarder = {});

    ClaimDecision claim(const ClaimRequest &request, TimePoint deadline) override;
    bool beginDispatch(const std::string &attemptId, TimePoint now) override;
    void complete(const std::string &attemptId, const StoredOutcome &outcome) override;
    void withdraw(const std::string &attemptId) override;

    /// Called on the owner of a shard with a batch from another daemon's forwarder: appends the
    /// batch and returns the decisions that were reached in time. Blocks up to the time given in
    /// the batch, at most validity. Never forwards the batch again.
    std::string handleForwardedBatch(const std::string &batch);
    /// Reads the retained records of every shard; false when the deadline passes first.
    bool warmUp(TimePoint deadline);
    /// Waits until all outcomes and withdrawals are in the log; false when the deadline passes
    /// first.
    bool flush(TimePoint deadline) { return writer_.flush(deadline); }

    std::size_t droppedRecords() const { return writer_.dropped(); }
    /// Attempts of this process that have not ended.
    std::size_t attempts();
    std::size_t attemptsLimit() const { return settings_.maxAttempts; }
    /// Keys known in all shards.
    std::size_t claimedKeys();
    std::size_t claimedKeysLimit() const { return kClaimShards * settings_.fold.maxKeys; }
    bool logAvailable() const { return !breaker_.isOpen(); }

private:
    struct Waiter
    {
        std::string requestSha256;
        /// Calls that wait for this attempt; more than one when a forwarded batch arrives twice.
        int waitingCalls = 0;
        bool sent = false; ///< The append or the forwarding of the batch has ended.
        std::optional<ClaimDecision> decision;
    };
    struct Batch
    {
        std::vector<ClaimLogEntry> entries;
        bool hasLeader = false; ///< A thread is waiting to send the batch.
    };
    struct Shard
    {
        std::mutex mutex;
        std::condition_variable changed;
        ClaimFold fold;
        bool reading = false;
        std::map<std::string, Waiter> waiters; ///< By attempt id.
        Batch ownBatch;
        Batch forwardedBatch;
    };

    std::optional<ClaimDecision> decideWithoutAppend(std::size_t shard, const ClaimEntry &entry,
                                                     TimePoint deadline);
    std::optional<ClaimDecision> decideFromKnownHolder(std::size_t shard, const ClaimEntry &entry);
    ClaimDecision concludeAttempt(const std::string &attemptId, const ClaimKey &key,
                                  std::optional<ClaimDecision> decision);
    bool insertAttempt(const ClaimEntry &entry, TimePoint started);
    static Millis timeLeft(TimePoint deadline);
    void addWaiters(std::size_t shard, const std::vector<ClaimEntry> &entries);
    void removeWaiters(std::size_t shard, const std::vector<ClaimEntry> &entries);
    void submit(std::size_t shard, const std::vector<ClaimEntry> &entries, bool forwarded,
                TimePoint deadline);
    void send(std::size_t shard, const std::vector<ClaimLogEntry> &entries, bool forwarded,
              TimePoint deadline);
    void forward(std::size_t shard, std::vector<ClaimLogEntry> &entries, TimePoint deadline);
    std::optional<ClaimDecision> awaitDecision(std::size_t shard, const std::string &attemptId,
                                               TimePoint deadline);
    std::optional<bool> readPage(std::size_t shard, std::unique_lock<std::mutex> &lock, Millis wait,
                                 TimePoint deadline);
    bool catchUp(std::size_t shard, TimePoint deadline);
    void applyPage(Shard &shard, const LogPage &page);
    void deliver(Shard &shard, const ClaimVerdict &verdict);

    LogClient &log_;
    LogClaimsSettings settings_;
    ClaimForwarder forwarder_;
    CircuitBreaker breaker_;
    std::array<Shard, kClaimShards> shards_;
    std::mutex attemptsMutex_;
    Table<std::string, ClaimAttempt> attempts_;
    ClaimWriter writer_;
};

} // namespace cicadafork
