#pragma once

// A randomized soak of the gateway: real processes, faults from outside, promises checked
// afterwards.
//
//   SoakReport report = runSoak({.seed = 7, .length = Millis(20'000)});
//   for (const std::string &broken : report.broken)
//       fmt::print("{}\n", broken);
//
// The store and the replicas are stand-ins in this program, the daemons are processes. A seed
// chooses the faults, which come in series and overlap: signals to daemons, restarts, changes of
// the settings and of the configuration, a store that is away or comes back older, endpoints that
// pause, answer wrongly or drain, links that are slow, silent one way or reset.

#include "base/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cicadafork::test {

struct SoakOptions
{
    std::uint64_t seed = 1;
    Millis length{20'000};
    unsigned daemons = 3;
    unsigned replicas = 6; ///< Two thirds plain, the others engines.
    bool keepLogs = false; ///< Also when every promise holds.
};

struct SoakReport
{
    std::map<std::string, unsigned> outcomes; ///< Requests by route and status or kind of end.
    unsigned requests = 0;
    unsigned unanswered = 0; ///< Requests with neither an answer nor a refusal, without excuse.
    unsigned faults = 0;
    std::vector<std::string> broken; ///< Promises that did not hold, with the request's id.
    std::string directory; ///< Logs of the daemons and of the faults; empty if they are not kept.
};

/// Throws std::runtime_error when the system cannot be started or would take more than half of the
/// machine's memory.
SoakReport runSoak(const SoakOptions &options);

} // namespace cicadafork::test
