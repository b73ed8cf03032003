#pragma once

// What the gateway knows of its deployment, decoded from the platform's records.
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
    Stream,     ///< A series of events; may run again only where the route is resumable.
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
    bool resumable = false;    ///< A broken stream may go on at another endpoint.
    bool needsKey = true;      ///< False for routes that are open to everyone.
    Millis timeout{10'000};    ///< Longest time that a caller is kept waiting.
    Millis objective{1000};    ///< Time to the answer, or to a stream's first event.
    Millis maxEventGap{1000};  ///< Longest pause between two events of a stream in time.
    int priority = 0;          ///< 0 is the most urgent.
    unsigned maxEndpoints = 1; ///< Endpoints that one request may be sent to.
    std::vector<WeightedService> services; ///< Requests are divided by weight.
};

/// Cost model of the engines of a service.
struct EngineModel
{
    unsigned slots = 1;                 ///< Requests in one batch.
    std::uint64_t kvCapacityTokens = 0; ///< KV memory.
    unsigned stride = 1;                ///< Token steps of a pass that has writers.
    FloatMillis step{1};                ///< One token step of an empty batch.
    FloatMillis stepPerSequence{0};     ///< Added to a step by each request that writes.
    FloatMillis stepPerThousandContext{0};
    double prefillTokensPerMs = 1;          ///< Prompt tokens.
    FloatMillis prefillPerMillionPairs{0};  ///< Of a token and any earlier one.
    std::uint64_t chunkTokens = 2048;       ///< Most prompt tokens of one step.
    FloatMillis stepOverheadWithHelpers{0}; ///< Added to a step when memory lies at helpers.
    std::uint64_t meanPromptTokens = 0;     ///< Mean number of prompt tokens.
    std::uint64_t meanAnswerTokens = 0;     ///< Mean number of answer tokens.
};

struct Service
{
    std::string name;
    std::string healthPath;
    unsigned maxConnections = 64;      ///< Of all callers to one endpoint.
    std::optional<EngineModel> engine; ///< Absent for plain services.
};

struct Workspace
{
    std::string name;
    std::optional<int> priority; ///< Goes before the route's.
};

struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    Millis headerTimeout{3000};
    Millis idleTimeout{15'000};
};

/// One version of the operators' configuration.
struct RoutingConfig
{
    std::uint64_t version = 0;
    std::unordered_map<std::string, std::vector<Route>> routesByHost; ///< Longest prefix first.
    std::map<std::string, Service> services;
    bool hasWorkspaces = false;
    std::unordered_map<std::string, Workspace> workspaceByKey;
    CallerLimits limits;
};

enum class EndpointState { Ready, Draining };

/// An endpoint as it describes itself in the platform's store.
struct EndpointRecord
{
    std::string id;
    std::int64_t bornMs = 0; ///< Start of this incarnation, Unix time; an id may be used again.
    std::string service;
    Address address;
    std::string failureDomain;
    unsigned slots = 1;
    EndpointState state = EndpointState::Ready;
    Millis slowStartRemaining{0}; ///< How much longer it stays slow after its start.
};

/// Sorts the routes of each host by falling length of prefix. Call once after decoding.
void sortRoutes(RoutingConfig &config);

/// The route with the longest prefix of the path; nullptr when there is none. The host may carry a
/// port.
const Route *findRoute(const RoutingConfig &config, std::string_view host, std::string_view path);

/// nullptr when no workspace holds the key.
const Workspace *findWorkspace(const RoutingConfig &config, const std::string &apiKey);

/// The service that a request goes to; the same request id always gives the same one.
const std::string &pickService(const Route &route, std::string_view requestId);

} // namespace cicadafork::gateway
