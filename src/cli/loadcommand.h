#pragma once

// The command "cicadafork load".

namespace cicadafork {

/// Runs the command; argv[0] is its name. Returns an ExitCode.
int runLoadCommand(int argc, char **argv);

} // namespace cicadafork
