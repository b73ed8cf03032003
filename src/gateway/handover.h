#pragma once

// Chooses the peer to which a daemon that is cut off from the endpoints of a service hands a
// request over. The peer treats it like one of its own callers, but never hands it over again.
//
//   if (const HandoverPeer *peer = choosePeer(candidates, exchange.id))
//       handOver(exchange, peer->ip);

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cicadafork::gateway {

/// With a request: how many endpoints it may still be sent to.
inline constexpr const char *kHandoverAttempts = "Handover-Attempts";
/// With an answer that the peer gives itself: to how many endpoints it has sent the request.
inline constexpr const char *kHandoverSends = "Handover-Sends";

/// A peer that reaches the service.
struct HandoverPeer
{
    std::string ip;
    bool hasConfig = true; ///< Knows the configuration of this daemon, or a newer one.
    bool inOwnDomain = false;
    std::size_t inProgress = 0; ///< Requests that this daemon has handed over to it.
};

/// The peer with the fewest requests of this daemon, of those that know its configuration if there
/// are any; null without candidates. Of equal ones, those of the own failure domain come first, and
/// the tie breaker decides the rest.
const HandoverPeer *choosePeer(const std::vector<HandoverPeer> &candidates,
                               std::uint64_t tieBreaker);

/// True if the status promises a caller that its request has not run and never will.
bool isPromiseOfNotRun(int status);

} // namespace cicadafork::gateway
