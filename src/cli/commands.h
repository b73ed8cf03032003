#pragma once

// The command line of the cicadafork binary.

namespace cicadafork {

/// Exit codes, the same for every subcommand.
enum ExitCode {
    ExitSuccess = 0,
    ExitFailure = 1, ///< The command ran and failed, for example a refused configuration change.
    ExitUsage = 2,   ///< The arguments or the settings are wrong.
    ExitUnreachable = 3, ///< The daemon did not answer.
};

/// Runs the subcommand named by argv[1] and returns its exit code.
int runCommandLine(int argc, char **argv);

} // namespace cicadafork
