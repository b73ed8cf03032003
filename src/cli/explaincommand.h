#pragma once

// `cicadafork explain ID [FILE...]`: the story of one request from the logs of several machines.

#include <string>
#include <vector>

namespace cicadafork {

/// One log line, split into its parts.
struct LogLine
{
    std::string time; ///< As written; sorts as text.
    std::string level;
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;

    /// Value of a field; empty when absent.
    std::string field(const std::string &name) const;
};

/// Parses a line as logEvent() writes it; text before the time is skipped. False for other lines.
bool parseLogLine(const std::string &text, LogLine &line);

/// What decided the end of a request, in one sentence, from its lines in order of time.
std::string causeOf(const std::vector<LogLine> &story);

/// Prints the story and its cause. Returns an ExitCode: failure when no line names the request.
int runExplainCommand(int argc, char **argv);

} // namespace cicadafork
