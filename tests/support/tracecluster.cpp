#include "support/tracecluster.h"

#include "base/hash.h"
#include "support/eventually.h"

#include <fmt/format.h>

#include <stdexcept>

namespace cicadafork::test {

namespace {

constexpr const char *kModelService = "models";
constexpr Millis kReadyTimeout{30'000};

std::string joined(const std::set<std::string> &values)
{
    return fmt::format("{}", fmt::join(values, ","));
}

void configure(const SystemClient &client, const TraceFacts &facts)
{
    client.command(fmt::format("create service {} kind=model models=\"{}\"", kModelService,
                               joined(facts.models)));
    std::set<std::string> services = facts.plainServices;
    services.insert(kModelService);
    for (const std::string &service : facts.plainServices)
        client.command(fmt::format("create service {} kind=plain non_repeatable=\"{}\"", service,
                                   joined(facts.keyedOperations)));
    for (const auto &[workspace, credential] : facts.credentials)
        client.command(fmt::format("create workspace {} services=\"{}\" credential_sha256={}",
                                   workspace, joined(services), sha256Hex(credential)));
}

bool knowsEverything(const SystemClient &client, std::size_t endpoints, std::size_t workspaces)
{
    const auto rowsOf = [&](const char *text) {
        const auto reply = client.statement(text);
        return reply.contains("table") ? reply["table"]["rows"].size() : 0;
    };
    return rowsOf("show endpoints where sendable = yes") == endpoints
           && rowsOf("show workspaces") == workspaces;
}

} // namespace

TraceFacts factsOf(const std::vector<TraceRequest> &trace)
{
    TraceFacts facts;
    for (const TraceRequest &request : trace) {
        facts.credentials[request.workspace] = request.credential;
        if (request.kind == RequestKind::Completion) {
            facts.models.insert(request.target);
            continue;
        }
        facts.plainServices.insert(request.target);
        if (request.keyed)
            facts.keyedOperations.insert(request.operation);
    }
    return facts;
}

ClusterOptions traceClusterOptions(const TraceFacts &facts)
{
    ClusterOptions options;
    options.engineService = kModelService;
    if (!facts.plainServices.empty())
        options.plainService = *facts.plainServices.begin();
    options.engineFlags = {"--models", joined(facts.models)};
    options.operatorCredentialSha256 = sha256Hex(kOperatorCredential);
    return options;
}

void configureForTrace(TestCluster &cluster, const ClusterOptions &options, const TraceFacts &facts)
{
    const SystemClient first(cluster.daemon(0).address, kOperatorCredential);
    if (!eventually(kReadyTimeout, [&] { return first.ready(); }))
        throw std::runtime_error("the first daemon does not become ready");
    configure(first, facts);
    for (std::size_t i = 0; i < options.daemons; ++i) {
        const SystemClient client(cluster.daemon(i).address, kOperatorCredential);
        const bool known = eventually(kReadyTimeout, [&] {
            return knowsEverything(client, options.engines + options.services,
                                   facts.credentials.size());
        });
        if (!known)
            throw std::runtime_error("a daemon does not know all endpoints and workspaces");
    }
}

} // namespace cicadafork::test
