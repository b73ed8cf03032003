#pragma once

// What a routing decision sees: a snapshot of the endpoints of one service, as plain values.
//
//   FleetView view = fleet.view("report-writer", now);
//   RouteDecision decision = chooseEndpoint(request, view, policy, random);

#include "base/clock.h"
#include "config/configuration.h"
#include "http/address.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace cicadafork {

using Random = std::mt19937_64;

struct EndpointView
{
    std::string id;
    Address address;
    std::string failureDomain;
    bool sendPermitted = false; ///< Fresh status, not leaving, not drained.
    bool ejected = false;       ///< Taken out by outlier detection.
    std::vector<std::string> models;
    // From the last status report. A capacity of 0 means that no memory limit is known (a plain
    // service); kvUsedTokens excludes cache that the engine can evict.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t waitingTokens = 0; ///< Prompt tokens not yet prefilled.
    std::uint64_t kvUsedTokens = 0;
    std::uint64_t kvCapacityTokens = 0;
    Millis reportAge{0};
    // Sent by this process and by peers since that report, not yet finished.
    std::uint32_t unreportedRequests = 0;
    std::uint64_t unreportedTokens = 0;
    // All of this process's requests in progress at the endpoint.
    std::uint32_t ownOutstanding = 0;
    // Learnt from finished requests; 0 when unknown.
    double prefillTokensPerSecond = 0;
    double slowFactor = 1; ///< Observed over expected time to first token, smoothed.
};

struct FleetView
{
    std::string ownDomain;
    std::vector<EndpointView> endpoints; ///< All endpoints of one service.
    // Set by admission before a decision; the defaults suit tests.
    TimePoint now;               ///< Time of the decision; ages the entries of the prefix index.
    std::uint64_t sequence = 0;  ///< Decisions for this service so far; round robin counts on it.
    double longTokenShare = 0.5; ///< Share of recent prompt tokens that came in long prompts.
};

struct RouteRequest
{
    std::string model;
    std::uint64_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    Priority priority = Priority::Normal;
    std::vector<std::uint64_t> prefixHashes; ///< See PrefixIndex.
    std::vector<std::string> excluded;       ///< Endpoints that failed this request already.
};

enum class RouteOutcome {
    Endpoint,   ///< Send to endpoints[chosen.front()].
    Group,      ///< Reserve all of chosen, in this order (ascending endpoint id).
    Wait,       ///< Endpoints exist, but none can take the request now.
    Impossible, ///< No endpoint or group could ever hold the prompt.
    NoEndpoint, ///< No endpoint of the service may be sent to.
};

struct RouteDecision
{
    RouteOutcome outcome = RouteOutcome::NoEndpoint;
    std::vector<std::size_t> chosen; ///< Indices into FleetView::endpoints.
    Millis expectedFirstToken{0};    ///< Expected time to first token at the chosen endpoint.
    std::uint64_t prefixHitTokens = 0;
};

} // namespace cicadafork
