#pragma once

// Decides which waiting requests a dispatch tries to place, and in which order.
//
//   for (const std::uint64_t id : dispatchOrder(waiting, lastService, 24))
//       tryPlace(id);
//
// Endpoints serve one service each. Services take turns, so that requests of one service do not
// wait behind those of another.

#include "base/clock.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace cicadafork::gateway {

struct WaitingRequest
{
    std::uint64_t id = 0;
    std::string_view service;
    int priority = 0;  ///< 0 is the most urgent.
    bool late = false; ///< Can no longer meet its objective.
    TimePoint objective{};
};

/// Ids of at most `limit` requests. The service that follows lastService by name comes first; pass
/// the one that was tried last, so that with more services than the limit, all get their turn.
/// Within a service the order is by priority; within one priority, requests that can still meet
/// their objective come before late ones, each group by earliest objective.
std::vector<std::uint64_t> dispatchOrder(std::vector<WaitingRequest> waiting,
                                         std::string_view lastService, std::size_t limit);

} // namespace cicadafork::gateway
