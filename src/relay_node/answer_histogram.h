#pragma once

// Time that backend servers take to answer, as a Prometheus histogram.

#include "relay/agent_relay.h"

#include <prometheus/histogram.h>

namespace damaskwalk {

class AnswerHistogram final : public AnswerObserver
{
public:
  AnswerHistogram();
  auto OnAnswer(std::chrono::microseconds aTook) -> void override;
  auto Collect() const -> prometheus::ClientMetric;

private:
  prometheus::Histogram histogram_;
};

} // namespace damaskwalk
