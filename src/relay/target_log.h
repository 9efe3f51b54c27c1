#pragma once

// Which targets changed from one set to the next, so that a peer gets only what
// it lacks.

#include "relay/fleet_state.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace damaskwalk {

// Changes that turn one set of targets into another.
struct TargetDelta
{
  std::uint64_t fromHash = 0;
  std::uint64_t toHash = 0;
  StoreRevision revision; // of the later set
  std::vector<RelayTarget> changed;
  std::vector<std::string> removed; // ids
};

// Keeps the changes of the latest sets. Single threaded.
class TargetLog
{
public:
  // A set came into force. Unchanged sets are ignored.
  auto Add(const TargetSet& aSet) -> void;
  // The changes since a set.
  // @return nothing if that set is not known.
  auto Since(std::uint64_t aHash) const -> std::optional<TargetDelta>;

private:
  struct Step
  {
    std::uint64_t hash = 0; // of the set after the changes
    std::vector<std::string> ids;
  };

  TargetSet current_;
  std::deque<Step> steps_; // oldest first; the last is the current set's
  std::size_t ids_ = 0;    // in all steps
};

// @return nothing if the set is not the one that the delta starts from, or if
// the result is not the one that it states.
auto ApplyDelta(const TargetSet& aSet, const TargetDelta& aDelta)
  -> std::optional<TargetSet>;

} // namespace damaskwalk
