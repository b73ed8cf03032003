#pragma once

// The cost model of the engines in production, which differ between sites in size only.
//
//   const EngineModel engine
//           = productionEngine({.slots = 16, .kvCapacityTokens = 450'000, .stride = 46});

#include "gateway/model.h"

namespace cicadafork::test {

struct EngineSize
{
    unsigned slots = 0;
    std::uint64_t kvCapacityTokens = 0;
    unsigned stride = 0; ///< Decoding steps of a pass.
};

inline gateway::EngineModel productionEngine(const EngineSize &size)
{
    gateway::EngineModel engine;
    engine.slots = size.slots;
    engine.kvCapacityTokens = size.kvCapacityTokens;
    engine.stride = size.stride;
    engine.step = gateway::FloatMillis(0.925);
    engine.stepPerSequence = gateway::FloatMillis(0.00483);
    engine.stepPerThousandContext = gateway::FloatMillis(0.00254);
    engine.prefillTokensPerMs = 256;
    engine.prefillPerMillionPairs = gateway::FloatMillis(0.0917);
    return engine;
}

} // namespace cicadafork::test
