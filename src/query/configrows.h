#pragma once

// Result tables with the contents of a configuration.

#include "config/configuration.h"
#include "query/resulttable.h"

namespace cicadafork {

ResultTable serviceRows(const Configuration &configuration);
ResultTable workspaceRows(const Configuration &configuration);
/// Accepted and rejected changes, newest first. Hashes of credentials are shortened.
ResultTable historyRows(const Configuration &configuration);

} // namespace cicadafork
