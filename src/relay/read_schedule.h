#pragma once

// Decides when a process reads the store itself. One process reads for all; the
// others take over by rank if the state has not been confirmed for a while.

#include "relay/fleet_state.h"

namespace damaskwalk {

// Position of a process in the order of store readers: agents by rendezvous
// weight, then balancers, whose processors and links are smaller.
// @param aSelf the agent's packet endpoint; invalid for a balancer.
auto ReaderRank(const FleetState& aState, const Endpoint& aSelf)
  -> std::uint32_t;

// Single threaded.
class ReadSchedule
{
public:
  explicit ReadSchedule(const Clock& aClock);

  // @param aAge time since the state was last confirmed; nothing: no state yet.
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
