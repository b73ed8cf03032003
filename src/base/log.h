#pragma once

// Structured log lines on standard output, one for each decision or change of state.
//
//   logEvent(LogLevel::Info, "endpoint_state_changed", {{"endpoint", id}, {"state", "leaving"}});

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace cicadafork {

enum class LogLevel { Debug, Info, Warning, Error };

using LogField = std::pair<std::string_view, std::string>;

/// Lines below this level are dropped. Thread-safe.
void setLogLevel(LogLevel level);

/// Text that is added to every line, for example the member id. Call it before threads start.
void setLogContext(std::string context);

/// Takes over all lines; nullptr goes back to standard output. Call it before threads start.
void setLogSink(std::function<void(std::string_view)> sink);

/// Writes "time level event key=value ..."; values with spaces or quotes are quoted.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

} // namespace cicadafork
