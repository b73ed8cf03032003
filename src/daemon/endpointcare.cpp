#include "daemon/endpointcare.h"

#include "base/log.h"
#include "endpoint/reconcile.h"

#include <asio/post.hpp>

namespace cicadafork {

EndpointCare::EndpointCare(FleetTable &fleet, const ConfigStore &store, asio::thread_pool &pool,
                           Metrics &metrics, EndpointCareOptions options)
    : fleet_(fleet)
    , store_(store)
    , pool_(pool)
    , options_(std::move(options))
    , orders_(metrics.counter("cicadafork_endpoint_orders_total", "Orders sent to endpoints"))
    , orderFailures_(metrics.counter("cicadafork_endpoint_order_failures_total",
                                     "Orders that an endpoint refused or did not answer"))
    , released_(metrics.counter("cicadafork_holds_released_total",
                                "KV holds released because their holder is gone"))
{
}

void EndpointCare::tick(TimePoint now)
{
    for (const CoordinatedEndpoint &endpoint : fleet_.coordinatedEndpoints()) {
        Row *row = rows_.insert(endpoint.id);
        if (!row)
            continue;
        sendOrders(endpoint, *row, now);
        sweep(endpoint, *row, now);
    }
}

void EndpointCare::sendOrders(const CoordinatedEndpoint &endpoint, Row &row, TimePoint now)
{
    if (now - row.lastOrder < options_.orderInterval)
        return;
    const auto configuration = store_.current();
    if (!configuration)
        return;
    const auto intent = configuration->endpointIntents.find(endpoint.id);
    if (intent == configuration->endpointIntents.end())
        return;
    auto orders = ordersFor(intent->second, {endpoint.models, endpoint.role});
    const std::string task = "order " + endpoint.id;
    if (orders.empty() || !enter(task))
        return;
    row.lastOrder = now;
    asio::post(pool_, [this, task, endpoint, orders = std::move(orders)] {
        const EngineClient client(endpoint.address);
        for (const EngineOrder &order : orders) {
            orders_.Increment();
            if (!capture([&] { return client.order(order, options_.timeout); }))
                orderFailures_.Increment();
        }
        leave(task);
    });
}

void EndpointCare::sweep(const CoordinatedEndpoint &endpoint, Row &row, TimePoint now)
{
    if (now - row.lastSweep < options_.sweepInterval)
        return;
    const auto configuration = store_.current();
    const auto service = configuration ? configuration->services.find(endpoint.service)
                                       : decltype(configuration->services.end()){};
    const bool engine = configuration && service != configuration->services.end()
                        && service->second.kind == ServiceKind::Model;
    const std::string task = "sweep " + endpoint.id;
    if (!engine || !enter(task))
        return;
    row.lastSweep = now;
    asio::post(pool_, [this, task, endpoint] {
        const EngineClient client(endpoint.address);
        const auto holds = capture([&] { return client.listHolds(options_.timeout); });
        std::vector<std::string> orphans;
        if (holds) {
            auto members = fleet_.peers(steadyNow());
            PeerView self;
            self.id = options_.selfId;
            self.incarnation = options_.selfIncarnation;
            members.push_back(std::move(self));
            const std::lock_guard lock(mutex_);
            orphans = holdSweep_.orphans(*holds, members, steadyNow());
        }
        for (const std::string &holdId : orphans) {
            if (capture([&] { return client.releaseHold(holdId, options_.timeout); }))
                released_.Increment();
        }
        leave(task);
    });
}

bool EndpointCare::enter(const std::string &task)
{
    const std::lock_guard lock(mutex_);
    return running_.insert(task).second;
}

void EndpointCare::leave(const std::string &task)
{
    const std::lock_guard lock(mutex_);
    running_.erase(task);
}

} // namespace cicadafork
