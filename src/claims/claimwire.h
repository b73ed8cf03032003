#pragma once

// Messages between a daemon that claims keys and the daemon that owns their shard.
//
//   forwarder(shard, encodeForwardedBatch({shard, time, entries}), timeout);

#include "claims/claimrecord.h"

#include <map>

namespace cicadafork {

struct ForwardedBatch
{
    std::size_t shard = 0;
    Millis time{0}; ///< How long the sender waits for the reply.
    std::vector<ClaimEntry> entries;
};

/// Decisions by attempt id. An attempt without an entry is undecided.
using ForwardedVerdicts = std::map<std::string, ClaimDecision>;

std::string encodeForwardedBatch(const ForwardedBatch &batch);
/// Empty when the text is malformed, has no claim, or has an entry of another shard.
std::optional<ForwardedBatch> decodeForwardedBatch(const std::string &text);

/// Omits decisions of the kind Unavailable; the sender then reads the stream itself.
std::string encodeForwardedVerdicts(const ForwardedVerdicts &verdicts);
/// Skips malformed entries and entries of an unknown kind.
ForwardedVerdicts decodeForwardedVerdicts(const std::string &text);

} // namespace cicadafork
