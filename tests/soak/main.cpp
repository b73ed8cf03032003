// Runs the soak of the gateway for one seed or a row of seeds; exits with 1 when a promise broke.

// GCC 12 reports a false overlap (GCC bug 105329) in string code that is inlined from cxxopts.
#ifndef __clang__
    #pragma GCC diagnostic ignored "-Wrestrict"
#endif

#include "base/log.h"
#include "soak/soak.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <cstdlib>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

bool runSeed(std::uint64_t seed, Millis length)
{
    const SoakReport report = runSoak({.seed = seed, .length = length});
    std::string outcomes;
    for (const auto &[outcome, count] : report.outcomes)
        outcomes += fmt::format(" [{}: {}]", outcome, count);
    fmt::print("seed {}: {}, {} faults{}\n", seed, report.broken.empty() ? "holds" : "BROKEN",
               report.faults, outcomes);
    for (const std::string &broken : report.broken)
        fmt::print("  {}\n", broken);
    return report.broken.empty();
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("soak", "Soak of the gateway under faults");
    options.add_options()("seed", "first seed",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
            "seeds", "number of seeds", cxxopts::value<unsigned>()->default_value("1"))(
            "seconds", "length for each seed",
            cxxopts::value<unsigned>()->default_value("20"))("help", "print this text");
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            fmt::print("{}", options.help());
            return EXIT_SUCCESS;
        }
        setLogLevel(LogLevel::Error);
        bool holds = true;
        for (unsigned i = 0; i < parsed["seeds"].as<unsigned>(); ++i)
            holds = runSeed(parsed["seed"].as<std::uint64_t>() + i,
                            Millis(1000) * parsed["seconds"].as<unsigned>())
                    && holds;
        return holds ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception &problem) {
        fmt::print(stderr, "error: {}\n", problem.what());
        return 2;
    }
}
