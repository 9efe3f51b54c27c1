#include "relay_node/answer_histogram.h"

namespace damaskwalk {

AnswerHistogram::AnswerHistogram()
  : histogram_(prometheus::Histogram::BucketBoundaries{ 0.005,
                                                        0.01,
                                                        0.025,
                                                        0.05,
                                                        0.1,
                                                        0.25,
                                                        0.5,
                                                        1,
                                                        2.5,
                                                        5 })
{
}

auto AnswerHistogram::OnAnswer(std::chrono::microseconds aTook) -> void
{
  const std::chrono::duration<double> seconds = aTook;
  histogram_.Observe(seconds.count());
}

auto AnswerHistogram::Collect() const -> prometheus::ClientMetric
{
  return histogram_.Collect();
}

} // namespace damaskwalk
