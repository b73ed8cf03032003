#pragma once

// Chooses the endpoint or the group of endpoints for a request.
//
//   RouteDecision decision = chooseEndpoint(request, view, settings, prefixIndex, random);
//
// The baseline policies (round robin, least outstanding, power of two) use only the criterion in
// their name and leave queueing to the engine. The adaptive policy returns Wait when every engine
// has enough queued work. Requests then queue in this process, where priorities and fair shares
// apply, and not in the engine.

#include "routing/fleetview.h"
#include "settings/settings.h"

namespace cicadafork {

class PrefixIndex;

/// Prompts of at least this size are long. A tenth of the maximum of 1M would be too high a limit:
/// at 20,000 tokens/s the prefill of a 32k prompt already occupies an engine for 1.6 s.
inline constexpr std::uint64_t kLongPromptTokens = 32'768;

/// Prompts of at most this size are short: an engine prefills them in one step.
inline constexpr std::uint64_t kShortPromptTokens = 2048;

/// Share of the endpoints that long prompts may use in pool mode reserved_share. Long prompts
/// account for four fifths of the tokens of both users, so at 70% load they need more than half of
/// the pool. The remaining endpoints serve short prompts, and medium ones only while the endpoints
/// of the share are full: behind a 10k prompt, a 1k prompt waits for up to three steps of 0.11 s,
/// and each step takes twice its own prefill time. With 0.8, short prompts exceed 0.25 s in the
/// load test, where a third of the tokens belong to short prompts.
inline constexpr double kLongPromptEndpointShare = 0.75;

/// Has no side effects except on `random`. With 75 endpoints, p99 is at most 50 us.
RouteDecision chooseEndpoint(const RouteRequest &request, const FleetView &view,
                             const RoutingSettings &settings, const PrefixIndex &prefixes,
                             Random &random);

/// Chooses the smallest set of usable endpoints whose free memory can hold the request, in
/// ascending id. The outcome is NoEndpoint if no endpoint is usable, Wait if the free memory of the
/// usable endpoints is too small, and Impossible if the capacity of the whole service is too small.
RouteDecision planGroup(const RouteRequest &request, const FleetView &view);

/// Priority that is sent to the engine. Short prompts of normal priority are sent as urgent so that
/// they run before longer normal ones: a short prompt delays a longer one by at most one step,
/// while a 16k prompt delays a short one by eight.
Priority enginePriority(Priority priority, std::uint64_t promptTokens);

/// KV tokens that the request occupies if it generates max_tokens.
std::uint64_t neededTokens(const RouteRequest &request);

/// Free KV tokens, less the tokens of unreported requests. The maximum value if no capacity is
/// known.
std::uint64_t freeTokens(const EndpointView &endpoint);

/// True if this request may be sent to the endpoint now: sending is permitted, the endpoint is
/// neither ejected nor excluded, and it serves the model. Entries of EndpointView::models may have
/// the suffixes ":adapter" and "@version".
bool isUsable(const EndpointView &endpoint, const RouteRequest &request);

/// True if no single endpoint of the service can hold the request.
bool needsGroup(const RouteRequest &request, const FleetView &view);

/// Prefill rate of an endpoint in tokens/s, divided by its slow factor. Uses defaultPrefillRate if
/// the rate of the endpoint is unknown.
double effectivePrefillRate(const EndpointView &endpoint, double defaultPrefillRate);
/// Average of the known prefill rates in tokens/s; a fixed value if none is known.
double defaultPrefillRate(const FleetView &view);

/// Prompt tokens that arrived for one service, decaying with a half-life of 30 s. Determines
/// FleetView::longTokenShare.
struct TokenLoad
{
    double shortTokens = 0;
    double longTokens = 0;
    TimePoint updated;
};

void recordPrompt(TokenLoad &load, std::uint64_t promptTokens, TimePoint now);
double longTokenShare(const TokenLoad &load);

/// Number of endpoints for long prompts in a partitioned pool: proportional to their share of the
/// tokens, with at least one endpoint in each partition.
std::size_t longPartitionSize(std::size_t endpoints, double longTokenShare);

} // namespace cicadafork
