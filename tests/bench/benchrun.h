#pragma once

// One policy on one fleet: starts the system, replays the trace without and with long prompts, and
// measures the processes meanwhile.
//
//   nlohmann::json run = runPolicy(fleet, {"adaptive", "shared", false}, conditions);

#include "loadgen/trace.h"
#include "standin-engine/enginemodel.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace cicadafork::bench {

struct Policy
{
    std::string policy;   ///< Value of routing.policy.
    std::string poolMode; ///< Value of routing.pool_mode.
    bool baseline = false;

    std::string name() const { return baseline ? policy : policy + "-" + poolMode; }
};

/// The four policies; the adaptive one once for each pool mode.
const std::vector<Policy> &allPolicies();

struct Conditions
{
    std::string fleet; ///< Profile of the trace.
    standin::EngineParameters engine;
    std::vector<TraceRequest> trace;
    double load = 0.7;
    std::string directory; ///< For one CSV file of requests for each run.
};

/// One element of "runs" of summary.json (section 12 of the design page), with these additions:
/// "ideal_ttft_ms" and "ttft_over_ideal_p95" by length, "cpu_cores" by kind of process,
/// "goodput_share" (token work of whole answers within their timeout over the fleet's capacity
/// during the arrivals), and "valid" (no late start of the load tool).
nlohmann::json runPolicy(const Policy &policy, const Conditions &conditions);

} // namespace cicadafork::bench
