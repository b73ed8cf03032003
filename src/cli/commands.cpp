#include "cli/commands.h"

#include <fmt/format.h>

#include <cstdio>
#include <string_view>

namespace cicadafork {

namespace {

constexpr const char *kVersion = "0.1.0";

constexpr const char *kUsage = "usage: cicadafork COMMAND [OPTIONS]\n"
                               "commands: serve, check-config, ctl, dump, load, version\n"
                               "run 'cicadafork COMMAND --help' for the options of a command\n";

} // namespace

int runCommandLine(int argc, char **argv)
{
    const std::string_view command = argc > 1 ? argv[1] : "";
    if (command == "version") {
        fmt::print("cicadafork {}\n", kVersion);
        return ExitSuccess;
    }
    if (command == "--help" || command == "help") {
        fmt::print("{}", kUsage);
        return ExitSuccess;
    }
    fmt::print(stderr, "{}", kUsage);
    return ExitUsage;
}

} // namespace cicadafork
