#pragma once

// A cluster with the workspaces, services and models that a trace names.
//
//   const TraceFacts facts = factsOf(trace);
//   TestCluster cluster(traceClusterOptions(facts));
//   cluster.start();
//   configureForTrace(cluster, facts);

#include "loadgen/trace.h"
#include "support/systemclient.h"
#include "support/testcluster.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cicadafork::test {

struct TraceFacts
{
    std::set<std::string> models;
    std::set<std::string> plainServices;
    std::set<std::string> keyedOperations;
    std::map<std::string, std::string> credentials; ///< By workspace.
};

TraceFacts factsOf(const std::vector<TraceRequest> &trace);

/// Options whose engines have the models of the trace and whose plain service is the trace's.
ClusterOptions traceClusterOptions(const TraceFacts &facts);

/// Creates the services and workspaces, and waits until every daemon can send to every endpoint.
/// Throws std::runtime_error when that takes longer than 30 s.
void configureForTrace(TestCluster &cluster, const ClusterOptions &options,
                       const TraceFacts &facts);

} // namespace cicadafork::test
