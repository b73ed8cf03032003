#pragma once

// `cicadafork ctl ADDRESS 'STATEMENT'` and `cicadafork dump ADDRESS`.

namespace cicadafork {

/// Runs one statement, or every line of a file, on a daemon; returns an ExitCode.
int runCtlCommand(int argc, char **argv);

/// Prints the state dump of a daemon as JSON; returns an ExitCode.
int runDumpCommand(int argc, char **argv);

} // namespace cicadafork
