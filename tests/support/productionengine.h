#pragma once

// The cost model of the users' engines, which differ between their sites in size only.
//
//   const EngineModel engine = productionEngine({.slots = 16, .memoryTokens = 450'000, .stride =
//   46});

#include "gateway/model.h"

namespace cicadafork::test {

struct EngineSize
{
    unsigned slots = 0;
    std::uint64_t memoryTokens = 0;
    unsigned stride = 0; ///< Token steps of a pass that writes.
};

inline gateway::EngineModel productionEngine(const EngineSize &size)
{
    gateway::EngineModel engine;
    engine.slots = size.slots;
    engine.memoryTokens = size.memoryTokens;
    engine.stride = size.stride;
    engine.step = gateway::FloatMillis(0.925);
    engine.stepPerSequence = gateway::FloatMillis(0.00483);
    engine.stepPerThousandContext = gateway::FloatMillis(0.00254);
    engine.readTokensPerMs = 256;
    engine.readPerMillionPairs = gateway::FloatMillis(0.0917);
    return engine;
}

} // namespace cicadafork::test
