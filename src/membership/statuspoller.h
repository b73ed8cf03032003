#pragma once

// Asks endpoints for their status on a pool of threads.
//
//   StatusPoller poller(fleet, pool, {});
//   poller.tick(steadyNow()); // every tick of the control thread; never blocks
//
// The pool must have enough threads that silent endpoints, which each hold a thread for the
// timeout, do not delay the others. Join the pool before the poller or the fleet is destroyed.

#include "base/traffic.h"
#include "membership/fleettable.h"

#include <asio/thread_pool.hpp>

namespace cicadafork {

/// Reads the body of GET /v1/status. Absent load figures are 0; fails with Unavailable when the
/// state is missing or when another endpoint answered.
Result<EndpointStatus> parseStatus(const nlohmann::json &body, const std::string &endpointId);

struct StatusPollerOptions
{
    Millis timeout{500};
    TrafficMeter meter = {};
};

class StatusPoller
{
public:
    StatusPoller(FleetTable &fleet, asio::thread_pool &pool, StatusPollerOptions options)
        : fleet_(fleet)
        , pool_(pool)
        , options_(options)
    {
    }

    void tick(TimePoint now);

private:
    void poll(const PollRequest &request);

    FleetTable &fleet_;
    asio::thread_pool &pool_;
    const StatusPollerOptions options_;
};

} // namespace cicadafork
