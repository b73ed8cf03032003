#include "base/log.h"

#include "base/clock.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <atomic>
#include <cstdio>

namespace cicadafork {

namespace {

std::atomic<LogLevel> minimumLevel{LogLevel::Info};

std::string &logContext()
{
    static std::string context;
    return context;
}

std::function<void(std::string_view)> &logSink()
{
    static std::function<void(std::string_view)> sink;
    return sink;
}

const char *levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

void appendValue(std::string &line, std::string_view value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string_view::npos) {
        line += value;
        return;
    }
    line += '"';
    for (char character : value) {
        if (character == '"' || character == '\\') {
            line += '\\';
            line += character;
        } else if (static_cast<unsigned char>(character) < ' ') {
            fmt::format_to(std::back_inserter(line), "\\x{:02x}", character);
        } else {
            line += character;
        }
    }
    line += '"';
}

} // namespace

void setLogLevel(LogLevel level)
{
    minimumLevel = level;
}

void setLogContext(std::string context)
{
    logContext() = std::move(context);
}

void setLogSink(std::function<void(std::string_view)> sink)
{
    logSink() = std::move(sink);
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    if (level < minimumLevel.load(std::memory_order_relaxed))
        return;
    const auto now = wallNow();
    const auto millis = sinceEpoch(now).count() % 1000;
    std::string line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {}",
                                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis,
                                   levelName(level), event);
    if (!logContext().empty())
        fmt::format_to(std::back_inserter(line), " {}", logContext());
    for (const LogField &field : fields) {
        fmt::format_to(std::back_inserter(line), " {}=", field.first);
        appendValue(line, field.second);
    }
    line += '\n';
    if (logSink()) {
        logSink()(line);
        return;
    }
    // One write per line, so that lines of several threads do not mix.
    std::fwrite(line.data(), 1, line.size(), stdout);
    std::fflush(stdout);
}

} // namespace cicadafork
