#pragma once

// Applies the records of the configuration stream to a Configuration (a fold over the stream).
//
//   for (const LogRecord &record : page.records)
//       std::optional<Verdict> verdict = applyRecord(configuration, record);
//
// The result is deterministic: it depends only on the arguments, not on a clock, so that processes
// that apply the same records have equal configurations.

#include "config/configuration.h"

namespace cicadafork {

/// Applies one record and advances nextOffset past it. Returns the verdict of a command. Returns
/// nothing, and changes nothing else, for a record below nextOffset, a snapshot, an unknown type,
/// and a command whose id is already in the history (an append that took effect twice).
std::optional<Verdict> applyRecord(Configuration &configuration, const LogRecord &record);

/// The verdict of a command; nothing when it is not in the history (any more).
std::optional<Verdict> findVerdict(const Configuration &configuration,
                                   const std::string &commandId);

} // namespace cicadafork
