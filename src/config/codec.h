#pragma once

// JSON encoding of configuration commands, snapshots and updates.
//
//   log.append("config", encodeCommand(command), timeout);
//   log.append("config", encodeSnapshot(configuration), timeout);
//
// Records are {"type":"command",...} and {"type":"snapshot",...}. Unknown fields are ignored, so
// that an old version can read the records of a newer one.

#include "config/configuration.h"

#include <nlohmann/json.hpp>

namespace cicadafork {

nlohmann::json encodeCommand(const Command &command);

/// Returns nothing when the record is of another type or malformed.
std::optional<Command> decodeCommand(const nlohmann::json &data);

nlohmann::json encodeSnapshot(const Configuration &configuration);

/// Returns nothing when the record is of another type or malformed.
std::optional<Configuration> decodeSnapshot(const nlohmann::json &data);

/// Configuration sent from one daemon to another: a snapshot, consecutive records, or both.
struct ConfigUpdate
{
    std::optional<Configuration> snapshot;
    std::vector<LogRecord> records; ///< In ascending offset order without gaps.
};

std::string encodeUpdate(const ConfigUpdate &update);

/// Fails with InvalidArgument when the text is malformed.
Result<ConfigUpdate> decodeUpdate(const std::string &text);

} // namespace cicadafork
