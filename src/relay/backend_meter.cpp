#include "relay/backend_meter.h"

#include "relay/limits.h"

#include <algorithm>
#include <cmath>

namespace damaskwalk {

namespace {

// Weight of one request in the moving average of the service time, which
// settles after about thirty requests.
constexpr double kServiceTimeWeight = 0.06;
constexpr double kFailureWeight = 0.1;
constexpr std::chrono::duration<double> kLoadWindow{ 1.0 };

} // namespace

BackendMeter::BackendMeter(const Clock& aClock)
  : clock_(aClock)
  , integratedAt_(aClock.Now())
  , nextEjectionTime_(kFirstEjectionTime)
  , rejectsFlowsUntil_(aClock.Now())
  , downUntil_(aClock.Now())
{
}

auto BackendMeter::UpdateMeanInFlight() -> void
{
  const auto now = clock_.Now();
  const std::chrono::duration<double> span = now - integratedAt_;
  const double kept = std::exp(-span / kLoadWindow);
  meanInFlight_ = meanInFlight_ * kept + inFlight_ * (1.0 - kept);
  integratedAt_ = now;
}

auto BackendMeter::BeginRequest() -> std::uint32_t
{
  UpdateMeanInFlight();
  return inFlight_++;
}

auto BackendMeter::OnAnswer(bool aFailed) -> void
{
  ++answers_;
  failureShare_ += kFailureWeight * ((aFailed ? 1.0 : 0.0) - failureShare_);
  if (aFailed) {
    OnFailure();
  } else {
    OnSuccess();
  }
}

auto BackendMeter::OnFailure() -> void
{
  ++failuresInRow_;
  successesInRow_ = 0;
  const bool highFailureShare = answers_ >= kMinFailureShareSamples &&
                                failureShare_ > kFailureShareThreshold;
  if (ejected_
        ? IsOnTrial()
        : failuresInRow_ >= kConsecutiveFailuresThreshold || highFailureShare) {
    Eject();
  }
}

auto BackendMeter::OnSuccess() -> void
{
  failuresInRow_ = 0;
  ++successesInRow_;
  if (ejected_ && IsOnTrial() && successesInRow_ >= kRestoreSuccessThreshold) {
    ejected_ = false;
    restoredAt_ = clock_.Now();
    failureShare_ = 0;
    answers_ = 0;
  }
}

auto BackendMeter::Eject() -> void
{
  const auto now = clock_.Now();
  if (!ejected_ && now - restoredAt_ > kMaxEjectionTime) {
    nextEjectionTime_ = kFirstEjectionTime;
  }
  ejected_ = true;
  ejectedUntil_ = now + nextEjectionTime_;
  nextEjectionTime_ = std::min(2 * nextEjectionTime_, kMaxEjectionTime);
}

auto BackendMeter::IsOnTrial() const -> bool
{
  return ejected_ && clock_.Now() >= ejectedUntil_;
}

auto BackendMeter::StartTrial() -> bool
{
  const auto now = clock_.Now();
  if (!IsOnTrial() || now - lastTrial_ < kTrialPeriod) {
    return false;
  }
  lastTrial_ = now;
  return true;
}

auto BackendMeter::EndRequest(TimePoint aBegan, std::uint32_t aInFlightBefore)
  -> void
{
  AbandonRequest();
  // Earlier requests share the slots; time spent waiting for them is not
  // service time.
  const std::chrono::duration<double, std::micro> took = clock_.Now() - aBegan;
  const double requestsPerSlot =
    std::max(1.0, (aInFlightBefore + 1.0) / slots_);
  const double sample = took.count() / requestsPerSlot;
  serviceMicros_ =
    serviceMicros_ == 0
      ? sample
      : serviceMicros_ + kServiceTimeWeight * (sample - serviceMicros_);
}

auto BackendMeter::AbandonRequest() -> void
{
  UpdateMeanInFlight();
  inFlight_ -= inFlight_ > 0 ? 1 : 0;
}

auto BackendMeter::ServiceTime() const -> std::chrono::microseconds
{
  return serviceMicros_ == 0 ? kDefaultServiceTime
                             : std::chrono::microseconds{
                                 static_cast<std::int64_t>(serviceMicros_)
                               };
}

auto BackendMeter::OnFlowOpened() -> void
{
  unanswered_ = 0;
  rejectsFlowsUntil_ = clock_.Now();
  downUntil_ = rejectsFlowsUntil_;
}

auto BackendMeter::OnFlowRefused() -> void
{
  rejectsFlowsUntil_ =
    std::max(rejectsFlowsUntil_, clock_.Now() + kRefusedRetryDelay);
}

auto BackendMeter::OnOpenTimeout() -> void
{
  if (++unanswered_ >= kUnresponsiveThreshold) {
    rejectsFlowsUntil_ = clock_.Now() + kUnresponsiveRetryDelay;
  }
}

auto BackendMeter::OnBackendDown() -> void
{
  rejectsFlowsUntil_ = clock_.Now() + kUnresponsiveRetryDelay;
  downUntil_ = rejectsFlowsUntil_;
  portClosed_ = true;
}

auto BackendMeter::OnBackendPacket() -> void
{
  portClosed_ = false;
}

auto BackendMeter::IsDown() const -> bool
{
  return clock_.Now() < downUntil_;
}

auto BackendMeter::AcceptsFlows() const -> bool
{
  return clock_.Now() >= rejectsFlowsUntil_;
}

auto BackendMeter::FillReport(BackendLoad& aReport) -> void
{
  UpdateMeanInFlight();
  aReport.acceptsFlows = AcceptsFlows();
  aReport.failing = ejected_;
  aReport.onTrial = IsOnTrial();
  aReport.slots = slots_;
  aReport.inFlight = inFlight_;
  aReport.meanInFlightHundredths =
    static_cast<std::uint32_t>(meanInFlight_ * 100.0);
  aReport.serviceMicros = static_cast<std::uint32_t>(serviceMicros_);
  aReport.failurePerMille = static_cast<std::uint32_t>(failureShare_ * 1000.0);
}

} // namespace damaskwalk
