#include "relay/cold_start_limit.h"

#include <algorithm>

namespace damaskwalk {

namespace {

// The limit holds in every span of this length.
constexpr std::chrono::seconds kWindow{ 1 };

} // namespace

ColdStartLimit::ColdStartLimit(const Clock& aClock)
  : clock_(aClock)
{
}

auto ColdStartLimit::Update(const ServiceLimits* aLimits, TimePoint aColdUntil)
  -> void
{
  flowsPerSecond_ = aLimits ? aLimits->coldFlowsPerSecond : 0;
  coldUntil_ = aColdUntil;
}

auto ColdStartLimit::IsCold() const -> bool
{
  return flowsPerSecond_ > 0 && clock_.Now() < coldUntil_;
}

auto ColdStartLimit::AdmittedWithinWindow() const -> std::size_t
{
  const auto oldest = clock_.Now() - kWindow;
  const auto first = std::ranges::upper_bound(admitted_, oldest);
  return static_cast<std::size_t>(admitted_.end() - first);
}

auto ColdStartLimit::Admits() const -> bool
{
  // A limit below one flow in the window still lets one through.
  const double limit = std::max(1.0, flowsPerSecond_);
  return !IsCold() || double(AdmittedWithinWindow()) + 1.0 <= limit;
}

auto ColdStartLimit::TimeToAdmit(std::size_t aAhead) const
  -> std::chrono::microseconds
{
  const auto now = clock_.Now();
  if (!IsCold()) {
    return std::chrono::microseconds{ 0 };
  }
  const std::chrono::duration<double> paced{
    double(AdmittedWithinWindow() + aAhead) / flowsPerSecond_
  };
  const auto wait =
    paced > kWindow ? paced - kWindow : std::chrono::duration<double>{ 0 };
  return std::min(
    std::chrono::duration_cast<std::chrono::microseconds>(wait),
    std::chrono::duration_cast<std::chrono::microseconds>(coldUntil_ - now));
}

auto ColdStartLimit::OnAdmitted() -> void
{
  if (flowsPerSecond_ <= 0) {
    admitted_.clear();
    return;
  }
  const auto now = clock_.Now();
  while (!admitted_.empty() && admitted_.front() <= now - kWindow) {
    admitted_.pop_front();
  }
  admitted_.push_back(now);
}

} // namespace damaskwalk
