#include "runtime/metrics.h"

namespace damaskwalk {

Metrics::Metrics()
  : registry_(std::make_shared<prometheus::Registry>())
{
}

auto Metrics::Serve(const Endpoint& aAddress) -> bool
{
  try {
    exposer_ = std::make_unique<prometheus::Exposer>(ToText(aAddress), 1);
    exposer_->RegisterCollectable(registry_);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

auto Metrics::Counter(const std::string& aName,
                      const std::string& aHelp,
                      const prometheus::Labels& aLabels) -> prometheus::Counter&
{
  return prometheus::BuildCounter()
    .Name(aName)
    .Help(aHelp)
    .Register(*registry_)
    .Add(aLabels);
}

auto Metrics::Gauge(const std::string& aName, const std::string& aHelp)
  -> prometheus::Gauge&
{
  return prometheus::BuildGauge()
    .Name(aName)
    .Help(aHelp)
    .Register(*registry_)
    .Add({});
}

auto Metrics::Seconds(const std::string& aName,
                      const std::string& aHelp,
                      const prometheus::Labels& aLabels)
  -> prometheus::Histogram&
{
  static const prometheus::Histogram::BucketBoundaries kBuckets = {
    0.00005, 0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01,
    0.025,   0.05,   0.1,     0.25,   0.5,   1,      2.5,   10
  };
  return prometheus::BuildHistogram()
    .Name(aName)
    .Help(aHelp)
    .Register(*registry_)
    .Add(aLabels, kBuckets);
}

} // namespace damaskwalk
