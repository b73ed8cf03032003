#pragma once

// Tells whether a daemon is cut off from the endpoints of a service.
//
//   noteNotConnected(reach, endpoint, now);
//   if (needsProbes(reach, now))
//       probe(chooseProbes(reach, candidates, random));
//   ...
//   noteProbes(reach, anyListens, now);
//   if (reach.cutOff)
//       handOver(request);
//
// Connections decide, not answers: a sound endpoint may be silent for a while, but it accepts
// connections. Failed connections to some endpoints may mean that these have ended, so endpoints of
// other failure domains are asked before the service counts as out of reach.

#include "gateway/loadtracker.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace cicadafork::gateway {

/// The way from this daemon to the endpoints of one service.
struct Reach
{
    /// Endpoints to which no connection could be made since one could be made to any.
    std::set<EndpointKey> unreachable;
    TimePoint lastProbes{}; ///< When a round of probes has ended last.
    bool probing = false;
    bool cutOff = false;
};

/// Time between two rounds of probes while the service is out of reach.
inline constexpr Millis kProbeInterval{200};

/// No connection could be made to an endpoint of the service.
void noteNotConnected(Reach &reach, EndpointKey endpoint);

/// True if probes must find out whether any endpoint can be reached, because one could not be
/// connected to or is silent.
bool needsProbes(const Reach &reach, TimePoint now);

/// A connection was made. Returns true if the service was out of reach until now.
bool noteConnected(Reach &reach);

/// A round of probes has ended. Returns true if `cutOff` has changed.
bool noteProbes(Reach &reach, bool anyListens, TimePoint now);

struct ProbeCandidate
{
    EndpointKey endpoint = 0;
    std::string failureDomain;
};

/// Indices of the candidates to ask: one of each failure domain, preferably one that has not failed
/// yet, and not always the same.
std::vector<std::size_t> chooseProbes(const Reach &reach,
                                      const std::vector<ProbeCandidate> &candidates,
                                      std::uint64_t random);

} // namespace cicadafork::gateway
