#pragma once

// Chooses the endpoint or the group of endpoints for a request.
//
//   RouteDecision decision = chooseEndpoint(request, view, settings, prefixIndex, random);
//
// The baseline policies (round robin, least outstanding, power of two) look only at what their name
// says and leave queueing to the engine. The adaptive policy returns Wait when every engine has
// enough work, so that priorities and fair shares decide in this process and not in the engine.

#include "routing/fleetview.h"
#include "settings/settings.h"

namespace cicadafork {

class PrefixIndex;

/// Prompts from this size on are long. A tenth of the 1M maximum is too late: at 20,000 tokens/s
/// a prompt of 32k already holds an engine's prefill for 1.6 s.
inline constexpr std::uint64_t kLongPromptTokens = 32'768;

/// Prompts up to this size are short: an engine prefills them in one step.
inline constexpr std::uint64_t kShortPromptTokens = 2048;

/// Share of the endpoints that long prompts may use in pool mode reserved_share. Long prompts bring
/// four fifths of both users' tokens, so at 70% load they need more than half of the pool. The
/// others serve prompts of up to kShortPromptTokens, and those of medium length only while the
/// share is full: a 1k prompt that meets one of 10k waits for up to three steps of 0.11 s, twice
/// its own prefill each. With 0.8 short prompts miss 0.25 s in the load test, whose tokens are a
/// third short.
inline constexpr double kLongPromptEndpointShare = 0.75;

/// Pure apart from the random generator. At 75 endpoints a decision takes at most 50 us (p99).
RouteDecision chooseEndpoint(const RouteRequest &request, const FleetView &view,
                             const RoutingSettings &settings, const PrefixIndex &prefixes,
                             Random &random);

/// Smallest set of usable endpoints whose free memory holds the request, in ascending id. Wait when
/// their capacity suffices but not their free memory; Impossible when the whole service's does not.
RouteDecision planGroup(const RouteRequest &request, const FleetView &view);

/// Priority that the engine is told. A normal short prompt goes before longer normal ones: it
/// delays them by at most one step, while one prompt of 16k delays it by eight.
Priority enginePriority(Priority priority, std::uint64_t promptTokens);

/// KV tokens that the request holds at its end.
std::uint64_t neededTokens(const RouteRequest &request);

/// Free KV tokens after unreported sends; the maximum value when no limit is known.
std::uint64_t freeTokens(const EndpointView &endpoint);

/// True when the endpoint may be sent this request now: permitted, not ejected, not excluded, and
/// it has the model. Entries of EndpointView::models may carry ":adapter" and "@version".
bool isUsable(const EndpointView &endpoint, const RouteRequest &request);

/// True when no single endpoint of the service can hold the request.
bool needsGroup(const RouteRequest &request, const FleetView &view);

/// Prefill rate of an endpoint in tokens/s after its slow factor; unknown rates take the average of
/// the known ones.
double effectivePrefillRate(const EndpointView &endpoint, double defaultPrefillRate);
double defaultPrefillRate(const FleetView &view);

/// Observed prompt tokens of one service, halved every 30 s; gives FleetView::longTokenShare.
struct TokenLoad
{
    double shortTokens = 0;
    double longTokens = 0;
    TimePoint updated;
};

void recordPrompt(TokenLoad &load, std::uint64_t promptTokens, TimePoint now);
double longTokenShare(const TokenLoad &load);

/// Number of endpoints on the long side of a partitioned pool: follows the load share, and leaves
/// at least one endpoint for each side.
std::size_t longPartitionSize(std::size_t endpoints, double longTokenShare);

} // namespace cicadafork
