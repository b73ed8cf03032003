#pragma once

// Chooses the peer to which a daemon that is cut off from the endpoints of a service hands a
// request over. The peer treats it like one of its own callers, but never hands it over again.
//
//   if (const HandoverPeer *peer = choosePeer(candidates, exchange.id))
//       handOver(exchange, peer->ip);
//
// A request is never judged by an older configuration than the one that its daemon accepted it
// with: a peer that lacks that one turns the request away, and a daemon leaves out the peers that
// announce an older one. A peer with a newer one judges by it, as it would judge its own callers.

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace cicadafork::gateway {

/// With a request: how many endpoints it may still be sent to.
inline constexpr const char *kHandoverAttempts = "Handover-Attempts";
/// With a request: the version of the configuration that the daemon has accepted it with. Versions
/// rise in all eras of the store, so that the number alone tells which of two is older. With a 421:
/// the peer has only this older version.
inline constexpr const char *kHandoverConfig = "Handover-Config";
/// With an answer that the peer gives itself: to how many endpoints it has sent the request.
inline constexpr const char *kHandoverSends = "Handover-Sends";
/// With a request that only some regions may handle: which ones, by the configuration of the daemon
/// to which its caller connected. The peer's own configuration may be another one.
inline constexpr const char *kHandoverRegions = "Handover-Regions";

/// A peer that reaches the service.
struct HandoverPeer
{
    std::string ip;
    bool hasConfig = true; ///< Knows the configuration of this daemon, or a newer one.
    bool inOwnDomain = false;
    std::size_t inProgress = 0; ///< Requests that this daemon has handed over to it.
};

/// The peer with the fewest requests of this daemon, of those that know its configuration; null if
/// there is none. Of equal ones, those of the own failure domain come first, and the tie breaker
/// decides the rest.
const HandoverPeer *choosePeer(const std::vector<HandoverPeer> &candidates,
                               std::uint64_t tieBreaker);

/// True if the status promises a caller that its request has not run and never will.
bool isPromiseOfNotRun(int status);

} // namespace cicadafork::gateway
