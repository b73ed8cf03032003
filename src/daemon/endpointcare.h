#pragma once

// Keeps the coordinated endpoints in order: repeats operators' orders and releases orphaned holds.
//
//   EndpointCare care(fleet, store, pool, metrics, selfIncarnation, {...});
//   care.tick(steadyNow()); // control thread; never blocks
//
// Join the pool before this object is destroyed.

#include "base/metrics.h"
#include "config/configstore.h"
#include "endpoint/holdsweep.h"
#include "membership/fleettable.h"

#include <asio/thread_pool.hpp>

#include <mutex>
#include <set>

namespace cicadafork {

struct EndpointCareOptions
{
    std::string selfId;
    std::string selfIncarnation;
    /// Promise: memory of lost holders is free within 10 s. A sweep each 2 s leaves room for one
    /// that fails, after a grace of 5 s.
    Millis sweepInterval{2000};
    Millis orderInterval{500}; ///< Between two orders to an endpoint that has not obeyed yet.
    Millis timeout{1000};
};

class EndpointCare
{
public:
    EndpointCare(FleetTable &fleet, const ConfigStore &store, asio::thread_pool &pool,
                 Metrics &metrics, EndpointCareOptions options);

    void tick(TimePoint now);

private:
    struct Row
    {
        TimePoint lastOrder{};
        TimePoint lastSweep{};
    };

    void sendOrders(const CoordinatedEndpoint &endpoint, Row &row, TimePoint now);
    void sweep(const CoordinatedEndpoint &endpoint, Row &row, TimePoint now);
    bool enter(const std::string &task);
    void leave(const std::string &task);

    FleetTable &fleet_;
    const ConfigStore &store_;
    asio::thread_pool &pool_;
    const EndpointCareOptions options_;
    Table<std::string, Row> rows_{kMaxEndpoints}; ///< Used by the control thread only.
    std::mutex mutex_;
    HoldSweep holdSweep_;
    std::set<std::string> running_; ///< Tasks in progress, so that a silent endpoint has one.
    prometheus::Counter &orders_;
    prometheus::Counter &orderFailures_;
    prometheus::Counter &released_;
};

} // namespace cicadafork
