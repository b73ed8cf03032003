#pragma once

// Follows one keyed topic of the platform's store.
//
//   TopicFollower follower(context, calls, {.topic = "...", .wait = Millis(10'000)}, {
//       .snapshot = [](std::vector<StoreRecord> all) { ... },
//       .changes = [](std::vector<StoreRecord> changed) { ... },
//       .contact = [](bool reached) { ... }});
//   follower.start();
//
// Reads the newest record of every key, then polls for the records appended since. If records were
// deleted before they were read, it starts over with the newest record of every key. So it does
// when the store has come back from an older copy (startOver()).

#include "base/clock.h"
#include "gateway/storeera.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicadafork::gateway {

// Sources of state, in the log.
inline constexpr const char *kFromStore = "store";
inline constexpr const char *kFromPeer = "peer";

struct FollowerOptions
{
    std::string topic;
    Millis wait{0};           ///< How long the store may delay its answer to wait for a record.
    Millis interval{0};       ///< Pause between two reads.
    Millis callTimeout{1200}; ///< For reads, added to `wait`.
    Millis firstRetry{150};   ///< Doubled with each consecutive failure; jitter is applied.
    Millis longestRetry{1000};
};

struct FollowerHooks
{
    /// The newest record of every key: after the start, and after records were missed.
    std::function<void(std::vector<StoreRecord>)> snapshot;
    /// The records that one read returned; never empty.
    std::function<void(std::vector<StoreRecord>)> changes;
    /// Called after each call with whether the store answered it.
    std::function<void(bool)> contact;
};

/// Range from which the delay of a retry is drawn at random, so that daemons whose calls failed
/// together do not retry at the same time.
struct RetryDelay
{
    Millis shortest{0};
    Millis longest{0};
};

/// The delay after that many consecutive failures, at least one. Bootstrapped means that the
/// follower has had its first snapshot.
RetryDelay retryDelayAfter(unsigned failures, const FollowerOptions &options, bool bootstrapped);

class TopicFollower
{
public:
    TopicFollower(asio::io_context &context, const StoreCalls &calls, FollowerOptions options,
                  FollowerHooks hooks);

    void start();
    void stop();
    /// Abandons any call in progress and makes the next call at once. For use when the store has
    /// become reachable again: a call made before that may never be answered. Does nothing while
    /// paused.
    void retryNow();
    /// The same after a random time up to the limit, unless a call is due or in progress earlier.
    void retryWithin(Millis limit);
    /// Abandons any call in progress and makes no more until resume().
    void pause();
    /// Makes the next call at once if the follower is paused.
    void resume();
    /// For a new era of the store, in which known offsets mean other records: abandons any call in
    /// progress and reads the newest record of every key after a random time up to the limit, or
    /// when the next call is due if that is earlier. Until then position() stays what it was.
    void startOver(Millis limit);
    /// What this daemon knows equals what a peer knows at that position. In a new era the topic is
    /// current then, which is reported; the read that startOver() has scheduled is still made.
    void notePeerState(const StorePosition &position);
    /// Next offset to read, with the era in which it is valid; zero before the first snapshot.
    StorePosition position() const { return position_; }
    /// End of the store's records at the last snapshot. It is before position() if the store has
    /// served an older state since.
    StorePosition snapshotEnd() const { return firstPageEnd_; }
    /// When the last answered call ended.
    TimePoint lastContact() const { return lastContact_; }
    /// Sets the pause between two reads and the time that a read may wait. If that makes reads more
    /// frequent, a new read starts soon; otherwise it applies from the next read on.
    void setReadTiming(Millis interval, Millis wait);
    Millis interval() const { return options_.interval; }

private:
    void abandonCall();
    void continueReading();
    void bootstrap();
    void onNewest(StoreFailure failure, StorePage page);
    void readNext();
    void onRead(StoreFailure failure, StorePage page);
    void after(Millis delay, void (TopicFollower::*step)());
    void retry(void (TopicFollower::*step)());
    /// Ends the time since startOver().
    void reportCurrent(std::uint64_t era, const char *source);
    void noteContact(bool reached);

    const StoreCalls &calls_;
    FollowerOptions options_;
    FollowerHooks hooks_;
    asio::steady_timer timer_;
    std::vector<StoreRecord> collected_;
    std::string afterKey_;
    StorePosition position_;
    StorePosition firstPageEnd_;
    unsigned failures_ = 0;
    bool bootstrapped_ = false; ///< A snapshot has been delivered.
    bool canReadOn_ = false;    ///< The position is valid, so no snapshot is needed.
    TimePoint startedOverAt_{}; ///< Of the last startOver() until current again; unset otherwise.
    bool paused_ = false;
    bool calling_ = false; ///< A call is in progress.
    TimePoint lastContact_{};
    /// Replaced or reset to abandon the call in progress; callbacks of abandoned calls do nothing.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cicadafork::gateway
