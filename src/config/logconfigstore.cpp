#include "config/logconfigstore.h"

#include "base/hash.h"
#include "base/log.h"
#include "config/fold.h"

#include <algorithm>
#include <thread>

namespace cicadafork {

namespace {

/// Longest wait of one read while submit() looks for its record.
constexpr Millis kReadBackWait{200};
/// Pause after a failed read, so that an outage does not cause a busy loop.
constexpr Millis kReadBackPause{20};
/// Bound of the pages read at start; at 256 records a page this is far above any retention.
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
    , snapshotWritten_(steadyNow())
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
    // A read before the append tells an outage, in which the command is certainly not taken, from
    // a lost answer, in which it may be.
    const auto reachable
            = capture([&] { return log_.read(options_.stream, 0, 1, Millis(0), readTimeout); });
    if (!reachable || remaining(deadline) == Millis(0)) {
        return fail(ErrorCode::Unavailable, "the log does not answer; the command was not sent",
                    "send the command again when the platform's log is reachable");
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
            std::this_thread::sleep_for(std::min(left, kReadBackPause));
    }
    return fail(ErrorCode::DeadlineExceeded,
                appended ? "the command was appended but not read back in time"
                         : "the log did not confirm the command in time; it may be accepted later",
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
    absorb(std::nullopt, {page.records.begin(), page.records.end()}, false);
    return nextOffset().value();
}

Result<LogConfigStore::Loaded> LogConfigStore::loadPages()
{
    Loaded loaded;
    Offset begin = 0; // The tail holds every record from here or from the base on.
    Offset from = 0;
    for (int pages = 0; pages < kMaxLoadPages; ++pages) {
        BOOST_LEAF_AUTO(page, log_.read(options_.stream, from, options_.pageLimit, Millis(0),
                                        options_.requestTimeout));
        if (page.expired) {
            if (page.first <= from)
                break;
            loaded = {};
            begin = from = page.first;
            continue;
        }
        for (const LogRecord &record : page.records) {
            loaded.tail.push_back(record);
            const Offset floor = loaded.base ? loaded.base->nextOffset : begin;
            if (!isSnapshot(record) || record.data["next_offset"].get<Offset>() < floor)
                continue;
            auto snapshot = decodeSnapshot(record.data);
            if (!snapshot || snapshot->nextOffset > record.offset)
                continue;
            loaded.base = std::move(snapshot);
            while (!loaded.tail.empty() && loaded.tail.front().offset < loaded.base->nextOffset)
                loaded.tail.pop_front();
        }
        if (page.records.empty() || page.next <= from)
            break;
        from = page.next;
    }
    if (!loaded.base && begin == 0)
        loaded.base = Configuration{};
    return loaded;
}

Result<Offset> LogConfigStore::load()
{
    BOOST_LEAF_AUTO(loaded, loadPages());
    if (!loaded.base) {
        return fail(ErrorCode::Unavailable, "configuration records expired without a snapshot",
                    "connect to a daemon that holds a newer configuration");
    }
    absorb(loaded.base, loaded.tail, false);
    return nextOffset().value();
}

bool LogConfigStore::applyPushed(const ConfigUpdate &update)
{
    return absorb(update.snapshot, {update.records.begin(), update.records.end()}, true);
}

void LogConfigStore::noteRecord(const LogRecord &record)
{
    recent_.push_back(record);
    while (recent_.size() > options_.retainedRecords)
        recent_.pop_front();
    if (!isKnownType(record))
        sawUnknownRecord_ = true;
    if (!isSnapshot(record))
        return;
    const Offset covered = record.data["next_offset"].get<Offset>();
    if (covered < newestSnapshot_ || covered > record.offset)
        return;
    newestSnapshot_ = covered;
    const auto age = std::max(Millis(0), sinceEpoch(wallNow()) - sinceEpoch(record.time));
    snapshotWritten_ = steadyNow() - age;
}

bool LogConfigStore::absorb(const std::optional<Configuration> &snapshot,
                            const std::deque<LogRecord> &records, bool contiguous)
{
    bool moved = false;
    {
        const std::lock_guard lock(mutex_);
        std::shared_ptr<Configuration> next;
        if (snapshot && (!current_ || snapshot->nextOffset > current_->nextOffset)) {
            next = std::make_shared<Configuration>(*snapshot);
            recent_.clear();
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
            // A gap in what a peer sent is repaired by a pull; the log itself has none.
            if (contiguous && record.offset > next->nextOffset)
                break;
            applyRecord(*next, record);
            noteRecord(record);
        }
        moved = !current_ || next->nextOffset > current_->nextOffset;
        if (moved)
            current_ = std::move(next);
    }
    if (moved) {
        changed_.notify_all();
        notify();
    }
    return moved;
}

void LogConfigStore::notify()
{
    const std::lock_guard lock(notifyMutex_);
    const auto configuration = current();
    if (notifiedOnce_ && configuration->nextOffset <= notified_)
        return;
    notifiedOnce_ = true;
    notified_ = configuration->nextOffset;
    for (const Listener &listener : listeners_)
        listener(configuration);
}

ConfigUpdate LogConfigStore::updateSince(Offset offset) const
{
    const std::lock_guard lock(mutex_);
    ConfigUpdate update;
    if (!current_ || offset >= current_->nextOffset)
        return update;
    if (recent_.empty() || offset < recent_.front().offset) {
        update.snapshot = *current_;
        return update;
    }
    for (const LogRecord &record : recent_) {
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
        // A version that skipped records must not write a snapshot: it would lose their effect for
        // the newer versions that understand them.
        if (!current_ || current_->nextOffset == 0 || sawUnknownRecord_)
            return false;
        const bool byOffset = current_->nextOffset / options_.snapshotInterval
                              > newestSnapshot_ / options_.snapshotInterval;
        const bool byAge = now - snapshotWritten_ >= options_.snapshotMaxAge;
        const bool tried = snapshotTried_ != TimePoint{}
                           && now - snapshotTried_ < options_.snapshotRetryDelay;
        if ((!byOffset && !byAge) || tried)
            return false;
        snapshotTried_ = now;
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
