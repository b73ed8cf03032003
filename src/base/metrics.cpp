#include "base/metrics.h"

#include <prometheus/text_serializer.h>

namespace cicadafork {

prometheus::Counter &Metrics::counter(const std::string &name, const std::string &help,
                                      const prometheus::Labels &labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry_).Add(labels);
}

prometheus::Gauge &Metrics::gauge(const std::string &name, const std::string &help,
                                  const prometheus::Labels &labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry_).Add(labels);
}

prometheus::Histogram &Metrics::histogram(const std::string &name, const std::string &help,
                                          const std::vector<double> &bounds,
                                          const prometheus::Labels &labels)
{
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry_).Add(labels,
                                                                                      bounds);
}

std::string Metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

} // namespace cicadafork
