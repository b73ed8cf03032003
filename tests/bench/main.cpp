// Compares the routing policies on generated traces of both users' days.
//
//   CICADAFORK_BIN_DIR=build build/bench --seed 1 --out DIR [--fleet coop] [--quick]

#include "bench/benchreport.h"
#include "bench/benchrun.h"
#include "support/workload.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>

// After the other headers, because it defines new as a macro.

using namespace cicadafork;
using namespace cicadafork::bench;

namespace {

constexpr double kLoad = 0.7;

struct Length
{
    double timeScale;
    Millis arrivals;
};

// At scale 4 a 1k prompt takes 14.5 ms, so that the daemon's 2 ms are a seventh of it, and a 1M
// prompt takes 14 s, so that 24 replays end within 15 minutes.
constexpr Length kFull{4, Millis(22'000)};
constexpr Length kQuick{8, Millis(6'000)};

cxxopts::Options commandLine()
{
    cxxopts::Options options("bench", "Compares the routing policies on generated traces.");
    auto add = options.add_options();
    add("seed", "seed of the traces", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("out", "directory of the report", cxxopts::value<std::string>());
    add("fleet", "karri-ridge or coop; both without it", cxxopts::value<std::string>());
    add("policy", "only this policy, for example adaptive-shared", cxxopts::value<std::string>());
    add("quick", "shorter traces and faster engines");
    add("help", "print this text");
    return options;
}

int run(const cxxopts::ParseResult &parsed)
{
    const auto seed = parsed["seed"].as<std::uint64_t>();
    const auto directory = parsed["out"].as<std::string>();
    const Length length = parsed.count("quick") > 0 ? kQuick : kFull;
    std::vector<std::string> fleets = {"karri-ridge", "coop"};
    if (parsed.count("fleet") > 0)
        fleets = {parsed["fleet"].as<std::string>()};
    std::filesystem::create_directories(directory);
    nlohmann::json summary = {{"seed", seed}, {"runs", nlohmann::json::array()}};
    for (const std::string &fleet : fleets) {
        Conditions conditions;
        conditions.fleet = fleet;
        conditions.engine.timeScale = length.timeScale;
        conditions.load = kLoad;
        conditions.directory = directory;
        GenerateOptions generate;
        generate.profile = fleet;
        generate.seed = seed;
        conditions.trace = test::traceAtLoad(generate, {.load = kLoad, .duration = length.arrivals},
                                             conditions.engine);
        for (const Policy &policy : allPolicies()) {
            if (parsed.count("policy") > 0 && parsed["policy"].as<std::string>() != policy.name())
                continue;
            nlohmann::json result = runPolicy(policy, conditions);
            fmt::print("{}", formatBenchTable({{"runs", {result}}}));
            std::fflush(stdout);
            summary["runs"].push_back(std::move(result));
            writeBenchReport(summary, directory);
        }
    }
    return summary["runs"].empty() ? EXIT_FAILURE : EXIT_SUCCESS;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options = commandLine();
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0 || parsed.count("out") == 0) {
            fmt::print("{}", options.help());
            return parsed.count("help") > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
        }
        return run(parsed);
    } catch (const std::exception &exception) {
        fmt::print(stderr, "error: {}\n", exception.what());
        return EXIT_FAILURE;
    }
}
