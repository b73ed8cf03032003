#pragma once

// Messages between the front and the owner of a shard.
//
//   forwarder(shard, encodeForwardedBatch({shard, time, entries}), timeout);

#include "claims/claimrecord.h"

#include <map>

namespace cicadafork {

struct ForwardedBatch
{
    std::size_t shard = 0;
    Millis time{0}; ///< How long the front waits for the answer.
    std::vector<ClaimEntry> entries;
};

/// Verdicts by attempt id. An attempt that is missing is unresolved.
using ForwardedVerdicts = std::map<std::string, ClaimDecision>;

std::string encodeForwardedBatch(const ForwardedBatch &batch);
/// Nothing when the text is malformed or an entry belongs to another shard.
std::optional<ForwardedBatch> decodeForwardedBatch(const std::string &text);

/// Decisions of the kind Unavailable are left out: the front then reads the stream itself.
std::string encodeForwardedVerdicts(const ForwardedVerdicts &verdicts);
/// Leaves out what it cannot read.
ForwardedVerdicts decodeForwardedVerdicts(const std::string &text);

} // namespace cicadafork
