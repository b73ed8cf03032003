#pragma once

// Follows one keyed topic of the platform's store.
//
//   TopicFollower follower(context, calls, {.topic = "...", .wait = Millis(10'000)}, {
//       .snapshot = [](std::vector<StoreRecord> all) { ... },   // complete, at start and after
//       gaps .changes = [](std::vector<StoreRecord> some) { ... }, .contact = [](bool reached) {
//       ... }});
//   follower.start();
//
// It reads the newest record of every key, then the records that follow. When records were deleted
// before they were read, it begins again with the newest ones.

#include "base/clock.h"
#include "gateway/protocol.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cicadafork::gateway {

struct FollowerOptions
{
    std::string topic;
    Millis wait{0};           ///< How long the store may hold a read that finds nothing.
    Millis interval{0};       ///< Pause between two reads.
    Millis callTimeout{1200}; ///< Added to wait.
    Millis firstRetry{150};   ///< Doubled with each further failure, with jitter.
    Millis longestRetry{1000};
};

struct FollowerHooks
{
    std::function<void(std::vector<StoreRecord>)> snapshot;
    std::function<void(std::vector<StoreRecord>)> changes;
    /// After each call: whether the store answered it.
    std::function<void(bool)> contact;
};

class TopicFollower
{
public:
    TopicFollower(asio::io_context &context, const StoreCalls &calls, FollowerOptions options,
                  FollowerHooks hooks);

    void start();
    void stop();
    /// Gives up on a call in progress and makes it again, because the store has just returned: its
    /// answer may never come.
    void retryNow();
    /// Next offset to read; 0 before the first snapshot.
    std::uint64_t position() const { return position_; }
    /// End of the last answered call.
    TimePoint lastContact() const { return lastContact_; }
    /// Changes the pause between two reads and the time that a read may wait. Takes effect at once
    /// when it makes reads more frequent.
    void setReadTiming(Millis interval, Millis wait);
    Millis interval() const { return options_.interval; }

private:
    void bootstrap();
    void onNewest(StoreFailure failure, StorePage page);
    void readOn();
    void onRead(StoreFailure failure, StorePage page);
    void after(Millis delay, void (TopicFollower::*step)());
    void retry(void (TopicFollower::*step)());
    void noteContact(bool reached);

    const StoreCalls &calls_;
    FollowerOptions options_;
    FollowerHooks hooks_;
    asio::steady_timer timer_;
    std::vector<StoreRecord> collected_;
    std::string afterKey_;
    std::uint64_t position_ = 0;
    std::uint64_t firstPageEnd_ = 0;
    unsigned failures_ = 0;
    bool bootstrapped_ = false;
    TimePoint lastContact_{};
    /// Calls that were given up are ignored when they end.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace cicadafork::gateway
