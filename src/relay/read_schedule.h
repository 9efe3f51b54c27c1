#pragma once

// When a process reads the store itself. One process reads for all; the others
// take over by rank once nobody has confirmed the state for a while.

#include "relay/fleet_state.h"

namespace damaskwalk {

// Position of a process in the order of readers: agents by rendezvous, then
// balancers, whose processors and links are smaller.
// @param aSelf the agent's packet endpoint; invalid for a balancer.
auto ReaderRank(const FleetState& aState, const Endpoint& aSelf)
  -> std::uint32_t;

// Single threaded.
class ReadSchedule
{
public:
  explicit ReadSchedule(const Clock& aClock);

  // @param aAge since somebody confirmed the state; nothing: no state yet.
  auto IsDue(std::uint32_t aRank, std::optional<Millis> aAge) const -> bool;
  auto OnReadFinished(bool aSucceeded) -> void;
  // Routes are read with the first and then every second read.
  auto WantsRoutes() const -> bool;

private:
  const Clock& clock_;
  TimePoint nextAllowed_;
  std::uint32_t reads_ = 0;
};

} // namespace damaskwalk
