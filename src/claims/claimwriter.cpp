#include "claims/claimwriter.h"

#include "base/log.h"

#include <algorithm>
#include <random>

namespace cicadafork {

namespace {

/// Keeps a record of outcomes with bodies of kMaxStoredBodyBytes near 256 KiB.
constexpr std::size_t kMaxBatchEntries = 16;

std::size_t shardOf(const ClaimLogEntry &entry)
{
    return std::visit([](const auto &value) { return claimShard(value.key); }, entry);
}

std::size_t bodyBytes(const ClaimLogEntry &entry)
{
    const auto *done = std::get_if<DoneEntry>(&entry);
    return done ? done->outcome.body.size() : 0;
}

Millis withJitter(Millis backoff)
{
    thread_local std::minstd_rand random(std::random_device{}());
    std::uniform_int_distribution<Millis::rep> spread(backoff.count() / 2, backoff.count());
    return Millis(spread(random));
}

} // namespace

ClaimWriter::ClaimWriter(LogClient &log, CircuitBreaker &breaker, ClaimWriterLimits limits)
    : log_(log)
    , breaker_(breaker)
    , limits_(limits)
    , thread_([this] { run(); })
{
}

ClaimWriter::~ClaimWriter()
{
    {
        std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    changed_.notify_all();
    thread_.join();
}

bool ClaimWriter::enqueue(ClaimLogEntry entry)
{
    {
        std::lock_guard lock(mutex_);
        if (queue_.size() >= limits_.maxQueued) {
            ++dropped_;
            return false;
        }
        if (bodyBytes_ + bodyBytes(entry) > limits_.maxBodyBytes) {
            auto &outcome = std::get<DoneEntry>(entry).outcome;
            outcome.body.clear();
            outcome.truncated = true;
        }
        bodyBytes_ += bodyBytes(entry);
        queue_.push_back(std::move(entry));
    }
    changed_.notify_all();
    return true;
}

bool ClaimWriter::flush(TimePoint deadline)
{
    std::unique_lock lock(mutex_);
    return changed_.wait_until(lock, deadline, [this] { return queue_.empty() && !writing_; });
}

std::size_t ClaimWriter::dropped() const
{
    std::lock_guard lock(mutex_);
    return dropped_;
}

void ClaimWriter::run()
{
    Millis backoff = limits_.minBackoff;
    std::vector<ClaimLogEntry> batch;
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        if (batch.empty())
            batch = takeBatch();
        if (batch.empty()) {
            changed_.wait_for(lock, limits_.probeInterval,
                              [this] { return stopping_ || !queue_.empty(); });
            if (stopping_ || !queue_.empty() || !breaker_.isOpen())
                continue;
            lock.unlock();
            probe();
            lock.lock();
            continue;
        }
        writing_ = true;
        lock.unlock();
        const bool written = append(batch);
        lock.lock();
        if (written) {
            batch.clear();
            writing_ = false;
            backoff = limits_.minBackoff;
            changed_.notify_all();
        } else {
            changed_.wait_for(lock, withJitter(backoff), [this] { return stopping_; });
            backoff = std::min(2 * backoff, limits_.maxBackoff);
        }
    }
    if (!batch.empty() || !queue_.empty()) {
        logEvent(LogLevel::Warning, "claim_records_lost_at_exit",
                 {{"count", std::to_string(batch.size() + queue_.size())}});
    }
}

std::vector<ClaimLogEntry> ClaimWriter::takeBatch()
{
    std::vector<ClaimLogEntry> batch;
    if (queue_.empty())
        return batch;
    const std::size_t shard = shardOf(queue_.front());
    for (auto entry = queue_.begin(); entry != queue_.end() && batch.size() < kMaxBatchEntries;) {
        if (shardOf(*entry) != shard) {
            ++entry;
            continue;
        }
        bodyBytes_ -= bodyBytes(*entry);
        batch.push_back(std::move(*entry));
        entry = queue_.erase(entry);
    }
    return batch;
}

bool ClaimWriter::append(const std::vector<ClaimLogEntry> &batch)
{
    const auto offset = capture([&] {
        return log_.append(claimStream(shardOf(batch.front())), encodeClaimBatch(batch),
                           limits_.appendTimeout);
    });
    offset ? breaker_.recordSuccess() : breaker_.recordFailure();
    return static_cast<bool>(offset);
}

void ClaimWriter::probe()
{
    const auto page = capture(
            [&] { return log_.read(claimStream(0), 0, 1, Millis(0), limits_.appendTimeout); });
    if (!page)
        return;
    breaker_.recordSuccess();
    logEvent(LogLevel::Info, "claims_log_answers_again");
}

} // namespace cicadafork
