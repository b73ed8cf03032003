#pragma once

// The configuration in force, folded from the log and from what peers push.
//
//   LogConfigStore store(log, {});
//   store.readOnce(Millis(1000));                  // reader thread, in a loop
//   store.maintainSnapshots(steadyNow());          // reader thread, after readOnce()
//   store.applyPushed(update);                     // from peers
//
// The state never goes back to a lower offset, whatever arrives late, twice or out of order. Every
// method is thread-safe; no lock is held while the log is called.

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
    Millis snapshotMaxAge{600'000};  ///< Must be well below the retention of the log.
    Millis snapshotRetryDelay{5000}; ///< A lost answer must not cause a burst of snapshots.
    Millis requestTimeout{1000};
    std::size_t pageLimit = 256;
    std::size_t retainedRecords = 512; ///< Records kept for peers that pull.
};

/// Readers of the stream in each failure domain.
inline constexpr std::size_t kReadersPerDomain = 2;

/// Whether a member reads the stream, given the live entry VMs of its failure domain. Two members
/// may disagree for a while: a surplus reader only costs reads.
bool isConfigReader(const std::string &selfId, const std::vector<std::string> &liveInDomain);

class LogConfigStore : public ConfigStore
{
public:
    using Listener = std::function<void(const std::shared_ptr<const Configuration> &)>;

    LogConfigStore(LogClient &log, ConfigStoreOptions options);

    std::shared_ptr<const Configuration> current() const override;
    Result<Verdict> submit(const Command &command, TimePoint deadline) override;

    /// Reads one page, waiting up to wait for the first record, and folds it. The first call, and
    /// one after the log expired the position, starts from the newest snapshot. Returns the offset
    /// up to which records are folded. Fails like LogClient::read(), and with Unavailable when
    /// records expired that no snapshot covers.
    Result<Offset> readOnce(Millis wait);

    /// Appends a snapshot when one is due by offset or by age. Call it on readers only. Returns
    /// whether one was appended; a failed append is tried again after snapshotRetryDelay.
    bool maintainSnapshots(TimePoint now);

    /// Applies what a peer sent; parts that are old or that leave a gap are ignored. Returns
    /// whether the state moved.
    bool applyPushed(const ConfigUpdate &update);

    /// What a peer at this offset lacks: records when they are retained, else a snapshot.
    ConfigUpdate updateSince(Offset offset) const;

    /// All records before this offset are folded; nothing while no configuration is known.
    std::optional<Offset> nextOffset() const;

    /// Waits until all records before the offset are folded; false when the deadline passes.
    bool waitForOffset(Offset offset, TimePoint deadline) const;

    /// Calls the listener after each change, in ascending offset order, outside of the state's
    /// lock. Add listeners before other threads use the store.
    void onChange(Listener listener);

private:
    struct Loaded
    {
        std::optional<Configuration> base;
        std::deque<LogRecord> tail; ///< Contiguous records from the base on.
    };

    Result<Offset> load();
    Result<Loaded> loadPages();
    bool absorb(const std::optional<Configuration> &snapshot, const std::deque<LogRecord> &records,
                bool contiguous);
    void noteRecord(const LogRecord &record);
    void notify();

    LogClient &log_;
    const ConfigStoreOptions options_;

    mutable std::mutex mutex_;
    mutable std::condition_variable changed_;
    std::shared_ptr<const Configuration> current_;
    std::deque<LogRecord> recent_;
    Offset newestSnapshot_ = 0; ///< nextOffset of the newest snapshot seen in the log.
    TimePoint snapshotWritten_; ///< When that snapshot was written, by this process's clock.
    TimePoint snapshotTried_{};
    bool sawUnknownRecord_ = false;

    std::mutex notifyMutex_;
    Offset notified_ = 0;
    bool notifiedOnce_ = false;
    std::vector<Listener> listeners_;
};

} // namespace cicadafork
