#pragma once

// Limits the new flows of a backend server that is cold: one that has started
// recently, or whose failure domain was evacuated until recently. More flows
// than it can take would fill its queue before it is warm.

#include "core/clock.h"
#include "relay/fleet_state.h"

#include <deque>

namespace damaskwalk {

// Single threaded.
class ColdStartLimit
{
public:
  explicit ColdStartLimit(const Clock& aClock);

  // @param aLimits of the server's service; null: none are stated.
  // @param aColdUntil end of the server's cold phase.
  auto Update(const ServiceLimits* aLimits, TimePoint aColdUntil) -> void;
  // True if one more flow may open now.
  auto Admits() const -> bool;
  // Time until the flow behind aAhead others may open.
  auto TimeToAdmit(std::size_t aAhead) const -> std::chrono::microseconds;
  auto OnAdmitted() -> void;

private:
  auto IsCold() const -> bool;
  auto FlowsPerWindow() const -> std::size_t;

  const Clock& clock_;
  double flowsPerSecond_ = 0; // 0: no limit
  TimePoint coldUntil_;
  std::deque<TimePoint> admitted_; // within the window, oldest first
};

} // namespace damaskwalk
