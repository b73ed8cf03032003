#pragma once

// JSON forms of commands, snapshots and updates of the configuration.
//
//   log.append("config", encodeCommand(command), timeout);
//   log.append("config", encodeSnapshot(configuration), timeout);
//
// Records are {"type":"command",...} and {"type":"snapshot",...}. Fields that a reader does not
// know are ignored, so that an old version can read the records of a new one.

#include "config/configuration.h"

#include <nlohmann/json.hpp>

namespace cicadafork {

nlohmann::json encodeCommand(const Command &command);

/// Nothing when the record is of another type or malformed.
std::optional<Command> decodeCommand(const nlohmann::json &data);

nlohmann::json encodeSnapshot(const Configuration &configuration);

/// Nothing when the record is of another type or malformed.
std::optional<Configuration> decodeSnapshot(const nlohmann::json &data);

/// What one daemon sends to another: a snapshot, records that follow one another, or both.
struct ConfigUpdate
{
    std::optional<Configuration> snapshot;
    std::vector<LogRecord> records; ///< In ascending offset order without gaps.
};

std::string encodeUpdate(const ConfigUpdate &update);

/// Fails with InvalidArgument.
Result<ConfigUpdate> decodeUpdate(const std::string &text);

} // namespace cicadafork
