#pragma once

// Records which endpoint instances have prefilled which prefixes for this daemon, and learns for
// each service what that saves. Decides nothing itself: savingestimate decides whether something is
// saved, prefixplacement where a request goes.
//
//   PrefixCache cache;
//   const Placement preferred
//           = cache.prefer("maps", fields, placement, request, engine, views, now);
//   const PrefixUse use = cache.noteSent(fields, placement, engine, now);
//   cache.noteFirstEvent("maps", placement.head, use, took, expected, now);
//   cache.forget(endpoint);     // the instance has restarted, crashed or left
//
// Bounded memory: at most kMaxPrefixes prefixes with kMaxHolders endpoints each, and a history of
// fixed size for each of kMaxServices services; about 1.5 MB in all.

#include "gateway/protocol.h"
#include "prefixcache/prefixplacement.h"
#include "prefixcache/savingestimate.h"
#include "routing/prefixindex.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cicadafork::gateway {

/// What is remembered of a request from its sending to its first event.
struct PrefixUse
{
    std::vector<Prefix> prefixes; ///< Empty if the prompt has none or was divided.
    bool hit = false;             ///< The endpoint has prefilled one of them lately.
    /// Absent if the request is neither a clear hit nor a miss of a prefix worth the comparison.
    std::optional<FirstEventObservation> observation;
};

class PrefixCache
{
public:
    static constexpr std::size_t kMaxPrefixes = 2048;
    /// Enough for a prefix that a quarter of the traffic to 60 endpoints shares.
    static constexpr std::size_t kMaxHolders = 16;
    static constexpr std::size_t kMaxServices = 32;

    /// True if hits of the service have shown a saving. While false, prefer() returns placements
    /// unchanged.
    bool saves(const std::string &service) const;
    SavingEstimate estimate(const std::string &service) const;
    const std::map<std::string, SavingHistory> &histories() const { return histories_; }

    /// The placement, or the one at an endpoint that holds a prefix of the prompt. Looks at nothing
    /// if the service has shown no saving.
    Placement prefer(const std::string &service, const CallerFields &fields,
                     const Placement &placement, const PlacementRequest &request,
                     const EngineModel &engine, std::span<const EndpointView> endpoints,
                     TimePoint now) const;

    PrefixUse noteSent(const CallerFields &fields, const Placement &placement,
                       const EngineModel &engine, TimePoint now) const;
    /// The head has prefilled the prompt. `expected` is the time without a saving.
    void noteFirstEvent(const std::string &service, EndpointKey endpoint, const PrefixUse &use,
                        FloatMillis took, FloatMillis expected, TimePoint now);
    void forget(EndpointKey endpoint);
    std::size_t size() const { return index_.size(); }

private:
    PrefixIndex index_{kMaxPrefixes, kMaxHolders};
    std::map<std::string, SavingHistory> histories_; ///< By service.
    std::map<std::string, SavingEstimate> savings_;  ///< Of the services that save something.
};

} // namespace cicadafork::gateway
