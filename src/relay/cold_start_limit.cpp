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

auto ColdStartLimit::FlowsPerWindow() const -> std::size_t
{
  // A limit below one flow in the window still lets one through.
  constexpr double kMost = 1e6;
  return static_cast<std::size_t>(std::clamp(flowsPerSecond_, 1.0, kMost));
}

auto ColdStartLimit::Admits() const -> bool
{
  return TimeToAdmit(0) == std::chrono::microseconds{ 0 };
}

auto ColdStartLimit::TimeToAdmit(std::size_t aAhead) const
  -> std::chrono::microseconds
{
  const auto now = clock_.Now();
  if (!IsCold()) {
    return std::chrono::microseconds{ 0 };
  }
  const auto first = std::ranges::upper_bound(admitted_, now - kWindow);
  const auto within = static_cast<std::size_t>(admitted_.end() - first);
  const auto limit = FlowsPerWindow();
  const auto windows = aAhead / limit;
  const auto place = within + aAhead % limit;
  // A flow opens a window after the one that it must not share it with.
  auto opensAt = now + kWindow * static_cast<std::int64_t>(windows);
  if (place >= limit) {
    opensAt +=
      *(first + static_cast<std::ptrdiff_t>(place - limit)) + kWindow - now;
  }
  return std::chrono::duration_cast<std::chrono::microseconds>(
    std::min(opensAt, coldUntil_) - now);
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
