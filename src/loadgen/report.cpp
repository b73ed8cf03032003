#include "loadgen/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>

namespace cicadafork {

namespace {

using Json = nlohmann::json;

constexpr const char *kLengths[] = {"1k", "10k", "100k", "1m"};
constexpr const char *kPercentiles[] = {"p50", "p95", "p99"};
constexpr const char *kColours[] = {"#4477aa", "#ddaa33", "#bb5566"};

std::string formatValue(const Json &distribution, const char *percentile)
{
    if (distribution.is_null())
        return "-";
    return fmt::format("{:.1f}", distribution.at(percentile).get<double>());
}

std::string formatRow(const std::string &name, const std::string &length, const Json &values)
{
    return fmt::format("{:<14} {:<5} {:>10} {:>10} {:>10}\n", name, length,
                       formatValue(values, "p50"), formatValue(values, "p95"),
                       formatValue(values, "p99"));
}

} // namespace

std::string formatRunTable(const Json &run)
{
    std::string text = fmt::format("{:<14} {:<5} {:>10} {:>10} {:>10}\n", "ms", "class", "p50",
                                   "p95", "p99");
    for (const char *name : {"ttft_ms", "token_gap_ms"}) {
        for (const char *length : kLengths)
            text += formatRow(name, length, run.at(name).at(length));
    }
    for (const char *name : {"requests", "overdue", "late_starts", "unexpected"})
        text += fmt::format("{:<20} {:>10}\n", name, run.at(name).get<std::size_t>());
    for (const char *group : {"outcomes", "refusals"}) {
        for (const auto &[name, count] : run.at(group).items())
            text += fmt::format("{} {}: {}\n", group, name, count.get<int>());
    }
    return text;
}

std::string plotFirstToken(const Json &run)
{
    constexpr double kBase = 300;
    constexpr double kDecade = 50; // Pixels; 5 decades reach 100 s.
    std::string svg = "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"520\" height=\"340\" "
                      "font-family=\"sans-serif\" font-size=\"12\">\n"
                      "<text x=\"60\" y=\"20\">time to first token, ms (p50, p95, p99)</text>\n";
    for (int decade = 0; decade <= 5; ++decade) {
        const double y = kBase - kDecade * decade;
        svg += fmt::format("<line x1=\"60\" x2=\"510\" y1=\"{0}\" y2=\"{0}\" stroke=\"#ccc\"/>"
                           "<text x=\"55\" y=\"{0}\" text-anchor=\"end\">{1}</text>\n",
                           y, std::pow(10.0, decade));
    }
    for (int group = 0; group < 4; ++group) {
        const Json &values = run.at("ttft_ms").at(kLengths[group]);
        svg += fmt::format("<text x=\"{}\" y=\"320\">{}</text>\n", 95 + 110 * group,
                           kLengths[group]);
        for (int bar = 0; bar < 3 && !values.is_null(); ++bar) {
            const double value = std::max(1.0, values.at(kPercentiles[bar]).get<double>());
            const double height = kDecade * std::log10(value);
            svg += fmt::format("<rect x=\"{}\" y=\"{:.1f}\" width=\"24\" height=\"{:.1f}\" "
                               "fill=\"{}\"/>\n",
                               70 + 110 * group + 27 * bar, kBase - height, height, kColours[bar]);
        }
    }
    return svg + "</svg>\n";
}

Result<void> writeReport(const Json &run, std::uint64_t seed, const std::string &directory)
{
    std::error_code ignored;
    std::filesystem::create_directories(directory, ignored);
    const std::pair<const char *, std::string> files[]
            = {{"summary.json", Json{{"seed", seed}, {"runs", {run}}}.dump(2) + '\n'},
               {"table.txt", formatRunTable(run)},
               {"ttft.svg", plotFirstToken(run)}};
    for (const auto &[name, content] : files) {
        std::ofstream file(std::filesystem::path(directory) / name);
        file << content;
        file.close();
        if (!file) {
            return fail(ErrorCode::Unavailable,
                        fmt::format("cannot write {} in {}", name, directory),
                        "name a directory that can be written");
        }
    }
    return {};
}

} // namespace cicadafork
