#pragma once

// Counters and histograms of a gateway.
//
//   GatewayMetrics counters(metrics);
//   counters.outcome("completed").Increment();

#include "base/metrics.h"

#include <map>
#include <string>

namespace cicadafork::gateway {

class GatewayMetrics
{
public:
    explicit GatewayMetrics(Metrics &metrics);

    /// Requests by how they ended.
    prometheus::Counter &outcome(const std::string &name);
    /// Failed attempts at endpoints by reason.
    prometheus::Counter &attemptFailure(const std::string &reason);
    prometheus::Histogram &firstEventSeconds;
    prometheus::Histogram &answerSeconds;
    prometheus::Histogram &waitSeconds;
    prometheus::Counter &resumes;
    prometheus::Counter &cancelled;

private:
    Metrics &metrics_;
    std::map<std::string, prometheus::Counter *> outcomes_;
    std::map<std::string, prometheus::Counter *> failures_;
};

} // namespace cicadafork::gateway
