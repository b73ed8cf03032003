#pragma once

// KV memory of the engine model: tokens owned by streams and holds, and cached prompt blocks with
// reference counts and LRU eviction. The sum never exceeds the capacity.

#include "standin-engine/enginemodel.h"

namespace cicadafork::standin {

/// False when the request is larger than the memory, or than the hold that it names.
bool canEverFit(const EngineState &engine, const StreamRequest &request);

/// Pins the cached prefix and takes memory for the rest and for the answer; all or nothing.
bool takeStreamMemory(EngineState &engine, Stream &stream);

/// Turns the prefilled prompt's whole blocks into cached blocks that the stream refers to.
void shareBlocks(EngineState &engine, Stream &stream);

/// Frees what the stream owns and unpins its blocks, which stay cached until they are evicted.
void releaseStreamMemory(EngineState &engine, Stream &stream);

} // namespace cicadafork::standin
