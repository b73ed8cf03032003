#pragma once

// Routes, services, workspaces and endpoints of a deployment, decoded from the platform's records.
//
//   const Route *route = findRoute(config, "maps.example", "/tiles/7");
//   const Workspace *workspace = findWorkspace(config, apiKey);

#include "base/clock.h"
#include "http/address.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cicadafork::gateway {

using FloatMillis = std::chrono::duration<double, std::milli>;

enum class RouteKind {
    Repeatable, ///< May run more than once.
    AtMostOnce, ///< May run once for each request id.
    Stream,     ///< The answer is a stream of events; may run again only on a resumable route.
};

struct WeightedService
{
    std::string service;
    std::uint32_t weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::AtMostOnce;
    bool resumable = false;    ///< A broken stream may be resumed at another endpoint.
    bool needsKey = true;      ///< Requests need the API key of a workspace.
    Millis timeout{10'000};    ///< Longest time until a request ends, with an answer or an error.
    Millis objective{1000};    ///< Time to the answer, or to a stream's first event.
    Millis maxEventGap{1000};  ///< Longest acceptable time between two events of a stream.
    int priority = 0;          ///< 0 is the most urgent.
    unsigned maxEndpoints = 1; ///< Endpoints that one request may be sent to.
    std::vector<WeightedService> services; ///< Requests are distributed by weight.
    std::vector<std::string> regions;      ///< Where requests may be handled; empty: anywhere.
};

/// Cost model of the engines of a service. An engine works in passes: a pass prefills prompts and
/// then runs stride decoding steps for all sequences of the batch.
struct EngineModel
{
    unsigned slots = 1;                 ///< Maximum number of sequences in a batch.
    std::uint64_t kvCapacityTokens = 0; ///< Size of the KV cache.
    unsigned stride = 1;            ///< Decoding steps of a pass; each gives a token per sequence.
    FloatMillis step{1};            ///< Fixed time of a decoding step.
    FloatMillis stepPerSequence{0}; ///< Added to a step for each decoding sequence.
    FloatMillis stepPerThousandContext{0}; ///< Added for each 1000 context tokens of the batch.
    double prefillTokensPerMs = 1;
    /// Attention cost of a prefill, for each million pairs of a token and an earlier one.
    FloatMillis prefillPerMillionPairs{0};
    std::uint64_t chunkTokens = 2048; ///< Maximum number of prompt tokens in one step.
    /// Added to a decoding step if helpers hold a share of the KV cache.
    FloatMillis stepOverheadWithHelpers{0};
    std::uint64_t meanPromptTokens = 0;
    std::uint64_t meanAnswerTokens = 0;
};

struct Service
{
    std::string name;
    std::string healthPath;
    unsigned maxConnections = 64;      ///< To one endpoint, for all callers together.
    std::optional<EngineModel> engine; ///< Absent for plain services.
    /// Requests a second that a cold endpoint takes from all daemons together; absent without a
    /// limit of cold endpoints.
    std::optional<double> coldRequestsPerSecond;
};

struct Workspace
{
    std::string name;
    std::optional<int> priority;      ///< Overrides the priority of the route.
    std::vector<std::string> regions; ///< Beside those of the route; empty: anywhere.
};

struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    Millis headerTimeout{3000};
    Millis idleTimeout{15'000};
};

/// A version of the configuration that the operators publish.
struct RoutingConfig
{
    std::uint64_t version = 0;
    /// Keys are lower-case host names; routes are sorted by falling length of the prefix.
    std::unordered_map<std::string, std::vector<Route>> routesByHost;
    std::map<std::string, Service> services;
    bool hasWorkspaces = false;
    std::unordered_map<std::string, Workspace> workspaceByKey;
    CallerLimits limits;
};

enum class EndpointState { Ready, Draining };

/// The record that an endpoint publishes in the platform's store.
struct EndpointRecord
{
    std::string id;
    std::int64_t bornMs = 0; ///< Start of this incarnation in Unix time; ids can be reused.
    std::string service;
    Address address;
    std::string failureDomain;
    unsigned slots = 1;
    EndpointState state = EndpointState::Ready;
    Millis slowStartRemaining{0}; ///< Time for which it was still cold when this was stated.
    std::uint64_t revision = 0;   ///< Rises with each write of the endpoint.
    std::uint64_t storeEra = 0;   ///< Era of the store in which the record was read.
};

/// Sorts the routes of each host by falling length of the prefix, as findRoute() requires. Call
/// once after decoding.
void sortRoutes(RoutingConfig &config);

/// The route of the host with the longest matching path prefix, or nullptr. Ignores the case and
/// the port of the host, and the query of the path.
const Route *findRoute(const RoutingConfig &config, std::string_view host, std::string_view path);

/// The workspace that the API key belongs to, or nullptr.
const Workspace *findWorkspace(const RoutingConfig &config, const std::string &apiKey);

/// Chooses a service of the route by weight. The same request id always gives the same service; an
/// empty name means that the route has none.
const std::string &pickService(const Route &route, std::string_view requestId);

} // namespace cicadafork::gateway
