#pragma once

// Decides how the workspaces share a service for which more requests wait than it can take.
//
//   for (const std::uint64_t id : fairOrder(waiting))          // at one daemon
//       tryPlace(id);
//   if (mustYield(facts))                                      // between daemons
//       return;                                                // try again later
//
// Answers a load of one or two workspaces far over their share: without it, their requests are most
// of those that wait, at every daemon, and take most of the endpoints that become free.
//
// Each daemon orders its own waiting requests by start-time fair queueing. A daemon seldom has more
// than one or two, so requests of workspaces far above their share also leave an endpoint that has
// become free to those at other daemons for a short time.

#include "overload/workspaceusage.h"

#include <cstdint>
#include <vector>

namespace cicadafork::overload {

struct FairRequest
{
    std::uint64_t id = 0;
    WorkspaceKey workspace = 0;
    double used = 0; ///< By its workspace of the service, see WorkspaceUsage.
    double cost = 0; ///< See requestCost().
    TimePoint objective{};
};

/// The ids of waiting requests of one service and one rank in the order in which they are served:
/// first the workspace that has used least, counting the cost of its requests that come earlier
/// in this order; requests of one workspace by their objective, then their id. With a single
/// workspace, or none, the order is by objective alone.
std::vector<std::uint64_t> fairOrder(std::vector<FairRequest> waiting);

struct YieldFacts
{
    WorkspaceShare share; ///< Of the request's workspace.
    /// Requests at other daemons that wait for the service at the same rank or a more urgent one.
    unsigned waitingElsewhere = 0;
    /// Longest time between two dispatches of a daemon with waiting requests.
    gateway::FloatMillis dispatchInterval{0};
    /// Time for which the endpoint has had a free slot.
    gateway::FloatMillis freeFor{0};
};

/// True if the request must leave an endpoint that could take it now to the requests of other
/// daemons. Bounded by maxYield(): a slot that nobody else has taken by then is used. It is the
/// slot that counts, not the wait: under load some slot is always free for the short time until one
/// of the others takes it.
bool mustYield(const YieldFacts &facts);

/// Stands for the time for which an endpoint has had a free slot if only its load is reported, as
/// in other failure domains of a large fleet.
gateway::FloatMillis assumedFreeFor(unsigned free, unsigned capacity);

/// Time for which a request leaves an endpoint to others: zero for a workspace that is not far
/// above its fair share, and longest for the one that has used most.
gateway::FloatMillis maxYield(const WorkspaceShare &share, gateway::FloatMillis dispatchInterval);

} // namespace cicadafork::overload
