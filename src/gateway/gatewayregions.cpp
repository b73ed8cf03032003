// Gateway: requests that only some regions may handle.

#include "base/log.h"
#include "gateway/gateway.h"
#include "gateway/handover.h"

#include <set>
#include <string>

namespace cicadafork::gateway {

// The configuration of its arrival holds for a request, also while it waits and after a later one
// is in force. For one that a peer hands over, that is the arrival at the peer.
residency::AllowedRegions Gateway::regionsFor(const Route &route, const Workspace *workspace,
                                              HttpRequest &request, bool fromPeer)
{
    if (const std::string *regions = request.headers.find(kHandoverRegions); fromPeer && regions) {
        const residency::AllowedRegions allowed = residency::decodeRegions(*regions);
        request.headers.remove(kHandoverRegions);
        return allowed;
    }
    return residency::intersect(route.regions,
                                workspace ? workspace->regions : std::vector<std::string>());
}

DomainFilter Gateway::regionFilter(const Exchange &exchange) const
{
    if (exchange.residency.any)
        return {};
    return [this, &allowed = exchange.residency](const std::string &failureDomain) {
        return mayRunIn(allowed, settings_.regions, failureDomain);
    };
}

bool Gateway::reachesAllowedRegion(const Exchange &exchange) const
{
    return exchange.residency.any
           || (!reach_.isCutOff(exchange.service)
               && endpoints_.anyInService(exchange.service, regionFilter(exchange), steadyNow()));
}

bool Gateway::refuseByRegion(Exchange &exchange)
{
    if (exchange.state == ExchangeState::Relaying || reachesAllowedRegion(exchange))
        return false;
    residency::AllowedRegions present{false, {}};
    for (const auto &[id, row] : endpoints_.rows()) {
        if (row.record.service == exchange.service && row.record.state == EndpointState::Ready)
            present.regions.insert(regionOf(settings_.regions, row.record.failureDomain));
    }
    counters_.regionRefusals.Increment();
    logEvent(LogLevel::Info, "region_refused",
             {{"request", exchange.requestId},
              {"route", exchange.route.name},
              {"workspace", exchange.workspace},
              {"allowed", encodeRegions(exchange.residency)},
              {"present", encodeRegions(present)},
              {"cut_off", reach_.isCutOff(exchange.service) ? "yes" : "no"},
              {"daemon", settings_.regions.own},
              {"config", std::to_string(exchange.config->version)}});
    endWithError(exchange, 502, "no_allowed_region");
    return true;
}

} // namespace cicadafork::gateway
