#pragma once

// From whom a process fetches newer state, and when.

#include "core/clock.h"

#include <cstdint>
#include <unordered_map>

namespace damaskwalk {

// A pull from a peer that does not answer must not keep the others waiting:
// after a power failure of all VMs most peers are not there yet. Single
// threaded.
class PullSchedule
{
public:
  explicit PullSchedule(const Clock& aClock);

  // @return false: enough pulls run already, or one from this peer does.
  auto Begin(std::uint32_t aPeer) -> bool;
  auto End(std::uint32_t aPeer) -> void;

private:
  const Clock& clock_;
  std::unordered_map<std::uint32_t, TimePoint> running_; // since when
};

} // namespace damaskwalk
