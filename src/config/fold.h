#pragma once

// The deterministic fold of the configuration stream.
//
//   for (const LogRecord &record : page.records)
//       std::optional<Verdict> verdict = applyRecord(configuration, record);
//
// Two processes that fold the same records hold equal configurations. The fold reads no clock and
// nothing else outside its arguments.

#include "config/configuration.h"

namespace cicadafork {

/// Applies one record and advances nextOffset past it. Returns the verdict of a command. Returns
/// nothing for a record below nextOffset, a snapshot, an unknown type, and a command whose id is
/// already in the history (an append that took effect twice).
std::optional<Verdict> applyRecord(Configuration &configuration, const LogRecord &record);

/// The verdict of a command that is still in the history.
std::optional<Verdict> findVerdict(const Configuration &configuration,
                                   const std::string &commandId);

} // namespace cicadafork
