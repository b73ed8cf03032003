#pragma once

// The files of a benchmark: summary.json, table.txt and ttft.svg.
//
//   writeBenchReport({{"seed", 1}, {"runs", runs}}, "out");

#include <nlohmann/json.hpp>

#include <string>

namespace cicadafork::bench {

/// One line for each run and length, with the figures that section 12 of the design page bounds.
std::string formatBenchTable(const nlohmann::json &summary);

/// p95 of the time to first token over the ideal by fleet, policy and length; logarithmic.
std::string plotBench(const nlohmann::json &summary);

/// Throws std::runtime_error when a file cannot be written.
void writeBenchReport(const nlohmann::json &summary, const std::string &directory);

} // namespace cicadafork::bench
