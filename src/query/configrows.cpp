#include "query/configrows.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace cicadafork {

namespace {

std::string joinValues(const std::set<std::string> &values)
{
    return fmt::format("{}", fmt::join(values, ","));
}

std::string formatUtc(WallTime time)
{
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}Z",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(time)));
}

/// Shortens the hashes of credentials in a command. A full hash would fill a line and would let an
/// attacker verify guessed credentials.
std::string shortenHashes(std::string text)
{
    constexpr std::size_t kHashDigits = 64;
    constexpr std::size_t kShownDigits = 8;
    std::size_t begin = 0;
    while ((begin = text.find_first_of("0123456789abcdef", begin)) != std::string::npos) {
        const std::size_t end
                = std::min(text.find_first_not_of("0123456789abcdef", begin), text.size());
        if (end - begin == kHashDigits)
            text.replace(begin, kHashDigits, text.substr(begin, kShownDigits) + "...");
        begin = std::min(end, text.size());
    }
    return text;
}

} // namespace

ResultTable serviceRows(const Configuration &configuration)
{
    ResultTable table{
            {"id", "kind", "state", "models", "non_repeatable", "priority", "version"}, {}, {}};
    for (const auto &[id, service] : configuration.services) {
        table.rows.push_back({id, toString(service.kind), toString(service.state),
                              joinValues(service.models), joinValues(service.nonRepeatable),
                              toString(service.priority), std::to_string(service.version)});
    }
    return table;
}

ResultTable workspaceRows(const Configuration &configuration)
{
    ResultTable table{{"id", "services", "requests_per_second", "share", "version"}, {}, {}};
    for (const auto &[id, workspace] : configuration.workspaces) {
        table.rows.push_back(
                {id, joinValues(workspace.services), fmt::format("{}", workspace.requestsPerSecond),
                 fmt::format("{}", workspace.share), std::to_string(workspace.version)});
    }
    return table;
}

ResultTable historyRows(const Configuration &configuration)
{
    ResultTable table{{"offset", "time", "operator", "accepted", "command", "reason"}, {}, {}};
    for (auto entry = configuration.history.rbegin(); entry != configuration.history.rend();
         ++entry) {
        table.rows.push_back({std::to_string(entry->offset), formatUtc(entry->time),
                              entry->operatorName, entry->accepted ? "yes" : "no",
                              shortenHashes(entry->text), entry->reason});
    }
    return table;
}

} // namespace cicadafork
