#include "config/logconfigstore.h"

#include "base/hash.h"
#include "base/log.h"
#include "config/fold.h"

#include <algorithm>
#include <thread>

namespace cicadafork {

namespace {

/// Maximum wait of one read while submit() waits for its record.
constexpr Millis kReadBackWait{200};
/// Delay after a failed read, so that an outage does not cause a busy loop.
constexpr Millis kReadRetryDelay{20};
/// Maximum number of pages read by one load. With 256 records per page, far more than the log
/// retains.
constexpr int kMaxLoadPages = 100'000;

Millis remaining(TimePoint deadline)
{
    return std::max(Millis(0), std::chrono::duration_cast<Millis>(deadline - steadyNow()));
}

bool isSnapshot(const LogRecord &record)
{
    return record.data.is_object() && record.data.contains("type")
           && record.data["type"] == "snapshot" && record.data.contains("next_offset")
           && record.data["next_offset"].is_number_unsigned();
}

bool isKnownType(const LogRecord &record)
{
    return record.data.is_object() && record.data.contains("type")
           && (record.data["type"] == "snapshot" || record.data["type"] == "command");
}

} // namespace

bool isConfigReader(const std::string &selfId, const std::vector<std::string> &liveInDomain)
{
    const auto order = rendezvousOrder("config-reader", liveInDomain);
    const auto end = order.begin() + std::min(order.size(), kReadersPerDomain);
    return std::find(order.begin(), end, selfId) != end;
}

LogConfigStore::LogConfigStore(LogClient &log, ConfigStoreOptions options)
    : log_(log)
    , options_(std::move(options))
    , newestSnapshotTime_(steadyNow())
{
}

std::shared_ptr<const Configuration> LogConfigStore::current() const
{
    const std::lock_guard lock(mutex_);
    return current_;
}

std::optional<Offset> LogConfigStore::nextOffset() const
{
    const std::lock_guard lock(mutex_);
    return current_ ? std::optional(current_->nextOffset) : std::nullopt;
}

bool LogConfigStore::waitForOffset(Offset offset, TimePoint deadline) const
{
    std::unique_lock lock(mutex_);
    return changed_.wait_until(lock, deadline,
                               [&] { return current_ && current_->nextOffset >= offset; });
}

void LogConfigStore::onChange(Listener listener)
{
    listeners_.push_back(std::move(listener));
}

Result<Verdict> LogConfigStore::submit(const Command &command, TimePoint deadline)
{
    const Millis readTimeout = std::min(options_.requestTimeout, remaining(deadline));
    // A read before the append distinguishes an outage, in which the command is certainly not
    // appended, from a lost reply, after which it may have been appended.
    const auto reachable
            = capture([&] { return log_.read(options_.stream, 0, 1, Millis(0), readTimeout); });
    if (!reachable || remaining(deadline) == Millis(0)) {
        return fail(ErrorCode::Unavailable,
                    "the log service did not answer; the command was not sent",
                    "retry when the log service of the platform is reachable");
    }
    const auto appended = capture([&] {
        return log_.append(options_.stream, encodeCommand(command),
                           std::min(options_.requestTimeout, remaining(deadline)));
    });
    while (true) {
        if (const auto configuration = current()) {
            if (const auto verdict = findVerdict(*configuration, command.commandId))
                return *verdict;
        }
        const Millis left = remaining(deadline);
        if (left == Millis(0))
            break;
        const auto read = capture([&] { return readOnce(std::min(left, kReadBackWait)); });
        if (!read)
            std::this_thread::sleep_for(std::min(left, kReadRetryDelay));
    }
    return fail(ErrorCode::DeadlineExceeded,
                appended ? "the command was appended but not read back in time"
                         : "the log service did not confirm the command in time; it may still be "
                           "accepted",
                "look for the command in the history before sending it again");
}

Result<Offset> LogConfigStore::readOnce(Millis wait)
{
    const std::optional<Offset> from = nextOffset();
    if (!from)
        return load();
    BOOST_LEAF_AUTO(page, log_.read(options_.stream, *from, options_.pageLimit, wait,
                                    options_.requestTimeout));
    if (page.expired)
        return load();
    applyUpdate(std::nullopt, {page.records.begin(), page.records.end()}, false);
    return nextOffset().value();
}

Result<LogConfigStore::LoadedState> LogConfigStore::loadPages()
{
    LoadedState loaded;
    Offset firstOffset = 0; // The records start here or at the end of the snapshot.
    Offset from = 0;
    for (int pages = 0; pages < kMaxLoadPages; ++pages) {
        BOOST_LEAF_AUTO(page, log_.read(options_.stream, from, options_.pageLimit, Millis(0),
                                        options_.requestTimeout));
        if (page.expired) {
            if (page.first <= from)
                break;
            loaded = {};
            firstOffset = from = page.first;
            continue;
        }
        for (const LogRecord &record : page.records) {
            loaded.records.push_back(record);
            const Offset minOffset = loaded.snapshot ? loaded.snapshot->nextOffset : firstOffset;
            if (!isSnapshot(record) || record.data["next_offset"].get<Offset>() < minOffset)
                continue;
            auto snapshot = decodeSnapshot(record.data);
            if (!snapshot || snapshot->nextOffset > record.offset)
                continue;
            loaded.snapshot = std::move(snapshot);
            while (!loaded.records.empty()
                   && loaded.records.front().offset < loaded.snapshot->nextOffset)
                loaded.records.pop_front();
        }
        if (page.records.empty() || page.next <= from)
            break;
        from = page.next;
    }
    if (!loaded.snapshot && firstOffset == 0)
        loaded.snapshot = Configuration{};
    return loaded;
}

Result<Offset> LogConfigStore::load()
{
    BOOST_LEAF_AUTO(loaded, loadPages());
    if (!loaded.snapshot) {
        return fail(ErrorCode::Unavailable,
                    "expired configuration records are not covered by a snapshot",
                    "connect to a daemon that has a newer configuration");
    }
    applyUpdate(loaded.snapshot, loaded.records, false);
    return nextOffset().value();
}

bool LogConfigStore::applyPushed(const ConfigUpdate &update)
{
    return applyUpdate(update.snapshot, {update.records.begin(), update.records.end()}, true);
}

void LogConfigStore::trackRecord(const LogRecord &record)
{
    recentRecords_.push_back(record);
    while (recentRecords_.size() > options_.retainedRecords)
        recentRecords_.pop_front();
    if (!isKnownType(record))
        unknownRecordSeen_ = true;
    if (!isSnapshot(record))
        return;
    const Offset coveredUntil = record.data["next_offset"].get<Offset>();
    if (coveredUntil < newestSnapshotOffset_ || coveredUntil > record.offset)
        return;
    newestSnapshotOffset_ = coveredUntil;
    const auto age = std::max(Millis(0), sinceEpoch(wallNow()) - sinceEpoch(record.time));
    newestSnapshotTime_ = steadyNow() - age;
}

bool LogConfigStore::applyUpdate(const std::optional<Configuration> &snapshot,
                                 const std::deque<LogRecord> &records, bool requireContiguous)
{
    bool advanced = false;
    {
        const std::lock_guard lock(mutex_);
        std::shared_ptr<Configuration> next;
        if (snapshot && (!current_ || snapshot->nextOffset > current_->nextOffset)) {
            next = std::make_shared<Configuration>(*snapshot);
            recentRecords_.clear();
        } else if (current_) {
            next = std::make_shared<Configuration>(*current_);
        } else if (!records.empty() && records.front().offset == 0) {
            next = std::make_shared<Configuration>();
        } else {
            return false;
        }
        for (const LogRecord &record : records) {
            if (record.offset < next->nextOffset)
                continue;
            // A gap in an update from a peer is closed by a later pull. The log itself has no gaps.
            if (requireContiguous && record.offset > next->nextOffset)
                break;
            applyRecord(*next, record);
            trackRecord(record);
        }
        advanced = !current_ || next->nextOffset > current_->nextOffset;
        if (advanced)
            current_ = std::move(next);
    }
    if (advanced) {
        changed_.notify_all();
        notify();
    }
    return advanced;
}

void LogConfigStore::notify()
{
    const std::lock_guard lock(notifyMutex_);
    const auto configuration = current();
    if (notifiedOnce_ && configuration->nextOffset <= notifiedOffset_)
        return;
    notifiedOnce_ = true;
    notifiedOffset_ = configuration->nextOffset;
    for (const Listener &listener : listeners_)
        listener(configuration);
}

ConfigUpdate LogConfigStore::updateSince(Offset offset) const
{
    const std::lock_guard lock(mutex_);
    ConfigUpdate update;
    if (!current_ || offset >= current_->nextOffset)
        return update;
    if (recentRecords_.empty() || offset < recentRecords_.front().offset) {
        update.snapshot = *current_;
        return update;
    }
    for (const LogRecord &record : recentRecords_) {
        if (record.offset >= offset)
            update.records.push_back(record);
    }
    return update;
}

bool LogConfigStore::maintainSnapshots(TimePoint now)
{
    std::shared_ptr<const Configuration> configuration;
    {
        const std::lock_guard lock(mutex_);
        // A software version that skipped unknown records must not write a snapshot: newer versions
        // that start from it would miss the effect of these records.
        if (!current_ || current_->nextOffset == 0 || unknownRecordSeen_)
            return false;
        const bool byOffset = current_->nextOffset / options_.snapshotInterval
                              > newestSnapshotOffset_ / options_.snapshotInterval;
        const bool byAge = now - newestSnapshotTime_ >= options_.snapshotMaxAge;
        const bool recentlyTried = lastSnapshotAttempt_ != TimePoint{}
                                   && now - lastSnapshotAttempt_ < options_.snapshotRetryDelay;
        if ((!byOffset && !byAge) || recentlyTried)
            return false;
        lastSnapshotAttempt_ = now;
        configuration = current_;
    }
    const auto appended = capture([&] {
        return log_.append(options_.stream, encodeSnapshot(*configuration),
                           options_.requestTimeout);
    });
    if (!appended) {
        logEvent(LogLevel::Warning, "snapshot_append_failed",
                 {{"error", appended.error().message}});
    }
    return static_cast<bool>(appended);
}

} // namespace cicadafork
