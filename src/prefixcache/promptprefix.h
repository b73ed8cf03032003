#pragma once

// Decides which prefixes of a prompt are recorded and looked up, from the parts that the caller
// names. Runs once for each request of an engine service while prefix-cache-aware placement is
// switched on.
//
//   const std::vector<Prefix> prefixes = promptPrefixes(exchange.fields);

#include "gateway/protocol.h"
#include "routing/prefixindex.h"

#include <vector>

namespace cicadafork::gateway {

/// Shortest prefix that is recorded. A shorter one takes 2 ms to prefill at 256 tokens/ms, which
/// no placement is worth.
inline constexpr std::uint64_t kMinPrefixTokens = 512;

/// The prefixes of the prompt that other requests may share, shortest first. The hash of a prefix
/// covers all its parts and their tokens. A prefix is left out if it is less than a quarter longer
/// than the last one, as at the fixed lengths of prefixHashes(), so that a prompt of 64 parts and a
/// million tokens has at most 34. Empty if the caller names no shared part; prefixes end before a
/// part whose tokens are not stated or exceed the prompt.
std::vector<Prefix> promptPrefixes(const CallerFields &fields);

} // namespace cicadafork::gateway
