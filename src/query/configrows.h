#pragma once

// Result tables made from the configuration in force.

#include "config/configuration.h"
#include "query/resulttable.h"

namespace cicadafork {

ResultTable serviceRows(const Configuration &configuration);
ResultTable workspaceRows(const Configuration &configuration);
/// Newest change first.
ResultTable historyRows(const Configuration &configuration);

} // namespace cicadafork
