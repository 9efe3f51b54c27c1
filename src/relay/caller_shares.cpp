#include "relay/caller_shares.h"

#include "relay/limits.h"

#include <algorithm>

namespace damaskwalk {

auto AdmissionSketch::Count(std::uint32_t aCallerIp)
  -> std::optional<std::uint32_t>
{
  ++total_;
  const auto found = counters_.find(aCallerIp);
  if (found != counters_.end()) {
    ++found->second.count;
    return std::nullopt;
  }
  if (counters_.size() < kCallerShareCounters) {
    counters_[aCallerIp] = { 1, 0 };
    return std::nullopt;
  }
  const auto least = std::ranges::min_element(
    counters_, {}, [](const auto& aEntry) { return aEntry.second.count; });
  const auto reused = least->first;
  const auto count = least->second.count;
  counters_.erase(least);
  counters_[aCallerIp] = { count + 1, count };
  return reused;
}

auto AdmissionSketch::Note(std::uint32_t aCallerIp) -> void
{
  if (counters_.size() < kCallerShareCounters) {
    counters_.try_emplace(aCallerIp);
  }
}

auto AdmissionSketch::AtLeast(std::uint32_t aCallerIp) const -> std::uint64_t
{
  const auto found = counters_.find(aCallerIp);
  return found == counters_.end() ? 0
                                  : found->second.count - found->second.error;
}

auto AdmissionSketch::Clear() -> void
{
  counters_.clear();
  total_ = 0;
}

auto CallerShares::Rotate(TimePoint aNow) -> void
{
  const auto age = aNow - windowStart_;
  if (age < kCallerShareWindow) {
    return;
  }
  if (age >= 2 * kCallerShareWindow) {
    Current().Clear();
    windowStart_ = aNow;
  } else {
    windowStart_ += kCallerShareWindow;
  }
  current_ = 1 - current_;
  Current().Clear();
  known_ = Previous().Size();
}

auto CallerShares::OnWaiting(std::uint32_t aCallerIp, TimePoint aNow) -> void
{
  Rotate(aNow);
  activeUntil_ = aNow + kCallerShareMemory;
  const auto before = Current().Size();
  Current().Note(aCallerIp);
  if (Current().Size() > before && !Previous().Contains(aCallerIp)) {
    ++known_;
  }
}

auto CallerShares::OnAdmitted(std::uint32_t aCallerIp, TimePoint aNow) -> void
{
  if (aNow >= activeUntil_) {
    return;
  }
  Rotate(aNow);
  const bool isNew =
    !Current().Contains(aCallerIp) && !Previous().Contains(aCallerIp);
  const auto reused = Current().Count(aCallerIp);
  known_ += isNew ? 1 : 0;
  known_ -= reused && !Previous().Contains(*reused) ? 1 : 0;
}

auto CallerShares::IsAboveShare(std::uint32_t aCallerIp, TimePoint aNow) const
  -> bool
{
  const auto age = aNow - windowStart_;
  if (age >= 2 * kCallerShareWindow) {
    return false;
  }
  const auto& current = windows_[current_];
  auto admitted = current.AtLeast(aCallerIp);
  if (age >= kCallerShareWindow) {
    return admitted * current.Size() > current.Total();
  }
  const auto& previous = windows_[1 - current_];
  admitted += previous.AtLeast(aCallerIp);
  return admitted * known_ > current.Total() + previous.Total();
}

} // namespace damaskwalk
