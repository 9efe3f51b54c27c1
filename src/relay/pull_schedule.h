#pragma once

// Decides when a process pulls newer state from a peer.

#include "core/clock.h"

#include <cstdint>
#include <unordered_map>

namespace damaskwalk {

// Limits concurrent pulls. A pull from a peer that does not answer must not
// delay the others: after a power failure of all VMs, most peers have not
// started yet. Single threaded.
class PullSchedule
{
public:
  explicit PullSchedule(const Clock& aClock);

  // @param aUrgent the process has no state yet. Such a pull waits only briefly
  // for replies of other peers, which may not run.
  // @return false if enough pulls are running, or one from this peer is.
  auto Begin(std::uint32_t aPeer, bool aUrgent = false) -> bool;
  auto End(std::uint32_t aPeer) -> void;

private:
  struct Pull
  {
    TimePoint began;
    bool urgent = false;
  };

  const Clock& clock_;
  std::unordered_map<std::uint32_t, Pull> running_; // by peer
};

} // namespace damaskwalk
