#include "cli/commands.h"

#include "cli/ctlcommand.h"
#include "cli/explaincommand.h"
#include "cli/gatewaycommand.h"
#include "cli/loadcommand.h"
#include "cli/servecommand.h"

#include <fmt/format.h>

#include <array>
#include <cstdio>
#include <string_view>

namespace cicadafork {

namespace {

constexpr const char *kVersion = "0.1.0";

int printVersion(int, char **)
{
    fmt::print("cicadafork {}\n", kVersion);
    return ExitSuccess;
}

struct Subcommand
{
    const char *name;
    const char *summary;
    int (*run)(int argc, char **argv); ///< argv[0] is the name of the subcommand.
};

constexpr std::array<Subcommand, 8> kSubcommands = {{
        {"serve", "run the daemon of an entry VM", runServeCommand},
        {"gateway", "run the daemon on the users' platform", runGatewayCommand},
        {"check-config", "check a settings file", runCheckConfigCommand},
        {"ctl", "run an operator's query or command", runCtlCommand},
        {"explain", "print the story of a request from log files", runExplainCommand},
        {"dump", "print the state of a daemon as JSON", runDumpCommand},
        {"load", "replay a trace and check every answer", runLoadCommand},
        {"version", "print the version", printVersion},
}};

void printUsage(std::FILE *stream)
{
    fmt::print(stream, "usage: cicadafork COMMAND [OPTIONS]\n\n");
    for (const Subcommand &subcommand : kSubcommands)
        fmt::print(stream, "  {:<14}{}\n", subcommand.name, subcommand.summary);
    fmt::print(stream,
               "\nEvery command has --help. Exit codes: 0 success, 1 the command failed, "
               "2 wrong arguments, statement or settings, 3 the daemon or the log did not answer "
               "(nothing changed), 4 accepted but not yet in force everywhere, 5 outcome "
               "unknown: look at the history.\n");
}

} // namespace

int runCommandLine(int argc, char **argv)
{
    const std::string_view name = argc > 1 ? argv[1] : "";
    for (const Subcommand &subcommand : kSubcommands) {
        if (name == subcommand.name)
            return subcommand.run(argc - 1, argv + 1);
    }
    const bool help = name == "--help" || name == "help";
    printUsage(help ? stdout : stderr);
    return help ? ExitSuccess : ExitUsage;
}

} // namespace cicadafork
