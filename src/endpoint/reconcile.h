#pragma once

// What has to be sent to an endpoint so that it does what operators ordered.
//
//   for (const EngineOrder &order : ordersFor(intent, observed))
//       client.order(order, timeout);
//
// The coordinator of an endpoint compares each tick. An order that was lost is sent again, and an
// endpoint that obeyed a stale order is corrected, because the comparison is with what the endpoint
// reports and not with what was sent.

#include "config/configuration.h"
#include "endpoint/engineclient.h"

#include <string>
#include <vector>

namespace cicadafork {

struct ObservedEndpoint
{
    std::vector<std::string> models; ///< As reported, "model[:adapter][@version]".
    std::string role;
};

/// Splits "model[:adapter][@version]" into the fields of a load order.
EngineOrder loadOrder(const std::string &model, std::uint64_t fencing);

/// The orders that are missing; empty when the endpoint does what is wanted.
std::vector<EngineOrder> ordersFor(const EndpointIntent &intent, const ObservedEndpoint &observed);

} // namespace cicadafork
