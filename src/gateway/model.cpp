#include "gateway/model.h"

#include "base/hash.h"

#include <algorithm>

namespace cicadafork::gateway {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    for (char &character : lower) {
        if (character >= 'A' && character <= 'Z')
            character = static_cast<char>(character - 'A' + 'a');
    }
    return lower;
}

} // namespace

void sortRoutes(RoutingConfig &config)
{
    for (auto &[host, routes] : config.routesByHost) {
        std::ranges::stable_sort(routes, [](const Route &left, const Route &right) {
            return left.pathPrefix.size() > right.pathPrefix.size();
        });
    }
}

const Route *findRoute(const RoutingConfig &config, std::string_view host, std::string_view path)
{
    const auto found = config.routesByHost.find(lowerCase(host.substr(0, host.find(':'))));
    if (found == config.routesByHost.end())
        return nullptr;
    const std::string_view onlyPath = path.substr(0, path.find_first_of("?#"));
    const auto route = std::ranges::find_if(found->second, [&](const Route &candidate) {
        return onlyPath.starts_with(candidate.pathPrefix);
    });
    return route == found->second.end() ? nullptr : &*route;
}

const Workspace *findWorkspace(const RoutingConfig &config, const std::string &apiKey)
{
    const auto found = config.workspaceByKey.find(apiKey);
    return found == config.workspaceByKey.end() ? nullptr : &found->second;
}

const std::string &pickService(const Route &route, std::string_view requestId)
{
    std::uint64_t total = 0;
    for (const WeightedService &candidate : route.services)
        total += candidate.weight;
    static const std::string none;
    if (total == 0)
        return route.services.empty() ? none : route.services.front().service;
    std::uint64_t at = mix64(fnv1a64(requestId)) % total;
    for (const WeightedService &candidate : route.services) {
        if (at < candidate.weight)
            return candidate.service;
        at -= candidate.weight;
    }
    return route.services.back().service;
}

} // namespace cicadafork::gateway
