#pragma once

// The command line of the cicadafork binary.

namespace cicadafork {

/// Exit codes, the same for every subcommand.
enum ExitCode {
    ExitSuccess = 0,
    ExitFailure = 1, ///< The command ran and failed, for example a refused configuration change.
    ExitUsage = 2,   ///< The arguments or the settings are wrong.
    ExitUnreachable = 3, ///< The daemon, or the log it needs, did not answer; nothing changed.
    ExitNotInForce = 4,  ///< The change is accepted, but not yet in force at every member.
    ExitUnknown = 5,     ///< The command may or may not take effect; the history shows it.
};

/// Runs the subcommand named by argv[1] and returns its exit code.
int runCommandLine(int argc, char **argv);

} // namespace cicadafork
