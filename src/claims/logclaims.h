#pragma once

// Claims over the platform's log.
//
//   LogClaims claims(log, {.memberId = settings.memberId, .incarnation = incarnation}, forwarder);
//   claims.warmUp(deadline); // before the daemon is ready
//
// The calling threads do the work: the first claim of a shard leads a batch, waits batchDelay for
// others, and appends all of them as one record. Each caller then reads the stream until it holds
// the verdict on its own attempt. One background thread writes outcomes and withdrawals.
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
    std::size_t maxAttempts = 4096; ///< Attempts of this process that have not ended.
    ClaimFoldLimits fold;
    ClaimWriterLimits writer;
};

/// Sends a batch to the owner of a shard and returns the answer of its handleForwardedBatch().
/// Nothing when this process is the owner, or when the owner did not answer in time. Must not
/// throw.
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

    /// Owner's side of the forwarder: appends the batch and returns the verdicts that were known in
    /// time. Blocks for the time that the batch states, at most validity. Never forwards again.
    std::string handleForwardedBatch(const std::string &batch);
    /// Folds the retained records of every shard; false when the deadline passed first.
    bool warmUp(TimePoint deadline);
    /// Waits until all outcomes and withdrawals are in the log.
    bool flush(TimePoint deadline) { return writer_.flush(deadline); }

    std::size_t droppedRecords() const { return writer_.dropped(); }
    std::size_t attempts();
    std::size_t attemptsLimit() const { return settings_.maxAttempts; }
    /// Rows of all shards' folds.
    std::size_t foldedKeys();
    std::size_t foldedKeysLimit() const { return kClaimShards * settings_.fold.maxKeys; }
    bool logAvailable() const { return !breaker_.open(); }

private:
    struct Waiter
    {
        std::string requestSha256;
        int users = 0;     ///< Calls that wait for this attempt; a doubled batch has two.
        bool sent = false; ///< The append or the forwarding of the batch has ended.
        std::optional<ClaimDecision> decision;
    };
    struct Batch
    {
        std::vector<ClaimLogEntry> entries;
        bool led = false; ///< A thread waits to send it.
    };
    struct Shard
    {
        std::mutex mutex;
        std::condition_variable changed;
        ClaimFold fold;
        bool reading = false;
        std::map<std::string, Waiter> waiters; ///< By attempt id.
        Batch own;
        Batch forwarded;
    };

    std::optional<ClaimDecision> decideEarly(std::size_t shard, const ClaimEntry &entry,
                                             TimePoint limit);
    std::optional<ClaimDecision> decideByKnownHolder(std::size_t shard, const ClaimEntry &entry);
    ClaimDecision settle(const std::string &attemptId, const ClaimKey &key,
                         std::optional<ClaimDecision> decision);
    bool insertAttempt(const ClaimEntry &entry, TimePoint started);
    static Millis timeLeft(TimePoint limit);
    void addWaiters(std::size_t shard, const std::vector<ClaimEntry> &entries);
    void removeWaiters(std::size_t shard, const std::vector<ClaimEntry> &entries);
    void submit(std::size_t shard, const std::vector<ClaimEntry> &entries, bool forwarded,
                TimePoint limit);
    void send(std::size_t shard, const std::vector<ClaimLogEntry> &entries, bool forwarded,
              TimePoint limit);
    void forward(std::size_t shard, std::vector<ClaimLogEntry> &entries, TimePoint limit);
    std::optional<ClaimDecision> resolve(std::size_t shard, const std::string &attemptId,
                                         TimePoint limit);
    std::optional<bool> readPage(std::size_t shard, std::unique_lock<std::mutex> &lock, Millis wait,
                                 TimePoint limit);
    bool catchUp(std::size_t shard, TimePoint limit);
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
