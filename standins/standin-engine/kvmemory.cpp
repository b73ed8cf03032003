#include "standin-engine/kvmemory.h"

#include <algorithm>

namespace cicadafork::standin {

namespace {

constexpr std::size_t kMaxCacheEvents = 65'536;

void recordEvent(EngineState &engine, bool stored, std::uint64_t block)
{
    engine.cacheEvents.push_back({engine.nextCacheEvent++, stored, block, engine.now});
    if (engine.cacheEvents.size() > kMaxCacheEvents)
        engine.cacheEvents.pop_front();
}

void pin(EngineState &engine, CacheBlock &block)
{
    if (block.references++ > 0)
        return;
    engine.evictable.erase(block.lastUsed);
    engine.memory.pinned += engine.parameters.blockTokens;
}

void unpin(EngineState &engine, std::uint64_t id)
{
    CacheBlock &block = engine.cache.at(id);
    if (--block.references > 0)
        return;
    block.lastUsed = engine.nextUse++;
    engine.evictable.emplace(block.lastUsed, id);
    engine.memory.pinned -= engine.parameters.blockTokens;
}

// Evicts the least recently used blocks until the tokens fit; evicts nothing when they cannot.
bool makeRoom(EngineState &engine, std::uint64_t tokens)
{
    const std::uint64_t capacity = engine.parameters.kvCapacityTokens;
    const MemoryUse &memory = engine.memory;
    if (memory.live + memory.holds + memory.pinned + tokens > capacity)
        return false;
    while (usedTokens(engine) + tokens > capacity) {
        const auto oldest = engine.evictable.begin();
        engine.cache.erase(oldest->second);
        engine.memory.cache -= engine.parameters.blockTokens;
        recordEvent(engine, false, oldest->second);
        engine.evictable.erase(oldest);
    }
    return true;
}

// Blocks of the prompt that are cached from its start on. The last prompt token is always
// computed, because its result is the first token of the answer.
std::size_t cachedPrefix(const EngineState &engine, const StreamRequest &request)
{
    std::size_t hits = 0;
    while (hits < request.blocks.size() && engine.cache.contains(request.blocks[hits]))
        ++hits;
    if (hits > 0 && hits * engine.parameters.blockTokens >= request.promptTokens)
        --hits;
    return hits;
}

} // namespace

std::uint64_t usedTokens(const EngineState &engine)
{
    return engine.memory.live + engine.memory.holds + engine.memory.cache;
}

bool canEverFit(const EngineState &engine, const StreamRequest &request)
{
    const std::uint64_t tokens = request.promptTokens + request.maxTokens;
    if (request.holdId.empty())
        return tokens <= engine.parameters.kvCapacityTokens;
    const auto hold = engine.holds.find(request.holdId);
    return hold != engine.holds.end() && hold->second.filledTokens + tokens <= hold->second.tokens;
}

bool takeStreamMemory(EngineState &engine, Stream &stream)
{
    // A stream with a hold uses the hold's memory, which is reserved already.
    if (!stream.request.holdId.empty())
        return true;
    const std::size_t hits = cachedPrefix(engine, stream.request);
    for (std::size_t i = 0; i < hits; ++i)
        pin(engine, engine.cache.at(stream.request.blocks[i]));
    const std::uint64_t cached = hits * engine.parameters.blockTokens;
    const std::uint64_t own = stream.request.promptTokens + stream.request.maxTokens - cached;
    if (!makeRoom(engine, own)) {
        for (std::size_t i = 0; i < hits; ++i)
            unpin(engine, stream.request.blocks[i]);
        return false;
    }
    stream.pinnedBlocks = hits;
    stream.prefilled = cached;
    stream.ownTokens = own;
    engine.memory.live += own;
    return true;
}

void shareBlocks(EngineState &engine, Stream &stream)
{
    if (!stream.request.holdId.empty())
        return;
    const std::uint64_t size = engine.parameters.blockTokens;
    for (std::size_t i = stream.pinnedBlocks; i < stream.request.blocks.size(); ++i) {
        const std::uint64_t id = stream.request.blocks[i];
        const auto [entry, added] = engine.cache.try_emplace(id);
        if (added) {
            entry->second.lastUsed = engine.nextUse++;
            engine.memory.cache += size;
            recordEvent(engine, true, id);
        }
        pin(engine, entry->second);
        stream.ownTokens -= size;
        engine.memory.live -= size;
    }
    stream.pinnedBlocks = std::max(stream.pinnedBlocks, stream.request.blocks.size());
}

void releaseStreamMemory(EngineState &engine, Stream &stream)
{
    engine.memory.live -= stream.ownTokens;
    stream.ownTokens = 0;
    // Unpinned from the end, so that eviction shortens a prefix instead of cutting off its start.
    for (; stream.pinnedBlocks > 0; --stream.pinnedBlocks)
        unpin(engine, stream.request.blocks[stream.pinnedBlocks - 1]);
}

bool placeHold(EngineState &engine, const std::string &id, Hold hold)
{
    const auto known = engine.holds.find(id);
    if (known != engine.holds.end()) {
        known->second.expires = hold.expires;
        return known->second.tokens == hold.tokens;
    }
    if (!makeRoom(engine, hold.tokens))
        return false;
    engine.memory.holds += hold.tokens;
    engine.holds.emplace(id, std::move(hold));
    return true;
}

bool releaseHold(EngineState &engine, const std::string &id)
{
    const auto found = engine.holds.find(id);
    if (found == engine.holds.end())
        return false;
    engine.memory.holds -= found->second.tokens;
    engine.holds.erase(found);
    return true;
}

} // namespace cicadafork::standin
