#pragma once

// Input and result of a routing decision. FleetView is a snapshot of the endpoints of one service.
//
//   FleetView view = fleet.view("report-writer", now);
//   RouteDecision decision = chooseEndpoint(request, view, settings, prefixIndex, random);

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
    bool ejected = false;       ///< Taken out of service by outlier detection.
    std::vector<std::string> models;
    // From the last status report. A capacity of 0 means that no memory limit is known, as with
    // plain services. kvUsedTokens excludes cache that the engine can evict.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint64_t waitingTokens = 0; ///< Prompt tokens not yet prefilled.
    std::uint64_t kvUsedTokens = 0;
    std::uint64_t kvCapacityTokens = 0;
    Millis reportAge{0};
    // Requests sent by this process and by peers since that report and not yet finished.
    std::uint32_t unreportedRequests = 0;
    std::uint64_t unreportedTokens = 0;
    // Requests of this process in progress at the endpoint.
    std::uint32_t ownOutstanding = 0;
    // Estimated from finished requests; 0 if unknown.
    double prefillTokensPerSecond = 0;
    double slowFactor = 1; ///< Observed / expected time to first token, smoothed.
};

struct FleetView
{
    std::string ownDomain;
    std::vector<EndpointView> endpoints; ///< All endpoints of one service.
    // Set by admission before each decision. Tests can use the defaults.
    TimePoint now;               ///< Time of the decision; determines the age of prefix entries.
    std::uint64_t sequence = 0;  ///< Decisions for this service so far; used by round robin.
    double longTokenShare = 0.5; ///< Share of recent prompt tokens that belong to long prompts.
};

struct RouteRequest
{
    std::string model;
    std::uint64_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    Priority priority = Priority::Normal;
    std::vector<std::uint64_t> prefixHashes; ///< See PrefixIndex.
    std::vector<std::string> excluded;       ///< Endpoints where this request already failed.
};

enum class RouteOutcome {
    Endpoint,   ///< Send to endpoints[chosen.front()].
    Group,      ///< Reserve memory at all of `chosen`, in this order (ascending id).
    Wait,       ///< Endpoints exist, but none can accept the request now.
    Impossible, ///< The request exceeds the memory of the whole service.
    NoEndpoint, ///< Requests may not be sent to any endpoint of the service.
};

struct RouteDecision
{
    RouteOutcome outcome = RouteOutcome::NoEndpoint;
    std::vector<std::size_t> chosen; ///< Indices into FleetView::endpoints.
    Millis expectedFirstToken{0};    ///< Expected time to first token at the chosen endpoint.
    std::uint64_t prefixHitTokens = 0;
};

} // namespace cicadafork
