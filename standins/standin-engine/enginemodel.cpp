#include "standin-engine/enginemodel.h"

#include "standin-engine/kvmemory.h"

#include <algorithm>
#include <cmath>

namespace cicadafork::standin {

namespace {

// Bounds of the tables that remember the past.
constexpr Millis kEarlyCancelLife{60'000};
constexpr std::size_t kMaxEarlyCancels = 65'536;

bool before(const EngineState &engine, const StreamKey &left, const StreamKey &right)
{
    const Stream &a = engine.streams.at(left);
    const Stream &b = engine.streams.at(right);
    return std::pair(a.request.priority, a.sequence) < std::pair(b.request.priority, b.sequence);
}

void insertSorted(const EngineState &engine, std::vector<StreamKey> &keys, const StreamKey &key)
{
    const auto less = [&](const StreamKey &l, const StreamKey &r) { return before(engine, l, r); };
    keys.insert(std::upper_bound(keys.begin(), keys.end(), key, less), key);
}

void endStream(EngineState &engine, const StreamKey &key, StreamState state, TimePoint now)
{
    Stream &stream = engine.streams.at(key);
    std::erase(stream.state == StreamState::Waiting ? engine.waiting : engine.running, key);
    releaseStreamMemory(engine, stream);
    stream.state = state;
    stream.ended = now;
}

// The lowest-numbered waiting streams are admitted first. One that does not fit blocks those behind
// it, so that a long prompt is not overtaken for ever.
void admitWaiting(EngineState &engine)
{
    while (!engine.waiting.empty() && engine.running.size() < engine.parameters.maxBatch) {
        const StreamKey key = engine.waiting.front();
        Stream &stream = engine.streams.at(key);
        if (!takeStreamMemory(engine, stream))
            return;
        engine.waiting.erase(engine.waiting.begin());
        stream.state = StreamState::Prefill;
        insertSorted(engine, engine.running, key);
    }
}

double priorFactor(const EngineState &engine, const Stream &stream)
{
    return 1 + engine.parameters.priorSlowdown * static_cast<double>(stream.request.remotePriors);
}

// A finished segment stays in its hold; a finished prompt becomes reusable blocks.
void finishPrefill(EngineState &engine, Stream &stream, TimePoint now)
{
    if (stream.request.maxTokens > 0) {
        shareBlocks(engine, stream);
        stream.state = StreamState::Decode;
        return;
    }
    const auto hold = engine.holds.find(stream.request.holdId);
    const bool kept = hold != engine.holds.end();
    if (kept) {
        hold->second.filledTokens += stream.request.promptTokens;
        hold->second.digest = stream.request.digest;
    }
    endStream(engine, stream.request.key, kept ? StreamState::Finished : StreamState::Cancelled,
              now);
}

} // namespace

StreamState submit(EngineState &engine, StreamRequest request, TimePoint now)
{
    const StreamKey key = request.key;
    if (engine.cancelledEarly.contains(key) || engine.streams.contains(key)
        || !canEverFit(engine, request))
        return StreamState::Refused;
    Stream stream;
    stream.request = std::move(request);
    stream.sequence = engine.nextSequence++;
    stream.arrived = now;
    engine.streams.emplace(key, std::move(stream));
    insertSorted(engine, engine.waiting, key);
    return StreamState::Waiting;
}

std::optional<Micros> beginStep(EngineState &engine, TimePoint now)
{
    engine.now = now;
    admitWaiting(engine);
    if (engine.running.empty())
        return std::nullopt;
    const EngineParameters &p = engine.parameters;
    StepPlan plan;
    double micros = static_cast<double>(p.stepBase.count());
    std::uint64_t budget = p.chunkTokens;
    for (const StreamKey &key : engine.running) {
        const Stream &stream = engine.streams.at(key);
        const double factor = priorFactor(engine, stream);
        if (stream.state == StreamState::Decode) {
            micros += factor * static_cast<double>(p.decodePerSequence.count());
            plan.decodes.push_back(key);
            continue;
        }
        const std::uint64_t chunk
                = std::min(budget, stream.request.promptTokens - stream.prefilled);
        if (budget == 0)
            continue;
        budget -= chunk;
        micros += factor * 1e6 * static_cast<double>(chunk) / p.prefillTokensPerSecond;
        plan.chunks.emplace_back(key, chunk);
    }
    engine.step = std::move(plan);
    return Micros(std::llround(micros * engine.slowFactor / p.timeScale));
}

std::vector<StreamKey> finishStep(EngineState &engine, TimePoint now)
{
    engine.now = now;
    std::vector<StreamKey> progressed;
    if (!engine.step)
        return progressed;
    const StepPlan plan = std::move(*engine.step);
    engine.step.reset();
    for (const StreamKey &key : plan.decodes) {
        const auto found = engine.streams.find(key);
        if (found == engine.streams.end() || found->second.state != StreamState::Decode)
            continue;
        progressed.push_back(key);
        if (++found->second.generated >= found->second.request.maxTokens)
            endStream(engine, key, StreamState::Finished, now);
    }
    for (const auto &[key, chunk] : plan.chunks) {
        const auto found = engine.streams.find(key);
        if (found == engine.streams.end() || found->second.state != StreamState::Prefill)
            continue;
        progressed.push_back(key);
        found->second.prefilled += chunk;
        if (found->second.prefilled >= found->second.request.promptTokens)
            finishPrefill(engine, found->second, now);
    }
    return progressed;
}

std::vector<StreamKey> expire(EngineState &engine, TimePoint now)
{
    const EngineParameters &p = engine.parameters;
    std::vector<std::string> expiredHolds;
    for (const auto &[id, hold] : engine.holds) {
        if (hold.expires <= now)
            expiredHolds.push_back(id);
    }
    for (const std::string &id : expiredHolds)
        releaseHold(engine, id);
    std::vector<StreamKey> ended;
    std::vector<StreamKey> forgotten;
    for (auto &[key, stream] : engine.streams) {
        if (hasEnded(stream.state)) {
            if (now - stream.ended >= p.finishedRetention)
                forgotten.push_back(key);
        } else if (stream.orphaned && now - *stream.orphaned >= p.orphanGrace) {
            ended.push_back(key);
        } else if (!stream.request.holdId.empty()
                   && !engine.holds.contains(stream.request.holdId)) {
            ended.push_back(key);
        } else if (stream.state == StreamState::Waiting && now - stream.arrived >= p.memoryWait) {
            ended.push_back(key);
        }
    }
    for (const StreamKey &key : forgotten)
        engine.streams.erase(key);
    for (const StreamKey &key : ended) {
        const bool waited = engine.streams.at(key).state == StreamState::Waiting;
        endStream(engine, key, waited ? StreamState::Refused : StreamState::Cancelled, now);
    }
    std::erase_if(engine.cancelledEarly,
                  [&](const auto &entry) { return now - entry.second >= kEarlyCancelLife; });
    return ended;
}

CancelOutcome cancel(EngineState &engine, const StreamKey &key, TimePoint now)
{
    const auto found = engine.streams.find(key);
    if (found == engine.streams.end()) {
        if (engine.cancelledEarly.size() < kMaxEarlyCancels)
            engine.cancelledEarly.emplace(key, now);
        return CancelOutcome::NotRun;
    }
    const StreamState state = found->second.state;
    if (state == StreamState::Refused)
        return CancelOutcome::NotRun;
    if (hasEnded(state))
        return CancelOutcome::AlreadyEnded;
    const bool waited = state == StreamState::Waiting;
    endStream(engine, key, waited ? StreamState::Refused : StreamState::Cancelled, now);
    return waited ? CancelOutcome::NotRun : CancelOutcome::Stopped;
}

void markOrphaned(EngineState &engine, const StreamKey &key, std::optional<TimePoint> since)
{
    const auto found = engine.streams.find(key);
    if (found != engine.streams.end())
        found->second.orphaned = since;
}

std::uint64_t waitingTokens(const EngineState &engine)
{
    std::uint64_t tokens = 0;
    for (const auto *keys : {&engine.waiting, &engine.running}) {
        for (const StreamKey &key : *keys) {
            const Stream &stream = engine.streams.at(key);
            tokens += stream.request.promptTokens - stream.prefilled;
        }
    }
    return tokens;
}

Micros transferTime(const EngineParameters &parameters, std::uint64_t tokens)
{
    const double bytes = static_cast<double>(tokens * parameters.kvBytesPerToken);
    return Micros(std::llround(1e6 * bytes / parameters.kvBytesPerSecond / parameters.timeScale));
}

} // namespace cicadafork::standin
