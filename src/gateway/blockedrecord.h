#pragma once

// Records of blocked parts of prompts in the platform's store, from which daemons learn them when
// all have restarted. They are in the topic of the members, which each daemon reads at its start.
//
//   store.put(topic, blockedKey(blocked), blockedRecord(evidence, blocked, now, wallNow()), ...);
//   if (isBlockedKey(record.key))
//       for (EndpointCrash &crash : readBlockedRecord(*record.value, now, wallNow()))
//           noteCrash(evidence, std::move(crash));

#include "gateway/crashevidence.h"

#include <string>
#include <string_view>
#include <vector>

namespace cicadafork::gateway {

std::string blockedKey(const BlockedParts &blocked);
bool isBlockedKey(std::string_view key);

/// The crashes that explain the block. Times are those of the wall clock, since a record outlives
/// the processes.
std::string blockedRecord(const CrashEvidence &evidence, const BlockedParts &blocked, TimePoint now,
                          WallTime wallNow);

/// Fails with InvalidArgument on a record that cannot be parsed. If the crashes lie in the future,
/// as the daemons' clocks differ, the last one counts as one of now.
Result<std::vector<EndpointCrash>> readBlockedRecord(const std::string &text, TimePoint now,
                                                     WallTime wallNow);

} // namespace cicadafork::gateway
