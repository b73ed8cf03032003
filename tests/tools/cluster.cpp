// Starts a small system on loopback, runs a command against it, and ends it again.
//
//   cluster --daemons 8 --engines 8 --services 3 --trace traces/coop.jsonl -- COMMAND ARGUMENT...
//
// The command finds the caller addresses in CICADAFORK_DAEMONS, the operator's credential in
// CICADAFORK_CREDENTIAL, and every process of the system in CICADAFORK_MEMBERS (lines "id pid
// address"). Workspaces and services are created from the trace.

#include "support/eventually.h"
#include "support/systemclient.h"
#include "support/tracecluster.h"

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <csignal>

#include <cstdlib>
#include <sstream>

using namespace cicadafork;
using namespace cicadafork::test;

namespace {

constexpr Millis kReadyTimeout{30'000};
constexpr Millis kCommandLimit{3'600'000};

cxxopts::Options commandLine()
{
    cxxopts::Options options("cluster", "Runs a command against a small system on loopback.");
    const auto count
            = [](const char *value) { return cxxopts::value<std::size_t>()->default_value(value); };
    const auto text
            = [](const char *value) { return cxxopts::value<std::string>()->default_value(value); };
    options.add_options()                                                                  //
            ("daemons", "number of daemons", count("8"))                                   //
            ("engines", "number of model engines", count("8"))                             //
            ("services", "endpoints of the plain service", count("3"))                     //
            ("time-scale", "speed of the engines", text("20"))                             //
            ("trace", "trace that names workspaces and models", text(""))                  //
            ("settings", "YAML added to every daemon's settings", text(""))                //
            ("engine-flags", "flags added to every engine, separated by spaces", text("")) //
            ("empty", "create no service and no workspace")                                //
            ("help", "print this text")                                                    //
            ("command", "command to run", cxxopts::value<std::vector<std::string>>());
    options.parse_positional("command");
    return options;
}

ClusterOptions clusterOptions(const cxxopts::ParseResult &parsed, const TraceFacts &facts)
{
    ClusterOptions options = traceClusterOptions(facts);
    options.daemons = parsed["daemons"].as<std::size_t>();
    options.engines = parsed["engines"].as<std::size_t>();
    options.services = parsed["services"].as<std::size_t>();
    options.timeScale = std::stod(parsed["time-scale"].as<std::string>());
    std::istringstream flags(parsed["engine-flags"].as<std::string>());
    for (std::string flag; flags >> flag;)
        options.engineFlags.push_back(flag);
    options.extraSettings = parsed["settings"].as<std::string>();
    return options;
}

void exportEnvironment(TestCluster &cluster, const ClusterOptions &options)
{
    std::string daemons;
    for (std::size_t i = 0; i < options.daemons; ++i)
        daemons += fmt::format("{}{}", i == 0 ? "" : " ", toString(cluster.daemon(i).address));
    std::string members;
    for (const auto &[id, member] : cluster.members())
        members += fmt::format("{} {} {}\n", id, member.process->id(), toString(member.address));
    setenv("CICADAFORK_DAEMONS", daemons.c_str(), 1);
    setenv("CICADAFORK_MEMBERS", members.c_str(), 1);
    setenv("CICADAFORK_CREDENTIAL", kOperatorCredential, 1);
}

int runCommand(const std::vector<std::string> &command)
{
    const std::vector<std::string> arguments(command.begin() + 1, command.end());
    ChildProcess process(command.front(), arguments, "");
    return process.wait(kCommandLimit).value_or(EXIT_FAILURE);
}

int run(const cxxopts::ParseResult &parsed)
{
    TraceFacts facts{{"tiny"}, {}, {}, {}};
    const std::string path = parsed["trace"].as<std::string>();
    if (!path.empty()) {
        const auto trace = capture([&] { return readTrace(path); });
        if (!trace) {
            fmt::print(stderr, "error: {}\nremedy: {}\n", trace.error().message,
                       trace.error().remedy);
            return EXIT_FAILURE;
        }
        facts = factsOf(*trace);
    }
    const ClusterOptions options = clusterOptions(parsed, facts);
    TestCluster cluster(options);
    cluster.start();
    if (parsed.count("empty") == 0) {
        configureForTrace(cluster, options, facts);
    } else {
        const SystemClient first(cluster.daemon(0).address, kOperatorCredential);
        if (!eventually(kReadyTimeout, [&] { return first.ready(); }))
            throw std::runtime_error("the first daemon does not become ready");
    }
    exportEnvironment(cluster, options);
    return runCommand(parsed["command"].as<std::vector<std::string>>());
}

} // namespace

int main(int argc, char **argv)
{
    // Ctrl-C ends the command; this program then ends the processes, which would else be left
    // behind. The handler is not inherited by the programs that are started.
    std::signal(SIGINT, [](int) {});
    cxxopts::Options options = commandLine();
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0 || parsed.count("command") == 0) {
            fmt::print("{}", options.help());
            return parsed.count("help") > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
        }
        return run(parsed);
    } catch (const std::exception &exception) {
        fmt::print(stderr, "error: {}\n", exception.what());
        return EXIT_FAILURE;
    }
}
