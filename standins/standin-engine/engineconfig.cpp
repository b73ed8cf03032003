#include "standin-engine/engineserver.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <functional>
#include <map>

namespace cicadafork::standin {

namespace {

using Setter = std::function<void(const YAML::Node &)>;

template <class T>
Setter number(T &target)
{
    return [&target](const YAML::Node &value) { target = value.as<T>(); };
}

template <class Duration>
Setter duration(Duration &target)
{
    return [&target](const YAML::Node &value) { target = Duration(value.as<std::int64_t>()); };
}

} // namespace

EngineParameters loadEngineParameters(const std::string &path)
{
    EngineParameters p;
    const std::map<std::string, Setter> setters = {
            {"prefill_tokens_per_second", number(p.prefillTokensPerSecond)},
            {"chunk_tokens", number(p.chunkTokens)},
            {"kv_capacity_tokens", number(p.kvCapacityTokens)},
            {"block_tokens", number(p.blockTokens)},
            {"max_batch", number(p.maxBatch)},
            {"step_base_us", duration(p.stepBase)},
            {"decode_per_sequence_us", duration(p.decodePerSequence)},
            {"prior_slowdown", number(p.priorSlowdown)},
            {"time_scale", number(p.timeScale)},
            {"kv_bytes_per_token", number(p.kvBytesPerToken)},
            {"kv_bytes_per_second", number(p.kvBytesPerSecond)},
            {"memory_wait_ms", duration(p.memoryWait)},
            {"orphan_grace_ms", duration(p.orphanGrace)},
            {"finished_retention_ms", duration(p.finishedRetention)},
            {"status_lag_ms", duration(p.statusLag)},
            {"cache_event_lag_ms", duration(p.cacheEventLag)},
    };
    for (const auto &entry : YAML::LoadFile(path)) {
        const auto key = entry.first.as<std::string>();
        const auto setter = setters.find(key);
        if (setter == setters.end())
            throw YAML::Exception(entry.first.Mark(), fmt::format("unknown key '{}'", key));
        setter->second(entry.second);
    }
    return p;
}

} // namespace cicadafork::standin
