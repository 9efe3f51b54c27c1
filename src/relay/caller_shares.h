#pragma once

// Admissions per caller within about the last second, for the order in which
// waiting first packets are served.
//
// Guards against one caller that sends many times what the others do: without
// shares it gets as many times their capacity while first packets wait.

#include "core/clock.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <array>
#include <cstdint>
#include <optional>

namespace damaskwalk {

// Space-Saving sketch (Metwally, Agrawal, El Abbadi 2005) of the admissions of
// one window. While there are no more callers than counters, it is exact.
class AdmissionSketch
{
public:
  struct Counter
  {
    std::uint32_t count = 0; // at least the caller's admissions
    std::uint32_t error = 0; // exceeds them by no more than this
  };

  // @return the caller whose counter was reused, if any.
  auto Count(std::uint32_t aCallerIp) -> std::optional<std::uint32_t>;
  // Keeps a counter of 0 for a caller if one is free.
  auto Note(std::uint32_t aCallerIp) -> void;
  auto Contains(std::uint32_t aCallerIp) const -> bool
  {
    return counters_.contains(aCallerIp);
  }
  // Admissions that the caller certainly had; at most Total() divided by the
  // number of counters below the true number.
  auto AtLeast(std::uint32_t aCallerIp) const -> std::uint64_t;
  auto Total() const -> std::uint64_t { return total_; }
  auto Size() const -> std::size_t { return counters_.size(); }
  auto Clear() -> void;

private:
  boost::unordered_flat_map<std::uint32_t, Counter> counters_;
  std::uint64_t total_ = 0;
};

// Two windows that alternate, so that admissions are forgotten after 0.5 to 1
// s. A caller's share is the mean over the callers that were admitted or waited
// in these windows. Callers are only marked for what they certainly had: with
// more callers than counters, a caller slightly above its share may go
// unmarked, but none below it is marked.
//
// Single threaded. Times come from a monotonic clock.
class CallerShares
{
public:
  // A first packet of the caller waits. Starts the counting of admissions,
  // which goes on for kCallerShareMemory after the last such call.
  auto OnWaiting(std::uint32_t aCallerIp, TimePoint aNow) -> void;
  // Does nothing while no first packet waits or did so lately.
  auto OnAdmitted(std::uint32_t aCallerIp, TimePoint aNow) -> void;
  auto IsAboveShare(std::uint32_t aCallerIp, TimePoint aNow) const -> bool;
  // Callers with a counter in either window.
  auto KnownCallers() const -> std::size_t { return known_; }

private:
  auto Rotate(TimePoint aNow) -> void;
  auto Current() -> AdmissionSketch& { return windows_[current_]; }
  auto Previous() -> AdmissionSketch& { return windows_[1 - current_]; }

  std::array<AdmissionSketch, 2> windows_;
  std::size_t current_ = 0;
  std::size_t known_ = 0;
  TimePoint windowStart_;
  TimePoint activeUntil_;
};

} // namespace damaskwalk
