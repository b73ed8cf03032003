#include "prefixcache/promptprefix.h"

#include "base/hash.h"

#include <algorithm>

namespace cicadafork::gateway {

namespace {

/// A prefix has at least 5/4 of the tokens of the last one.
constexpr std::uint64_t kGrowthNumerator = 5;
constexpr std::uint64_t kGrowthDenominator = 4;

} // namespace

std::vector<Prefix> promptPrefixes(const CallerFields &fields)
{
    std::vector<Prefix> prefixes;
    std::uint64_t hash = kFnvOffset;
    std::uint64_t tokens = 0;
    std::uint64_t next = kMinPrefixTokens;
    const std::size_t parts
            = std::min(fields.sharedPromptParts.size(), fields.sharedPromptTokens.size());
    for (std::size_t i = 0; i < parts; ++i) {
        const std::optional<std::uint64_t> partTokens = fields.sharedPromptTokens[i];
        if (!partTokens || *partTokens > fields.promptTokens - tokens)
            break;
        tokens += *partTokens;
        hash = mix64(mix64(hash ^ fields.sharedPromptParts[i]) + *partTokens);
        if (tokens < next)
            continue;
        prefixes.push_back({hash, tokens});
        next = tokens * kGrowthNumerator / kGrowthDenominator;
    }
    return prefixes;
}

} // namespace cicadafork::gateway
