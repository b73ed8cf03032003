#pragma once

// The faults of one soak: series that begin at random times, last for seconds and overlap.
//
//   for (const Fault &fault : planFaults({.seed = 7, .length = Millis(10'000)}))
//       schedule(fault.at, fault);

#include "soak/soak.h"

#include <cstddef>
#include <vector>

namespace cicadafork::test {

enum class FaultKind {
    Terminate,           ///< SIGTERM to a daemon, which starts again after it has ended.
    Kill,                ///< SIGKILL to a daemon, which starts again.
    Freeze,              ///< SIGSTOP to a daemon for the duration.
    Hangup,              ///< Changed settings file and SIGHUP.
    StoreLink,           ///< The link between a daemon and the store is disturbed.
    ChangeConfiguration, ///< A new version of the configuration.
    StoreAway,           ///< The store refuses every call for the duration.
    StoreOlder,          ///< After the duration away, the store comes back from a copy.
    EndpointSilent,      ///< A sound endpoint pauses for the duration and goes on.
    EndpointFaulty,      ///< An endpoint handles its next requests in the ways of `behaviours`.
    EndpointDraining,    ///< The record of an endpoint says draining for the duration.
    EndpointLeaving,     ///< An endpoint says that it leaves; another instance follows it.
    EndpointLink,        ///< The link to an endpoint is disturbed.
    EndpointQuiet,       ///< An endpoint refuses everything and asks for quiet, for the duration.
};

enum class LinkFault {
    Delay,
    SilentToTarget, ///< What the daemon sends is lost; connections are reset at the end.
    SilentToDaemon, ///< What the target sends is lost; connections are reset at the end.
    Reset,          ///< Connections are reset.
};

/// Other endpoints are reached without a proxy, so that their resets arrive as such.
constexpr bool hasLink(std::size_t endpoint)
{
    return endpoint % 4 == 1;
}

struct Fault
{
    FaultKind kind = FaultKind::Kill;
    Millis at{0};              ///< Since the start of the soak.
    std::size_t target = 0;    ///< Number of the daemon or endpoint.
    Millis duration{0};        ///< For Terminate and Kill: from the end to the next start.
    Millis age{0};             ///< Of the copy.
    Millis quietFor{0};        ///< Stated in the refusals of EndpointQuiet.
    Millis writeAgainAfter{0}; ///< From the store's return to the writes of what it has lost.
    std::vector<unsigned> behaviours; ///< Values of EndpointBehaviour.
    LinkFault link = LinkFault::Delay;
};

/// Depends on the options only. Ordered by time.
std::vector<Fault> planFaults(const SoakOptions &options);

const char *toString(FaultKind kind);

} // namespace cicadafork::test
