// Runs the proofs and prints one row for each: NAME HOLDS|FAILS faults=N requests=N figure.

#include "proofs/proof.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <array>
#include <cstdlib>
#include <exception>

using namespace cicadafork::test;

namespace {

struct Proof
{
    const char *name;
    ProofResult (*run)(const ProofOptions &options);
};

constexpr std::array<Proof, 8> kProofs = {{
        {"finish-in-time", proveFinishInTime},
        {"engine-memory", proveEngineMemory},
        {"own-whole-answer", proveOwnWholeAnswer},
        {"not-run-is-true", proveNotRunIsTrue},
        {"at-most-once", proveAtMostOnce},
        {"leaving-endpoint", proveLeavingEndpoint},
        {"graceful-shutdown", proveGracefulShutdown},
        {"configuration-holds", proveConfigurationHolds},
}};

constexpr std::size_t kViolationsShown = 10;

ProofResult runGuarded(const Proof &proof, const ProofOptions &options)
{
    try {
        return proof.run(options);
    } catch (const std::exception &exception) {
        ProofResult result;
        result.figure = "not judged";
        result.violations.push_back(fmt::format("the run ended early: {}", exception.what()));
        return result;
    }
}

bool report(const Proof &proof, const ProofOptions &options)
{
    const ProofResult result = runGuarded(proof, options);
    const bool holds = result.violations.empty();
    fmt::print("{} {} faults={} requests={} {}\n", proof.name, holds ? "HOLDS" : "FAILS",
               result.faults, result.requests, result.figure);
    for (std::size_t i = 0; i < result.violations.size() && i < kViolationsShown; ++i)
        fmt::print("  {}\n", result.violations[i]);
    if (!holds)
        fmt::print("  repeat with: scripts/proofs.sh --seed {} --only {}\n", options.seed,
                   proof.name);
    std::fflush(stdout);
    return holds;
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options commandLine("proofs", "Proves the guarantees under injected faults.");
    commandLine.add_options() //
            ("seed", "chooses faults and requests",
             cxxopts::value<std::uint64_t>()->default_value("1"))                       //
            ("only", "run one proof", cxxopts::value<std::string>()->default_value("")) //
            ("brief", "inject fewer faults")                                            //
            ("help", "print this text");
    try {
        const auto parsed = commandLine.parse(argc, argv);
        if (parsed.count("help") > 0) {
            fmt::print("{}", commandLine.help());
            return EXIT_SUCCESS;
        }
        const ProofOptions options{parsed["seed"].as<std::uint64_t>(), parsed.count("brief") > 0};
        const auto only = parsed["only"].as<std::string>();
        bool allHold = true;
        bool any = false;
        for (const Proof &proof : kProofs) {
            if (!only.empty() && only != proof.name)
                continue;
            any = true;
            allHold = report(proof, options) && allHold;
        }
        if (!any)
            fmt::print(stderr, "error: no proof is named '{}'\n", only);
        return any && allHold ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const cxxopts::exceptions::exception &exception) {
        fmt::print(stderr, "error: {}\n{}", exception.what(), commandLine.help());
        return EXIT_FAILURE;
    }
}
