#pragma once

// Metrics of one process, served in the Prometheus text format.

#include "core/types.h"

#include <prometheus/counter.h>
#include <prometheus/exposer.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>

namespace damaskwalk {

class Metrics
{
public:
  Metrics();

  // Starts to serve; false when the port is in use.
  auto Serve(const Endpoint& aAddress) -> bool;

  auto Counter(const std::string& aName,
               const std::string& aHelp,
               const prometheus::Labels& aLabels = {}) -> prometheus::Counter&;
  auto Gauge(const std::string& aName, const std::string& aHelp)
    -> prometheus::Gauge&;
  // Buckets from 50 microseconds to 10 seconds.
  auto Seconds(const std::string& aName,
               const std::string& aHelp,
               const prometheus::Labels& aLabels = {})
    -> prometheus::Histogram&;

private:
  std::shared_ptr<prometheus::Registry> registry_;
  std::unique_ptr<prometheus::Exposer> exposer_;
};

} // namespace damaskwalk
