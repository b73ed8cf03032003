#pragma once

// KV holds of one request at the members of a group: all or none, renewed while they are held,
// released on every path.
//
//   HoldKeeper keeper(settings.timing.holdLifetime);          // one in each daemon
//   GroupHolds holds(keeper, {requestKey, memberId, incarnation});
//   Expected<Done> reserved = capture([&] { return holds.reserve(members, tokens, left); });
//   ...                                                        // the destructor releases

#include "base/clock.h"
#include "base/error.h"
#include "routing/fleetview.h"

#include <asio/thread_pool.hpp>

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace cicadafork {

/// Renews holds at a third of their life. Thread-safe.
class HoldKeeper
{
public:
    explicit HoldKeeper(Millis lifetime);
    ~HoldKeeper();
    HoldKeeper(const HoldKeeper &) = delete;
    HoldKeeper &operator=(const HoldKeeper &) = delete;

    Millis lifetime() const { return lifetime_; }
    void keep(const std::string &holdId, const Address &address);
    void drop(const std::string &holdId);

private:
    struct Row
    {
        Address address;
        TimePoint due;
    };

    void run();
    void renew(const std::string &holdId, const Address &address);

    const Millis lifetime_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::unordered_map<std::string, Row> rows_;
    bool stopping_ = false;
    asio::thread_pool renewals_;
    std::thread thread_;
};

struct HoldOwner
{
    std::string requestKey;
    std::string holder;
    std::string incarnation;
};

class GroupHolds
{
public:
    GroupHolds(HoldKeeper &keeper, HoldOwner owner, unsigned attempt);
    ~GroupHolds();
    GroupHolds(const GroupHolds &) = delete;
    GroupHolds &operator=(const GroupHolds &) = delete;

    /// Reserves in the given order, which must be ascending endpoint id, so that two groups cannot
    /// wait for each other. On a failure every hold is released before it returns.
    Result<void> reserve(const std::vector<EndpointView> &members,
                         const std::vector<std::uint64_t> &tokens, TimePoint deadline);
    const std::string &id(std::size_t member) const { return held_[member].id; }
    void release();

private:
    struct Held
    {
        std::string id;
        Address address;
    };

    HoldKeeper &keeper_;
    HoldOwner owner_;
    unsigned attempt_;
    std::vector<Held> held_; ///< Also those whose reservation was not answered.
};

/// Cuts a prompt into one segment for each weight, in proportion and between UTF-8 characters.
std::vector<std::string> splitPrompt(const std::string &prompt,
                                     const std::vector<std::uint64_t> &weights);

} // namespace cicadafork
