#pragma once

// `cicadafork serve --config FILE` and `cicadafork check-config FILE`.

namespace cicadafork {

/// Runs a daemon until SIGTERM or SIGINT has drained it; a second signal ends it at once. Returns
/// an ExitCode.
int runServeCommand(int argc, char **argv);

/// Reads and checks a settings file; prints every problem. Returns an ExitCode.
int runCheckConfigCommand(int argc, char **argv);

} // namespace cicadafork
