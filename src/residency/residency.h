#pragma once

// Decides which endpoints may run a request, and which daemons may receive its body, when its route
// or its workspace allows only some regions.
//
//   const AllowedRegions allowed = intersect(route.regions, workspace.regions);
//   if (mayRunIn(allowed, map, endpoint.failureDomain))
//       candidates.push_back(endpoint);
//
// The load that this answers: requests with a list, at daemons and endpoints of several regions. A
// decision costs two look-ups in tables of a few entries, and is made for each endpoint of the
// service (up to 600) at each placement. Requests without a list never get here.

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cicadafork::residency {

/// The regions in which a request may be handled.
struct AllowedRegions
{
    bool any = true;               ///< No list is given; `regions` is empty.
    std::set<std::string> regions; ///< Can be empty, if two lists have no region in common.
};

/// Where this daemon and the failure domains are. A region that is not known is empty.
struct RegionMap
{
    std::string own; ///< Of this daemon.
    std::map<std::string, std::string> byFailureDomain;
};

/// The regions that both lists allow. An empty list allows any.
AllowedRegions intersect(const std::vector<std::string> &ofRoute,
                         const std::vector<std::string> &ofWorkspace);

/// The region of the failure domain, or an empty string.
const std::string &regionOf(const RegionMap &map, const std::string &failureDomain);

/// True if endpoints of the failure domain may run the request. With a list, a failure domain of an
/// unknown region may not.
bool mayRunIn(const AllowedRegions &allowed, const RegionMap &map,
              const std::string &failureDomain);

/// True if a daemon of the failure domain may receive the body from the daemon to which the caller
/// connected, which is the one with this map: its region is allowed, or is that of both.
bool mayReceiveBody(const AllowedRegions &allowed, const RegionMap &map,
                    const std::string &failureDomain);

/// Text for the header of a handover, and for logs: the regions as a JSON list.
std::string encodeRegions(const AllowedRegions &allowed);

/// Reads the header of a handover. Allows no region if the text is no JSON list of strings.
AllowedRegions decodeRegions(const std::string &text);

} // namespace cicadafork::residency
