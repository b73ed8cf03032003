#pragma once

// The requests that wait at all daemons for the endpoints of a service, as each daemon tells them.
//
//   DemandTable demands(kMaxDaemons);
//   demands.note(peer, demandsOfPeer, now);
//   const std::vector<WaitingRank> others = demands.waiting(service, now);
//
// Load: a full house. Each of many daemons holds only one or two of the waiting requests, so an
// order within one daemon decides next to nothing.

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace cicadafork::overload {

using ServiceId = std::uint32_t; ///< Hash of a service's name.
using DaemonId = std::uint64_t;  ///< Incarnation of a daemon.

/// What decides when a waiting request gets its turn.
struct WaitingRank
{
    int priority = 0;      ///< 0 is the most urgent.
    TimePoint objective{}; ///< The first event is late after this time.
    std::uint32_t tie = 0; ///< Random; the same at all daemons.

    bool operator==(const WaitingRank &) const = default;
};

/// True if the first request of a daemon gets its turn before the other one: those that can still
/// be on time come before late ones, then the most urgent, then the earliest objective.
bool comesBefore(const WaitingRank &rank, const WaitingRank &other, TimePoint now);

/// The requests of one daemon that wait for a service.
struct ServiceDemand
{
    ServiceId service = 0;
    std::uint32_t waiting = 0;
    std::vector<WaitingRank> first = {}; ///< Those that come first, kMaxRanks at most.
};

/// Ranks that a daemon tells of each service. A daemon with more waiting requests is one of few.
inline constexpr std::size_t kMaxRanks = 8;
/// Services of which a daemon tells its waiting requests.
inline constexpr std::size_t kMaxDemands = 8;
/// A daemon with waiting requests repeats what it tells at this interval.
inline constexpr Millis kDemandInterval{200};
/// What a daemon has told counts for this time: a daemon that is paused, cut off or gone holds up
/// the others no longer. Two repetitions may be lost.
inline constexpr Millis kDemandLifetime{500};

class DemandTable
{
public:
    explicit DemandTable(std::size_t maxDaemons);

    /// Replaces what the daemon has told before. Empty if nothing waits there.
    void note(DaemonId daemon, std::vector<ServiceDemand> demands, TimePoint now);

    /// The waiting requests of other daemons, as far as their ranks are told.
    std::vector<WaitingRank> waiting(ServiceId service, TimePoint now) const;
    /// The number of all waiting requests of other daemons.
    unsigned countWaiting(ServiceId service, TimePoint now) const;

private:
    struct Row
    {
        std::vector<ServiceDemand> demands;
        TimePoint at{};
    };

    std::size_t maxDaemons_;
    std::unordered_map<DaemonId, Row> rows_; ///< Only daemons with waiting requests.
};

} // namespace cicadafork::overload
