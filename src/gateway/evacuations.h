#pragma once

// The failure domains that operators have evacuated: their endpoints get no new requests until the
// operators end the evacuation.
//
//   Evacuations evacuations;
//   if (noteEvacuation(evacuations, {"east", position, true}))
//       endpoints.setEvacuated(evacuatedDomains(evacuations));

#include "gateway/storeera.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cicadafork::gateway {

/// The last known order of the operators for a failure domain.
struct Evacuation
{
    std::string failureDomain;
    StorePosition position; ///< Where the order was read; of two orders, the later one counts.
    bool inForce = false;
};

using Evacuations = std::map<std::string, Evacuation>; ///< By failure domain.

inline constexpr std::size_t kMaxEvacuations = 64;

/// Returns false if the order is not newer than the known one, or if the table is full.
bool noteEvacuation(Evacuations &evacuations, const Evacuation &order);

std::set<std::string> evacuatedDomains(const Evacuations &evacuations);

/// The evacuations in force that a complete read of the store, current at `position`, did not list.
std::vector<Evacuation> unlistedEvacuations(const Evacuations &evacuations,
                                            const std::set<std::string> &listed,
                                            const StorePosition &position);

} // namespace cicadafork::gateway
