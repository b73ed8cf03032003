#include "residency/residency.h"

#include "base/json.h"

#include <algorithm>
#include <iterator>

namespace cicadafork::residency {

namespace {

bool contains(const AllowedRegions &allowed, const std::string &region)
{
    return !region.empty() && allowed.regions.contains(region);
}

} // namespace

AllowedRegions intersect(const std::vector<std::string> &ofRoute,
                         const std::vector<std::string> &ofWorkspace)
{
    if (ofRoute.empty() && ofWorkspace.empty())
        return {};
    const std::set<std::string> route(ofRoute.begin(), ofRoute.end());
    const std::set<std::string> workspace(ofWorkspace.begin(), ofWorkspace.end());
    if (ofRoute.empty())
        return {false, workspace};
    if (ofWorkspace.empty())
        return {false, route};
    AllowedRegions both{false, {}};
    std::ranges::set_intersection(route, workspace,
                                  std::inserter(both.regions, both.regions.end()));
    return both;
}

const std::string &regionOf(const RegionMap &map, const std::string &failureDomain)
{
    static const std::string unknown;
    const auto found = map.byFailureDomain.find(failureDomain);
    return found == map.byFailureDomain.end() ? unknown : found->second;
}

bool mayRunIn(const AllowedRegions &allowed, const RegionMap &map, const std::string &failureDomain)
{
    return allowed.any || contains(allowed, regionOf(map, failureDomain));
}

bool mayReceiveBody(const AllowedRegions &allowed, const RegionMap &map,
                    const std::string &failureDomain)
{
    if (allowed.any)
        return true;
    const std::string &region = regionOf(map, failureDomain);
    return contains(allowed, region) || (!region.empty() && region == map.own);
}

std::string encodeRegions(const AllowedRegions &allowed)
{
    // Only ASCII characters, as header fields and log lines require.
    return nlohmann::json(allowed.regions)
            .dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

AllowedRegions decodeRegions(const std::string &text)
{
    AllowedRegions allowed{false, {}};
    const nlohmann::json list = parseJson(text);
    if (!list.is_array()
        || !std::ranges::all_of(list, [](const nlohmann::json &item) { return item.is_string(); }))
        return allowed;
    for (const nlohmann::json &item : list)
        allowed.regions.insert(item.get<std::string>());
    return allowed;
}

} // namespace cicadafork::residency
