#include "cli/explaincommand.h"

#include "cli/commands.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <iostream>
#include <string_view>

namespace cicadafork {

namespace {

constexpr std::size_t kTimeLength = 24; // 2026-01-31T12:00:00.000Z

bool isTime(std::string_view text)
{
    return text.size() >= kTimeLength && text[4] == '-' && text[7] == '-' && text[10] == 'T'
           && text[13] == ':' && text[kTimeLength - 1] == 'Z';
}

std::string nextWord(std::string_view &rest)
{
    while (!rest.empty() && rest.front() == ' ')
        rest.remove_prefix(1);
    const std::size_t end = std::min(rest.find(' '), rest.size());
    std::string word(rest.substr(0, end));
    rest.remove_prefix(end);
    return word;
}

/// A value, without its quotes.
std::string nextValue(std::string_view &rest)
{
    if (rest.empty() || rest.front() != '"')
        return nextWord(rest);
    rest.remove_prefix(1);
    std::string value;
    while (!rest.empty() && rest.front() != '"') {
        if (rest.front() == '\\' && rest.size() > 1)
            rest.remove_prefix(1);
        value += rest.front();
        rest.remove_prefix(1);
    }
    if (!rest.empty())
        rest.remove_prefix(1);
    return value;
}

struct ReasonText
{
    const char *reason;
    const char *text;
};

constexpr std::array<ReasonText, 28> kReasons = {{
        {"no_endpoint",
         "no endpoint could take it in time; its queued line counts what was in the way"},
        {"no_connection", "the endpoint could not be reached"},
        {"not_sent_in_time", "the daemon was paused before it could write it to the endpoint"},
        {"no_answer", "the connection to the endpoint broke before an answer"},
        {"broken_answer", "the endpoint's answer broke off"},
        {"silent", "the endpoint sent nothing for longer than its silence limit"},
        {"endpoint_error", "the endpoint answered with a failure of its own"},
        {"endpoint_refused", "the endpoint stated that it did not run the request"},
        {"event_without_id",
         "the endpoint that was to go on with the stream answered something else"},
        {"event_malformed", "the endpoint's stream held lines that belong to no event"},
        {"refused_without_promise",
         "the endpoint refused it without stating that it has not run, so it may have"},
        {"endpoints_quiet",
         "all endpoints that could serve it had asked for quiet (Retry-After) for longer than it "
         "could wait"},
        {"endpoint_withdrew",
         "while memory was reserved for it, an endpoint said that it leaves or wants no requests"},
        {"memory_unused",
         "the endpoint did not begin the request, or dropped it, while memory was reserved for it"},
        {"memory_not_reserved", "memory for a large prompt was not free at the endpoints"},
        {"deadline", "its deadline, or the route's timeout, passed"},
        {"shutting_down", "the daemon's grace period ended"},
        {"no_retry_budget", "the shared budget of second sends was used up"},
        {"unknown_key", "no workspace holds its key in the configuration named"},
        {"no_route", "no route matches its host and path in the configuration named"},
        {"no_configuration", "the daemon knew no configuration yet"},
        {"arrived_too_late", "its deadline had passed when it was complete"},
        {"incomplete_request", "it did not arrive in full within the limits"},
        {"too_many_connections",
         "the daemon had too many callers' connections, or no file descriptors left"},
        {"no_room_for_body",
         "the bodies of other requests took the memory that the daemon has for them"},
        {"body_too_large", "its body is larger than the configuration allows"},
        {"head_too_large", "its head is larger than the configuration allows"},
        {"malformed_request", "it was not valid HTTP"},
}};

std::string reasonText(const std::string &reason)
{
    for (const ReasonText &known : kReasons) {
        if (reason == known.reason)
            return known.text;
    }
    return reason;
}

} // namespace

std::string LogLine::field(const std::string &name) const
{
    const auto found = std::ranges::find(fields, name, &std::pair<std::string, std::string>::first);
    return found == fields.end() ? std::string() : found->second;
}

bool parseLogLine(const std::string &text, LogLine &line)
{
    std::size_t at = 0;
    while (at < text.size() && !isTime(std::string_view(text).substr(at)))
        ++at;
    if (at == text.size())
        return false;
    std::string_view rest = std::string_view(text).substr(at);
    line = {};
    line.time = nextWord(rest);
    line.level = nextWord(rest);
    line.event = nextWord(rest);
    while (!rest.empty()) {
        rest.remove_prefix(1);
        const std::size_t equals = rest.find('=');
        if (equals == std::string_view::npos)
            break;
        std::string name(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        line.fields.emplace_back(std::move(name), nextValue(rest));
    }
    return !line.event.empty();
}

std::string causeOf(const std::vector<LogLine> &story)
{
    std::string outcome = "no end is logged: the process ended, or the lines were dropped";
    std::string reason;
    std::string endpoint;
    std::string statements;
    for (const LogLine &line : story) {
        if (line.event == "endpoint_leaving")
            statements += fmt::format("; endpoint {} said that it leaves", line.field("endpoint"));
        if (line.event == "endpoint_quiet")
            statements += fmt::format("; endpoint {} wanted no requests for {} ms",
                                      line.field("endpoint"), line.field("for_ms"));
        const bool decides = line.event == "refused" || line.event == "failed"
                             || line.event == "broken_off" || line.event == "rejected"
                             || line.event == "attempt_failed";
        if (decides) {
            reason = line.field("reason");
            if (line.event == "attempt_failed")
                endpoint = line.field("endpoint");
        }
        if (line.event == "rejected")
            outcome = "rejected with " + line.field("status");
        if (line.event == "ended")
            outcome = line.field("outcome");
    }
    if (outcome == "caller_left" && reason.empty())
        return "caller_left: the caller closed its connection";
    if (reason.empty())
        return outcome + statements;
    const std::string where = endpoint.empty() ? "" : fmt::format(" (endpoint {})", endpoint);
    return fmt::format("{}: {}{}{}", outcome, reasonText(reason), where, statements);
}

int runExplainCommand(int argc, char **argv)
{
    const std::string id = argc > 1 ? argv[1] : "";
    if (id.empty() || id == "--help") {
        fmt::print("usage: cicadafork explain ID [FILE...]\nPrints what the logs of one or several "
                   "machines say of a request, in order of time, and what decided its end. Reads "
                   "standard input without files.\n");
        return id.empty() ? ExitUsage : ExitSuccess;
    }
    std::vector<LogLine> story;
    const auto collect = [&](std::istream &input) {
        LogLine line;
        for (std::string text; std::getline(input, text);) {
            if (parseLogLine(text, line) && line.field("request") == id)
                story.push_back(line);
        }
    };
    for (int i = 2; i < argc; ++i) {
        std::ifstream file(argv[i]);
        if (!file) {
            fmt::print(stderr, "error: {} cannot be read; check the path and its permissions\n",
                       argv[i]);
            return ExitUsage;
        }
        collect(file);
    }
    if (argc == 2)
        collect(std::cin);
    if (story.empty()) {
        fmt::print(stderr,
                   "error: no line names request {}; give the logs of all daemons of its failure "
                   "domain, of the time of the request\n",
                   id);
        return ExitFailure;
    }
    std::ranges::stable_sort(story, {}, &LogLine::time);
    for (const LogLine &line : story) {
        fmt::print("{} {:<15}", line.time, line.event);
        for (const auto &[name, value] : line.fields) {
            if (name != "request")
                fmt::print(" {}={}", name, value);
        }
        fmt::print("\n");
    }
    fmt::print("cause: {}\n", causeOf(story));
    return ExitSuccess;
}

} // namespace cicadafork
