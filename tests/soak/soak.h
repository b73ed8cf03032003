#pragma once

// A randomized soak of the gateway: real processes, faults from outside, promises checked
// meanwhile.
//
//   SoakReport report = runSoak({.seed = 7, .length = Millis(20'000)});
//   for (const std::string &broken : report.broken)
//       fmt::print("{}\n", broken);
//
// The store and the replicas are stand-ins in this program, the daemons are processes. A seed
// chooses the faults: daemons that are killed, stopped for a while, or ended and started again, a
// store that turns everyone away, replicas that answer wrongly or drain, and changes of the
// configuration. They overlap.

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
};

struct SoakReport
{
    std::map<std::string, unsigned> outcomes; ///< Requests by status and route.
    unsigned faults = 0;
    std::vector<std::string> broken; ///< Promises that did not hold, with the request's id.
};

/// Throws std::runtime_error when the system cannot be started.
SoakReport runSoak(const SoakOptions &options);

} // namespace cicadafork::test
