#pragma once

// Decides which waiting requests a dispatch tries to place, and in which order.
//
//   for (const std::uint64_t id : dispatchOrder(waiting, lastService, 24))
//       tryPlace(id);
//
// Endpoints serve one service each. Services take turns, so that requests of one service do not
// wait behind those of another. Workspaces share a service by the cost of their requests.

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
    std::uint32_t workspace = 0; ///< Hash of its name; 0 for none.
    double used = 0;             ///< What the workspace has used of the service lately.
    double cost = 0;             ///< In the unit of `used`.
};

/// Ids of at most `limit` requests. The service that follows lastService by name comes first; pass
/// the one that was tried last, so that with more services than the limit, all get their turn.
/// Within a service, requests that can still meet their objective come before late ones of any
/// priority; then the order is by priority, then fair between workspaces (see
/// overload/fairorder.h), then by earliest objective.
std::vector<std::uint64_t> dispatchOrder(const std::vector<WaitingRequest> &waiting,
                                         std::string_view lastService, std::size_t limit);

} // namespace cicadafork::gateway
