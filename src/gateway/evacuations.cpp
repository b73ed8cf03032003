#include "gateway/evacuations.h"

namespace cicadafork::gateway {

bool noteEvacuation(Evacuations &evacuations, const Evacuation &order)
{
    const auto known = evacuations.find(order.failureDomain);
    if (known == evacuations.end()) {
        return evacuations.size() < kMaxEvacuations
               && evacuations.emplace(order.failureDomain, order).second;
    }
    if (order.position <= known->second.position)
        return false;
    known->second = order;
    return true;
}

std::set<std::string> evacuatedDomains(const Evacuations &evacuations)
{
    std::set<std::string> domains;
    for (const auto &[domain, order] : evacuations) {
        if (order.inForce)
            domains.insert(domain);
    }
    return domains;
}

std::vector<Evacuation> unlistedEvacuations(const Evacuations &evacuations,
                                            const std::set<std::string> &listed,
                                            const StorePosition &position)
{
    std::vector<Evacuation> ended;
    for (const auto &[domain, order] : evacuations) {
        if (order.inForce && !listed.contains(domain) && order.position < position)
            ended.push_back({domain, position, false});
    }
    return ended;
}

} // namespace cicadafork::gateway
