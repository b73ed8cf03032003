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
//
// A handover lends the peer one of the attempts that the route allows. It counts as used as soon as
// the request is handed over, so that no way in which a peer may be lost can exceed the limit. Only
// the statement of the peer that it has sent nothing gives the attempt back. Retries are therefore
// made by the daemon of the caller, and both tell each other which endpoints were tried.

#include "gateway/loadtracker.h"
#include "net/message.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cicadafork::gateway {

/// With a request: how many endpoints the peer may send it to. Daemons of earlier builds lend all
/// the attempts that are left.
inline constexpr const char *kHandoverAttempts = "Handover-Attempts";
/// With a request: how many more attempts its daemon can make, if the peer returns it.
inline constexpr const char *kHandoverRetries = "Handover-Retries";
/// With a request and with an answer: the endpoints that the request was sent to.
inline constexpr const char *kHandoverTried = "Handover-Tried";
/// With a request: the version of the configuration that the daemon has accepted it with. Versions
/// rise in all eras of the store, so that the number alone tells which of two is older. With a 421:
/// the peer has only this older version.
inline constexpr const char *kHandoverConfig = "Handover-Config";
/// With an answer, unless it is a stream: to how many endpoints the peer has sent the request.
/// Peers of earlier builds state it only in answers that they give themselves.
inline constexpr const char *kHandoverSends = "Handover-Sends";
/// With a request that only some regions may handle: which ones, by the configuration of the daemon
/// to which its caller connected. The peer's own configuration may be another one.
inline constexpr const char *kHandoverRegions = "Handover-Regions";

/// What the daemon that hands a request over grants the peer.
struct HandoverTerms
{
    unsigned attempts = 0;   ///< Endpoints that the peer may send it to.
    unsigned retries = 0;    ///< Attempts that the daemon can make itself afterwards.
    bool readsTried = false; ///< The daemon reads Handover-Tried; those of earlier builds do not.
    std::vector<EndpointKey> triedEndpoints;
};

/// The terms that the header fields of a request state; no attempt if they cannot be read.
HandoverTerms readTerms(const HeaderList &headers);

/// The value of the field Handover-Tried.
std::string encodeTried(const std::vector<EndpointKey> &endpoints);
/// Leaves out what cannot be read.
std::vector<EndpointKey> decodeTried(std::string_view text);

/// Removes all fields of this protocol but the one of the regions.
void removeHandoverFields(HeaderList &headers);

/// A peer that reaches the service.
struct HandoverPeer
{
    std::string ip;
    bool hasConfig = true; ///< Knows the configuration of this daemon, or a newer one.
    bool inOwnDomain = false;
    std::size_t inProgress = 0; ///< Requests that this daemon has handed over to it.
    bool hasAnswered = false;   ///< Has returned this request after an attempt.
};

/// The peer with the fewest requests of this daemon, of those that know its configuration; null if
/// there is none. Peers that have returned the request come last. Of equal ones, those of the own
/// failure domain come first, and the tie breaker decides the rest.
const HandoverPeer *choosePeer(const std::vector<HandoverPeer> &candidates,
                               std::uint64_t tieBreaker);

/// True if the status promises a caller that its request has not run and never will.
bool isPromiseOfNotRun(int status);

} // namespace cicadafork::gateway
