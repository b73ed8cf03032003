#pragma once

// Files of a load run: summary.json, table.txt and ttft.svg.
//
//   auto written = capture([&] { return writeReport(run, seed, "out"); });

#include "base/error.h"

#include <nlohmann/json.hpp>

#include <string>

namespace cicadafork {

/// Table of a run as returned by summarise().
std::string formatRunTable(const nlohmann::json &run);

/// Bars of the 50th, 95th and 99th percentile of the time to first token by prompt length class, on
/// a logarithmic scale from 1 ms.
std::string plotFirstToken(const nlohmann::json &run);

/// Creates the directory. Fails with Unavailable when a file cannot be written.
Result<void> writeReport(const nlohmann::json &run, std::uint64_t seed,
                         const std::string &directory);

} // namespace cicadafork
