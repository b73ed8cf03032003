#pragma once

// Model of a language-model engine: continuous batching over a limited KV memory. It is plain data
// changed by free functions. Time is passed in, so that tests run without a clock.
//
//   EngineState engine(parameters);
//   submit(engine, {.key = {"r1", 1}, .promptTokens = 1000, .maxTokens = 50, ...}, now);
//   while (auto cost = beginStep(engine, now)) {
//       now += *cost;
//       finishStep(engine, now);
//   }

#include "base/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace cicadafork::standin {

/// Documented in config/engine.yaml.
struct EngineParameters
{
    double prefillTokensPerSecond = 20'000;
    std::uint64_t chunkTokens = 2048;
    std::uint64_t kvCapacityTokens = 400'000;
    std::uint64_t blockTokens = 256;
    std::size_t maxBatch = 2048;
    Micros stepBase{8000};
    Micros decodePerSequence{15};
    double priorSlowdown = 0.02;
    double timeScale = 1; ///< Divides every step, transfer and load.
    std::uint64_t kvBytesPerToken = 100'000;
    double kvBytesPerSecond = 10e9;
    Millis memoryWait{2000};
    Millis orphanGrace{5000};
    Millis finishedRetention{30'000};
    Millis statusLag{200};
    Millis cacheEventLag{300};
};

struct StreamKey
{
    std::string requestId;
    std::uint64_t attempt = 0;

    // Written out, because clang-tidy 14 reports the zero in a defaulted <=> as a null pointer.
    bool operator==(const StreamKey &) const = default;
    bool operator<(const StreamKey &other) const
    {
        return std::tie(requestId, attempt) < std::tie(other.requestId, other.attempt);
    }
};

enum class StreamState {
    Waiting, ///< For KV memory or a place in the batch; may still be refused.
    Prefill, ///< Admitted.
    Decode,
    Finished,
    Cancelled, ///< After admission.
    Refused,   ///< Never admitted: it did not run and will not.
};

/// A completion, or the prefill of a segment into a hold (holdId set, maxTokens 0).
struct StreamRequest
{
    StreamKey key;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0;
    int priority = 1; ///< 0 is the most urgent.
    std::uint64_t digest = 0;
    /// Digest of the prompt up to the end of each whole block; identifies cached blocks.
    std::vector<std::uint64_t> blocks;
    std::size_t remotePriors = 0; ///< Holds on other engines that the attention must read.
    std::string holdId; ///< Its memory is used: by a completion to the end, by a segment's prefill.
};

struct Stream
{
    StreamRequest request;
    StreamState state = StreamState::Waiting;
    std::uint64_t sequence = 0; ///< Order of arrival.
    std::uint64_t ownTokens = 0;
    std::size_t pinnedBlocks = 0; ///< The first N of request.blocks are referenced in the cache.
    std::uint64_t prefilled = 0;
    std::uint64_t generated = 0;
    TimePoint arrived;
    TimePoint ended;
    std::optional<TimePoint> orphaned; ///< Since when no connection reads it.
};

struct Hold
{
    std::string requestId;
    std::string holder;
    std::string incarnation;
    std::uint64_t tokens = 0;
    std::uint64_t filledTokens = 0;
    std::uint64_t digest = 0;
    TimePoint expires;
};

struct CacheBlock
{
    std::size_t references = 0;
    std::uint64_t lastUsed = 0; ///< Key in EngineState::evictable when references is 0.
};

struct CacheEvent
{
    std::uint64_t number = 0;
    bool stored = false; ///< False when the block was evicted.
    std::uint64_t block = 0;
    TimePoint at;
};

/// What the step that runs now will do when it ends.
struct StepPlan
{
    std::vector<std::pair<StreamKey, std::uint64_t>> chunks; ///< Prompt tokens by stream.
    std::vector<StreamKey> decodes;
};

struct MemoryUse
{
    std::uint64_t live = 0; ///< Owned by streams that have not ended.
    std::uint64_t holds = 0;
    std::uint64_t cache = 0;  ///< All cached blocks.
    std::uint64_t pinned = 0; ///< Cached blocks that live streams refer to; part of cache.
};

struct EngineState
{
    explicit EngineState(EngineParameters p)
        : parameters(p)
    {
    }

    EngineParameters parameters;
    double slowFactor = 1;
    std::map<StreamKey, Stream> streams;
    std::vector<StreamKey> waiting; ///< Sorted by priority, then arrival.
    std::vector<StreamKey> running; ///< Prefill and decode, sorted in the same way.
    std::map<std::string, Hold> holds;
    std::unordered_map<std::uint64_t, CacheBlock> cache;
    std::map<std::uint64_t, std::uint64_t> evictable; ///< Last use -> block.
    std::deque<CacheEvent> cacheEvents;
    /// Cancels that came before their request; the request must not run any more.
    std::map<StreamKey, TimePoint> cancelledEarly;
    std::optional<StepPlan> step;
    std::uint64_t nextSequence = 0;
    std::uint64_t nextUse = 0;
    std::uint64_t nextCacheEvent = 1;
    MemoryUse memory;
    TimePoint now; ///< Of the last call; the time of cache events.
};

/// Queues a stream. It is refused at once when its cancel came first, when its key is known or when
/// it can never fit.
StreamState submit(EngineState &engine, StreamRequest request, TimePoint now);

/// Admits and plans one step; returns its duration, or nothing when there is no work. Call expire()
/// first.
std::optional<Micros> beginStep(EngineState &engine, TimePoint now);

/// Applies the step begun last. Streams that ended meanwhile are skipped. Returns the streams that
/// made progress.
std::vector<StreamKey> finishStep(EngineState &engine, TimePoint now);

/// Applies the time limits: memory wait, orphans, holds, retention. A stream whose hold is gone
/// ends too. Returns the streams that ended.
std::vector<StreamKey> expire(EngineState &engine, TimePoint now);

enum class CancelOutcome { NotRun, Stopped, AlreadyEnded };

/// Ends a stream and frees its memory. An unknown stream is refused when it arrives later.
CancelOutcome cancel(EngineState &engine, const StreamKey &key, TimePoint now);

/// The connection that reads the stream was lost, or a new one reads it.
void markOrphaned(EngineState &engine, const StreamKey &key, std::optional<TimePoint> since);

/// Reserves all the tokens or none. Repeating a known id renews it.
bool placeHold(EngineState &engine, const std::string &id, Hold hold);

bool releaseHold(EngineState &engine, const std::string &id);

std::uint64_t usedTokens(const EngineState &engine);

/// Prompt tokens that are not prefilled yet, of waiting and running streams.
std::uint64_t waitingTokens(const EngineState &engine);

/// Time to move a hold's KV cache at the stated bandwidth.
Micros transferTime(const EngineParameters &parameters, std::uint64_t tokens);

inline bool hasEnded(StreamState state)
{
    return state == StreamState::Finished || state == StreamState::Cancelled
           || state == StreamState::Refused;
}

} // namespace cicadafork::standin
