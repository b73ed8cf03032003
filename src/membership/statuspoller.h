#pragma once

// Polls the status of endpoints on a thread pool.
//
//   StatusPoller poller(fleet, pool, {});
//   poller.tick(steadyNow()); // every tick of the control thread; never blocks
//
// An endpoint that does not answer occupies a thread for the whole timeout. The pool needs enough
// threads that such endpoints do not delay the others. Join the pool before the poller or the fleet
// is destroyed.

#include "base/traffic.h"
#include "membership/fleettable.h"

#include <asio/thread_pool.hpp>

namespace cicadafork {

/// Parses the body of GET /v1/status. Missing load figures are 0. Fails with Unavailable when the
/// body is malformed, the state is missing or unknown, or another endpoint answered.
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
