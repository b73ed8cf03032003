#pragma once

// Counters and histograms of a gateway daemon.
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

    /// Number of requests with this outcome.
    prometheus::Counter &outcome(const std::string &name);
    /// Number of attempts at endpoints that failed for this reason.
    prometheus::Counter &attemptFailure(const std::string &reason);
    /// Number of callers' connections that ended for this reason.
    prometheus::Counter &connectionEnd(const std::string &reason);
    /// Number of endpoints learned to leave from this source.
    prometheus::Counter &leavingEndpoints(const std::string &source);
    /// Number of requests handed over, by direction.
    prometheus::Counter &handovers(const std::string &direction);
    prometheus::Histogram &firstEventSeconds;
    prometheus::Histogram &answerSeconds;
    prometheus::Histogram &waitSeconds;
    prometheus::Counter &resumes;
    prometheus::Counter &silences;
    prometheus::Counter &cancelled;
    prometheus::Counter &yields;
    prometheus::Counter &bookings;
    prometheus::Counter &unknownUsage;
    prometheus::Counter &quietEndpoints;
    prometheus::Gauge &coldEndpoints;
    prometheus::Counter &coldTimes;
    prometheus::Counter &storeEras;
    prometheus::Gauge &evacuatedDomains;
    prometheus::Counter &endpointCrashes;
    prometheus::Gauge &blockedParts;
    prometheus::Gauge &servicesOutOfReach;
    prometheus::Counter &prefixHits;
    prometheus::Counter &prefixTokensSaved;
    prometheus::Counter &regionRefusals;
    prometheus::Gauge &bodyBytes;
    prometheus::Gauge &answerBytes;
    prometheus::Gauge &answersGivenUp; ///< Since the start.

private:
    Metrics &metrics_;
    std::map<std::string, prometheus::Counter *> outcomes_;
    std::map<std::string, prometheus::Counter *> failures_;
    std::map<std::string, prometheus::Counter *> connectionEnds_;
    std::map<std::string, prometheus::Counter *> leaving_;
    std::map<std::string, prometheus::Counter *> handovers_;
};

} // namespace cicadafork::gateway
