#pragma once

// Traces whose token work is a stated share of a fleet's capacity, and the unloaded times they are
// compared with. All times are at the engines' time scale.
//
//   const EngineParameters engine{.timeScale = 4};
//   auto trace = traceAtLoad({.profile = "coop", .seed = 1}, {.engines = 20, .load = 0.7}, engine);
//   double ideal = idealFirstTokenMs(engine, trace.front().promptTokens);

#include "loadgen/generate.h"
#include "standin-engine/enginemodel.h"

#include <cstdint>
#include <vector>

namespace cicadafork::test {

struct FleetLoad
{
    std::size_t engines = 20;
    double load = 0.7;       ///< Offered token work over capacity.
    Millis duration{30'000}; ///< Time over which the requests arrive.
};

/// Engine time that a request takes in seconds: its prompt at the prefill rate, the base time of
/// its full chunks, and its share of decode steps. Base times of steps that only decode are left
/// out, because all sequences of a batch share them.
double workSeconds(const standin::EngineParameters &engine, const TraceRequest &request);

/// Sum over the trace.
double workSeconds(const standin::EngineParameters &engine, const std::vector<TraceRequest> &trace);

/// Time of the prefill at an idle engine without cached prefix.
double idealFirstTokenMs(const standin::EngineParameters &engine, std::uint64_t promptTokens);

/// Generates a trace and stretches its arrival times so that the offered work is exactly the stated
/// load. Timeouts are divided by the time scale, but stay at least 2 s. Throws std::runtime_error
/// for an unknown profile.
std::vector<TraceRequest> traceAtLoad(const GenerateOptions &options, const FleetLoad &fleet,
                                      const standin::EngineParameters &engine);

/// The same requests at the same times without prompts of kLongPromptTokens or more.
std::vector<TraceRequest> withoutLong(const std::vector<TraceRequest> &trace);

} // namespace cicadafork::test
