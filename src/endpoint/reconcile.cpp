#include "endpoint/reconcile.h"

#include <algorithm>

namespace cicadafork {

EngineOrder loadOrder(const std::string &model, std::uint64_t fencing)
{
    EngineOrder order;
    order.order = "load";
    order.fencing = fencing;
    std::string name = model;
    if (const auto at = name.find('@'); at != std::string::npos) {
        order.version = name.substr(at + 1);
        name.erase(at);
    }
    if (const auto colon = name.find(':'); colon != std::string::npos) {
        order.adapter = name.substr(colon + 1);
        name.erase(colon);
    }
    order.model = name;
    return order;
}

std::vector<EngineOrder> ordersFor(const EndpointIntent &intent, const ObservedEndpoint &observed)
{
    std::vector<EngineOrder> orders;
    for (const std::string &model : intent.models) {
        const bool loaded = std::find(observed.models.begin(), observed.models.end(), model)
                            != observed.models.end();
        if (!loaded)
            orders.push_back(loadOrder(model, intent.version));
    }
    if (!intent.role.empty() && intent.role != observed.role) {
        EngineOrder order;
        order.order = "role";
        order.fencing = intent.version;
        order.role = intent.role;
        orders.push_back(order);
    }
    return orders;
}

} // namespace cicadafork
