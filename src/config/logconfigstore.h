#pragma once

// ConfigStore that applies the records read from the log and the updates received from peers.
//
//   LogConfigStore store(log, {});
//   store.readOnce(Millis(1000));                  // reader thread, in a loop
//   store.maintainSnapshots(steadyNow());          // reader thread, after readOnce()
//   store.applyPushed(update);                     // from peers
//
// The state never returns to a lower offset when updates arrive late, repeatedly or out of order.
// Every method is thread-safe. No lock is held during calls to the log.

#include "config/codec.h"
#include "config/configstore.h"
#include "logservice/logclient.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>

namespace cicadafork {

struct ConfigStoreOptions
{
    std::string stream = "config";
    Offset snapshotInterval = 200;   ///< Records between snapshots.
    Millis snapshotMaxAge{600'000};  ///< Must be much shorter than the log retention.
    Millis snapshotRetryDelay{5000}; ///< Prevents a burst of snapshots when replies are lost.
    Millis requestTimeout{1000};
    std::size_t pageLimit = 256;
    std::size_t retainedRecords = 512; ///< Latest records, kept for peers that pull.
};

/// Number of members in each failure domain that read the stream from the log.
inline constexpr std::size_t kReadersPerDomain = 2;

/// Whether a member reads the stream, given the live entry VMs of its failure domain. Members may
/// temporarily disagree about the live ones; a surplus reader only costs additional reads.
bool isConfigReader(const std::string &selfId, const std::vector<std::string> &liveInDomain);

class LogConfigStore : public ConfigStore
{
public:
    using Listener = std::function<void(const std::shared_ptr<const Configuration> &)>;

    LogConfigStore(LogClient &log, ConfigStoreOptions options);

    std::shared_ptr<const Configuration> current() const override;
    Result<Verdict> submit(const Command &command, TimePoint deadline) override;

    /// Reads one page, waiting up to wait for the first record, and applies it. The first call, and
    /// a call after the record at nextOffset() expired, loads the newest snapshot and all following
    /// records. Returns nextOffset(). Fails like LogClient::read(), and with Unavailable when
    /// expired records are not covered by a snapshot.
    Result<Offset> readOnce(Millis wait);

    /// Appends a snapshot when one is due by offset or by age. Call it on readers only. Returns
    /// whether one was appended. A failed append is retried after snapshotRetryDelay.
    bool maintainSnapshots(TimePoint now);

    /// Applies an update from a peer. Old records and records after a gap are ignored. Returns
    /// whether nextOffset() advanced.
    bool applyPushed(const ConfigUpdate &update);

    /// Update for a peer at this offset: the following records if they are retained, or else a
    /// snapshot. Empty when the peer is up to date.
    ConfigUpdate updateSince(Offset offset) const;

    /// All records before this offset are applied. Nothing while no configuration is known.
    std::optional<Offset> nextOffset() const;

    /// Waits until all records before the offset are applied. False when the deadline passes.
    bool waitForOffset(Offset offset, TimePoint deadline) const;

    /// Calls the listener after each change, in ascending offset order, without holding the lock of
    /// the state. Add listeners before other threads use the store.
    void onChange(Listener listener);

private:
    struct LoadedState
    {
        std::optional<Configuration> snapshot;
        std::deque<LogRecord> records; ///< Contiguous, following the snapshot.
    };

    Result<Offset> load();
    Result<LoadedState> loadPages();
    bool applyUpdate(const std::optional<Configuration> &snapshot,
                     const std::deque<LogRecord> &records, bool requireContiguous);
    void trackRecord(const LogRecord &record);
    void notify();

    LogClient &log_;
    const ConfigStoreOptions options_;

    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::shared_ptr<const Configuration> current_;
    std::deque<LogRecord> recentRecords_;
    Offset newestSnapshotOffset_ = 0; ///< nextOffset of the newest snapshot in the log.
    TimePoint newestSnapshotTime_;    ///< When it was written, on the steady clock.
    TimePoint lastSnapshotAttempt_{};
    bool unknownRecordSeen_ = false;

    std::mutex notifyMutex_;
    Offset notifiedOffset_ = 0;
    bool notifiedOnce_ = false;
    std::vector<Listener> listeners_;
};

} // namespace cicadafork
