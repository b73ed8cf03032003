// Runs the soak of the gateway for one seed or a row of seeds; exits with 1 when a promise broke.

// GCC 12 reports a false overlap (GCC bug 105329) in string code that is inlined from cxxopts.
#ifndef __clang__
    #pragma GCC diagnostic ignored "-Wrestrict"
#endif

#include "base/log.h"
#include "soak/soak.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

constexpr std::size_t kMaxShown = 25;

bool runSeed(const SoakOptions &options)
{
    const SoakReport report = runSoak(options);
    std::string outcomes;
    for (const auto &[outcome, count] : report.outcomes)
        outcomes += fmt::format(" [{}: {}]", outcome, count);
    fmt::print("seed {}: {}, {} faults, {} requests, {} unanswered{}\n", options.seed,
               report.broken.empty() ? "holds" : "BROKEN", report.faults, report.requests,
               report.unanswered, outcomes);
    const std::size_t shown = std::min(report.broken.size(), kMaxShown);
    for (std::size_t i = 0; i < shown; ++i)
        fmt::print("  {}\n", report.broken[i]);
    if (shown < report.broken.size())
        fmt::print("  and {} more\n", report.broken.size() - shown);
    if (!report.directory.empty())
        fmt::print("  logs: {}\n", report.directory);
    std::fflush(stdout);
    return report.broken.empty();
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("soak", "Soak of the gateway under faults");
    options.add_options()("seed", "first seed",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
            "seeds", "number of seeds", cxxopts::value<unsigned>()->default_value("1"))(
            "seconds", "length for each seed", cxxopts::value<unsigned>()->default_value("20"))(
            "daemons", "number of gateway processes",
            cxxopts::value<unsigned>()->default_value("3"))(
            "replicas", "number of endpoints, two thirds of them plain",
            cxxopts::value<unsigned>()->default_value("6"))(
            "keep-logs", "keep the logs of seeds that hold, too")("help", "print this text");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            fmt::print("{}", options.help());
            return EXIT_SUCCESS;
        }
        setLogLevel(LogLevel::Error);
        SoakOptions soak;
        soak.length = Millis(1000) * parsed["seconds"].as<unsigned>();
        soak.daemons = parsed["daemons"].as<unsigned>();
        soak.keepLogs = parsed.count("keep-logs") > 0;
        soak.replicas = parsed["replicas"].as<unsigned>();
        unsigned failed = 0;
        const unsigned seeds = parsed["seeds"].as<unsigned>();
        for (unsigned i = 0; i < seeds; ++i) {
            soak.seed = parsed["seed"].as<std::uint64_t>() + i;
            failed += !runSeed(soak);
        }
        fmt::print("{} of {} seeds hold\n", seeds - failed, seeds);
        return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception &problem) {
        fmt::print(stderr, "error: {}\n", problem.what());
        return 2;
    }
}
