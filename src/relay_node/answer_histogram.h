#pragma once

// Prometheus histogram of the backend server's time to answer, in seconds.

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
