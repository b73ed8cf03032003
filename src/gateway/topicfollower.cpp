#include "gateway/topicfollower.h"

#include "base/jitter.h"
#include "base/log.h"

#include <algorithm>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace cicadafork::gateway {

namespace {

// First and longest retry delay of a daemon that reads rarely because its peers send it the
// records. During an outage hundreds of such daemons would otherwise call far more often than
// before it.
constexpr Millis kFirstRareRetryDelay{8000};
constexpr Millis kMaxRareRetryDelay{45'000};
// Limits how often the timeout of a call for the newest records is doubled after failures.
constexpr unsigned kMaxTimeoutDoublings = 2;
// Longest delay of the first read after reads have become more frequent. Random, since members that
// lose the store replace each other as readers one after the other.
constexpr Millis kMaxFirstReadDelay{600};
// Limits how often the retry delay is doubled.
constexpr unsigned kMaxRetryDoublings = 4;

/// Keeps only the newest record of each key, in the order of the log. A follower that has not read
/// for a while reads older records too, and their states are no longer true.
void keepNewest(std::vector<StoreRecord> &records)
{
    std::unordered_map<std::string, std::size_t> newer; // Index in `kept` by key.
    std::vector<StoreRecord> kept;
    for (auto record = records.rbegin(); record != records.rend(); ++record) {
        const auto [found, isNewest] = newer.emplace(record->key, kept.size());
        if (isNewest) {
            kept.push_back(std::move(*record));
            continue;
        }
        StoreRecord &newest = kept[found->second];
        if (!newest.value && !newest.deletedValue)
            newest.deletedValue = std::move(record->value);
    }
    std::ranges::reverse(kept);
    records = std::move(kept);
}

} // namespace

RetryDelay retryDelayAfter(unsigned failures, const FollowerOptions &options, bool bootstrapped)
{
    const unsigned doublings = std::min(failures, kMaxRetryDoublings + 1) - 1;
    // A follower with a long read interval also retries less often, but only after its first
    // snapshot.
    const bool rare = bootstrapped && options.interval > options.longestRetry;
    const Millis first = rare ? kFirstRareRetryDelay : options.firstRetry;
    const Millis longest
            = rare ? std::min(options.interval, kMaxRareRetryDelay) : options.longestRetry;
    const Millis delay = std::min(longest, first * (1 << doublings));
    // Daemons with long delays lose the store together. Spread over the whole delay, their retries
    // are few at any time, and one of them soon notices that the store is available again.
    return {delay < kFirstRareRetryDelay ? delay / 2 : Millis(0), delay};
}

TopicFollower::TopicFollower(asio::io_context &context, const StoreCalls &calls,
                             FollowerOptions options, FollowerHooks hooks)
    : calls_(calls)
    , options_(std::move(options))
    , hooks_(std::move(hooks))
    , timer_(context)
{
}

void TopicFollower::start()
{
    bootstrap();
}

void TopicFollower::stop()
{
    alive_.reset();
    timer_.cancel();
}

void TopicFollower::retryNow()
{
    if (paused_)
        return;
    abandonCall();
    continueReading();
}

void TopicFollower::retryWithin(Millis limit)
{
    const Millis delay = randomMillis(Millis(0), limit);
    if (paused_ || calling_ || timer_.expiry() <= steadyNow() + delay)
        return;
    after(delay, &TopicFollower::continueReading);
}

void TopicFollower::startOver(Millis limit)
{
    if (!alive_) // Stopped.
        return;
    const TimePoint now = steadyNow();
    const TimePoint due = timer_.expiry();
    const bool waiting = !paused_ && !calling_ && bootstrapped_ && due > now;
    abandonCall();
    canReadOn_ = false;
    afterKey_.clear();
    if (bootstrapped_)
        startedOverAt_ = now;
    if (paused_)
        return;
    // The first snapshot is never put off.
    const Millis spread = bootstrapped_ ? limit : std::min(limit, options_.firstRetry);
    TimePoint next = now + randomMillis(Millis(0), spread);
    if (waiting)
        next = std::min(next, due);
    after(std::chrono::ceil<Millis>(next - now), &TopicFollower::continueReading);
}

void TopicFollower::notePeerState(const StorePosition &position)
{
    if (position.era > position_.era)
        reportCurrent(position.era, kFromPeer);
}

void TopicFollower::pause()
{
    paused_ = true;
    abandonCall();
}

void TopicFollower::resume()
{
    if (!paused_)
        return;
    paused_ = false;
    retryNow();
}

void TopicFollower::setReadTiming(Millis interval, Millis wait)
{
    const bool faster = interval + wait < options_.interval + options_.wait;
    options_.interval = interval;
    options_.wait = wait;
    if (faster && bootstrapped_)
        retryWithin(std::min(interval + wait, kMaxFirstReadDelay));
}

void TopicFollower::abandonCall()
{
    alive_ = std::make_shared<bool>(true);
    timer_.cancel();
    calling_ = false;
}

void TopicFollower::continueReading()
{
    if (canReadOn_)
        readNext();
    else
        bootstrap();
}

void TopicFollower::bootstrap()
{
    calling_ = true;
    if (afterKey_.empty())
        collected_.clear();
    // Hundreds of processes that start together share the rate at which the store serves records,
    // so each of them may have to wait longer.
    const Millis timeout = options_.callTimeout * (1 << std::min(failures_, kMaxTimeoutDoublings));
    calls_.newest(options_.topic, afterKey_, timeout,
                  [this, weak = std::weak_ptr(alive_)](StoreFailure failure, StorePage page) {
                      if (!weak.expired())
                          onNewest(failure, std::move(page));
                  });
}

void TopicFollower::onNewest(StoreFailure failure, StorePage page)
{
    noteContact(failure == StoreFailure::None);
    if (failure != StoreFailure::None) {
        retry(&TopicFollower::bootstrap);
        return;
    }
    // The pages are not a consistent snapshot: a record may change while they are read. So reading
    // continues from the end of the first page.
    if (afterKey_.empty())
        firstPageEnd_ = {page.era.value_or(0), page.next};
    std::ranges::move(page.records, std::back_inserter(collected_));
    if (page.more && !collected_.empty()) {
        afterKey_ = collected_.back().key;
        bootstrap();
        return;
    }
    afterKey_.clear();
    position_ = std::max(position_, firstPageEnd_);
    bootstrapped_ = true;
    canReadOn_ = true;
    reportCurrent(position_.era, kFromStore);
    hooks_.snapshot(std::move(collected_));
    collected_.clear();
    // A store that states no era may have come back older: its end is behind the position, and it
    // refuses reads from there at once.
    const bool behind = firstPageEnd_ < position_;
    after(behind ? std::max(options_.interval, options_.longestRetry) : options_.interval,
          &TopicFollower::readNext);
}

void TopicFollower::readNext()
{
    calling_ = true;
    calls_.read(options_.topic, position_.offset, options_.wait,
                options_.wait + options_.callTimeout,
                [this, weak = std::weak_ptr(alive_)](StoreFailure failure, StorePage page) {
                    if (!weak.expired())
                        onRead(failure, std::move(page));
                });
}

void TopicFollower::onRead(StoreFailure failure, StorePage page)
{
    noteContact(failure == StoreFailure::None || failure == StoreFailure::Expired);
    if (failure == StoreFailure::Expired) {
        bootstrap();
        return;
    }
    if (failure != StoreFailure::None) {
        retry(&TopicFollower::readNext);
        return;
    }
    position_ = std::max(position_, StorePosition{page.era.value_or(0), page.next});
    keepNewest(page.records);
    if (!page.records.empty())
        hooks_.changes(std::move(page.records));
    after(options_.interval, &TopicFollower::readNext);
}

void TopicFollower::after(Millis delay, void (TopicFollower::*step)())
{
    timer_.expires_after(delay);
    // cancel() can't stop a handler that is already queued when retryNow() starts another read.
    timer_.async_wait([this, step, weak = std::weak_ptr(alive_)](const asio::error_code &error) {
        if (!error && !weak.expired())
            (this->*step)();
    });
}

void TopicFollower::retry(void (TopicFollower::*step)())
{
    const RetryDelay delay = retryDelayAfter(failures_, options_, bootstrapped_);
    after(randomMillis(delay.shortest, delay.longest), step);
}

void TopicFollower::reportCurrent(std::uint64_t era, const char *source)
{
    if (startedOverAt_ == TimePoint())
        return;
    const auto took = std::chrono::duration_cast<Millis>(steadyNow() - startedOverAt_);
    logEvent(LogLevel::Info, "store_topic_current",
             {{"topic", options_.topic},
              {"era", std::to_string(era)},
              {"source", source},
              {"took_ms", std::to_string(took.count())}});
    startedOverAt_ = {};
}

void TopicFollower::noteContact(bool reached)
{
    calling_ = false;
    failures_ = reached ? 0 : failures_ + 1;
    if (reached)
        lastContact_ = steadyNow();
    hooks_.contact(reached);
}

} // namespace cicadafork::gateway
