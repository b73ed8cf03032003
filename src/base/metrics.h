#pragma once

// Counters, gauges and histograms, exposed in the Prometheus text format.
//
//   Metrics metrics;
//   prometheus::Counter &refused =
//           metrics.counter("cicadafork_refused_total", "Requests refused", {{"reason",
//           "queue_full"}});
//   refused.Increment();
//
// Look a metric up once and keep the reference: a look-up locks and compares strings.

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/labels.h>
#include <prometheus/registry.h>

#include <string>
#include <vector>

namespace cicadafork {

class Metrics
{
public:
    prometheus::Counter &counter(const std::string &name, const std::string &help,
                                 const prometheus::Labels &labels = {});
    prometheus::Gauge &gauge(const std::string &name, const std::string &help,
                             const prometheus::Labels &labels = {});
    /// Bucket bounds are upper limits in the unit that the name states.
    prometheus::Histogram &histogram(const std::string &name, const std::string &help,
                                     const std::vector<double> &bounds,
                                     const prometheus::Labels &labels = {});

    /// All metrics in the Prometheus text format, version 0.0.4.
    std::string serialize() const;

private:
    prometheus::Registry registry_{prometheus::Registry::InsertBehavior::Merge};
};

} // namespace cicadafork
