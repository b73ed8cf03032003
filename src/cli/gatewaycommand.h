#pragma once

// `cicadafork gateway`: the daemon on the users' platform.

namespace cicadafork {

/// Runs a gateway until SIGTERM or SIGINT has drained it; SIGHUP reads the settings again. Returns
/// an ExitCode.
int runGatewayCommand(int argc, char **argv);

} // namespace cicadafork
