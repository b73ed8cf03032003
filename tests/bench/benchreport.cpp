#include "bench/benchreport.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace cicadafork::bench {

namespace {

using Json = nlohmann::json;

constexpr const char *kLengths[] = {"1k", "10k", "100k", "1m"};
constexpr const char *kColours[] = {"#4477aa", "#66ccee", "#ddaa33", "#bb5566"};

std::string number(const Json &value)
{
    return value.is_number() ? fmt::format("{:.2f}", value.get<double>()) : "-";
}

std::string percentileOf(const Json &distribution, const char *name)
{
    return distribution.is_null() ? "-" : number(distribution.at(name));
}

std::string runLine(const Json &run)
{
    std::string cpu;
    for (const auto &[kind, cores] : run.at("cpu_cores").items())
        cpu += fmt::format(" {}={}", kind, number(cores));
    const auto text = [&](const char *key) { return run.at(key).dump(); };
    return fmt::format("{} {}: short slowdown p95 {}, goodput share {}, requests {}, completed {}, "
                       "failed in time {}, overdue {}, duplicated {}, lost {}, late starts {}, "
                       "valid {}\n  CPU cores:{}\n",
                       run.at("fleet").get<std::string>(), run.at("policy").get<std::string>(),
                       number(run.at("short_slowdown_p95")), number(run.at("goodput_share")),
                       text("requests"), text("completed"), text("failed_in_time"), text("overdue"),
                       text("duplicated"), text("lost"), text("late_starts"), text("valid"), cpu);
}

} // namespace

std::string formatBenchTable(const Json &summary)
{
    std::string text;
    for (const Json &run : summary.at("runs")) {
        text += runLine(run);
        text += fmt::format("  {:<6}{:>11}{:>11}{:>11}{:>12}{:>14}{:>16}\n", "length", "p50 ms",
                            "p95 ms", "p99 ms", "ideal p95", "p95/ideal p95", "p95 of ratios");
        for (const char *length : kLengths) {
            const Json &times = run.at("ttft_ms").at(length);
            const Json &ideal = run.at("ideal_ttft_ms").at(length).at("p95");
            const std::string ratio
                    = times.is_null() || ideal.get<double>() <= 0
                              ? "-"
                              : number(times.at("p95").get<double>() / ideal.get<double>());
            text += fmt::format("  {:<6}{:>11}{:>11}{:>11}{:>12}{:>14}{:>16}\n", length,
                                percentileOf(times, "p50"), percentileOf(times, "p95"),
                                percentileOf(times, "p99"), number(ideal), ratio,
                                number(run.at("ttft_over_ideal_p95").at(length)));
        }
    }
    return text;
}

std::string plotBench(const Json &summary)
{
    constexpr double kBase = 320;
    constexpr double kDecade = 90; // Pixels; 3 decades reach 1,000 times ideal.
    constexpr double kGroup = 90;
    const Json &runs = summary.at("runs");
    const double width = 80 + kGroup * static_cast<double>(runs.size());
    std::string svg = fmt::format(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{}\" height=\"400\" "
            "font-family=\"sans-serif\" font-size=\"11\">\n<text x=\"50\" y=\"20\">p95 time to "
            "first token over ideal, for prompts of 1k, 10k, 100k and 1m tokens</text>\n",
            width);
    for (int decade = 0; decade <= 3; ++decade) {
        const double y = kBase - kDecade * decade;
        svg += fmt::format("<line x1=\"50\" x2=\"{0}\" y1=\"{1}\" y2=\"{1}\" stroke=\"#ccc\"/>"
                           "<text x=\"45\" y=\"{1}\" text-anchor=\"end\">{2}</text>\n",
                           width, y, std::pow(10.0, decade));
    }
    for (std::size_t i = 0; i < runs.size(); ++i) {
        const double x = 55 + kGroup * static_cast<double>(i);
        svg += fmt::format("<text x=\"{0}\" y=\"340\">{1}</text><text x=\"{0}\" y=\"355\" "
                           "font-size=\"8\">{2}</text>\n",
                           x, runs[i].at("fleet").get<std::string>(),
                           runs[i].at("policy").get<std::string>());
        for (int bar = 0; bar < 4; ++bar) {
            const double ratio = runs[i].at("ttft_over_ideal_p95").at(kLengths[bar]).get<double>();
            const double height = kDecade * std::log10(std::clamp(ratio, 1.0, 1000.0));
            svg += fmt::format("<rect x=\"{}\" y=\"{:.1f}\" width=\"16\" height=\"{:.1f}\" "
                               "fill=\"{}\"/>\n",
                               x + 18 * bar, kBase - height, height, kColours[bar]);
        }
    }
    return svg + "</svg>\n";
}

void writeBenchReport(const Json &summary, const std::string &directory)
{
    std::filesystem::create_directories(directory);
    const std::pair<const char *, std::string> files[] = {{"summary.json", summary.dump(2) + '\n'},
                                                          {"table.txt", formatBenchTable(summary)},
                                                          {"ttft.svg", plotBench(summary)}};
    for (const auto &[name, content] : files) {
        std::ofstream file(std::filesystem::path(directory) / name);
        file << content;
        file.close();
        if (!file)
            throw std::runtime_error(fmt::format("cannot write {} in {}", name, directory));
    }
}

} // namespace cicadafork::bench
