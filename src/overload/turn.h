#pragma once

// Decides at which endpoints a waiting request may take a free slot, while requests of other
// daemons wait for the same service.
//
//   const Turn turn = turnAt(endpoint, own, othersWaiting, now);
//   if (mayTake(turn, now - lastChange, draw))
//       place();
//
// Load: a full house, in which a slot that becomes free is seen by all daemons at once. If several
// took it, all but one of their requests would wait in the engine until another stream ends there,
// and be late. So each free slot belongs to one of the requests that come first: those that can
// still be on time before late ones, then the most urgent. Among these, rendezvous hashing chooses
// one for each endpoint, the same at all daemons. A slot that its owner cannot use is left to the
// next ones after a while, so that no room stays unused.

#include "overload/demand.h"

#include <span>

namespace cicadafork::overload {

struct OwnRequest
{
    WaitingRank rank;
    /// The other daemons know of it. They do not know of a request that has just arrived, so it
    /// owns no slot yet.
    bool told = false;
};

struct Turn
{
    unsigned ahead = 0; ///< Requests that may take the slot earlier.
    unsigned waiting = 0;
    bool owner = false;
    bool yields = false; ///< Late, while requests wait that can still be on time.
};

/// Whose turn it is at an endpoint. `others` are the waiting requests of the other daemons.
Turn turnAt(std::uint64_t endpoint, const OwnRequest &own, std::span<const WaitingRank> others,
            TimePoint now);

/// `sinceChange` is the time since a request was placed at the endpoint or ended there; `draw` is a
/// random number from 0 to 1. All requests may use an endpoint without a change for long, but they
/// try it at different times.
bool mayTake(const Turn &turn, Millis sinceChange, double draw);

} // namespace cicadafork::overload
