#pragma once

// Decides whether a request goes to an endpoint that has prefilled a prefix of its prompt instead
// of the one that placement chose. Answers for prompts of any length that one endpoint prefills
// alone; runs only for services whose engines have shown a saving, and only for requests with a
// recorded prefix.
//
//   const Placement placement = placeStream(request, engine, endpoints);
//   const Placement preferred = preferHolder(placement, held, request, engine, endpoints);
//
// An endpoint is a candidate only if placement allows it without counting on the saving
// (firstEventIfHead()), so a hit that turns out to be a miss makes no request late that would be on
// time elsewhere. Of the candidates, the one with the lowest cost wins:
//
//   expected time to the first event - saving
//       + kPauseWeight * (decoding streams there) * (prefill - saving)
//
// A prefix that many requests share spreads by itself: the wait at its holders grows until another
// endpoint is better, which then holds the prefix too. In addition, a holder must not have many
// more streams than the endpoint that placement chose.

#include "gateway/placement.h"

#include <span>

namespace cicadafork::gateway {

/// An endpoint that has prefilled a prefix of the prompt.
struct HeldPrefix
{
    EndpointKey endpoint = 0;
    std::uint64_t tokens = 0; ///< Expected to be saved.
    FloatMillis saving{0};    ///< Expected at an endpoint of normal speed.
};

/// The placement at the best holder, or the given one; the latter unchanged if no saving is
/// expected anywhere. Sets Placement::prefixSaving and prefixTokens if the endpoint holds a prefix.
/// Prefill time and expected first event are those without a saving: peers see the endpoint busy
/// for the whole prefill until the first event is announced.
Placement preferHolder(const Placement &chosen, std::span<const HeldPrefix> held,
                       const PlacementRequest &request, const EngineModel &engine,
                       std::span<const EndpointView> endpoints);

} // namespace cicadafork::gateway
