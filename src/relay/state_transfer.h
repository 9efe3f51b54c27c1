#pragma once

// Requests for newer state, the replies to them, and what they change. Targets
// travel as the changes since the set that the requester has, if the replying
// process knows that set. Whole state is packed once and sent many times: after
// a loss of power the links of a few seeds carry it to all balancers.

#include "relay/peer_messages.h"
#include "relay/target_log.h"

namespace damaskwalk {

struct TransferCounts
{
  std::uint64_t deltasSent = 0;
  std::uint64_t wholeSent = 0;
  // Deltas that did not fit the own set; the whole set is asked for next.
  std::uint64_t deltasRefused = 0;
};

// Single threaded.
class StateTransfer
{
public:
  explicit StateTransfer(FleetState& aState);

  auto MakeRequest() const -> StateRequest;
  auto MakeReply(const StateRequest& aRequest) -> StateReply;
  // @param aTook time since the request was sent.
  // @return true if routes, their history, targets or evacuations changed.
  auto Apply(StateReply aReply, Millis aTook) -> bool;
  // Targets changed.
  auto OnTargetsChanged() -> void;
  auto Counts() const -> const TransferCounts& { return counts_; }

private:
  auto AddTargets(const StateRequest& aRequest, StateReply& aReply) -> void;
  auto AddOperations(const StateRequest& aRequest, StateReply& aReply) const
    -> void;
  // Moves the whole routes and targets of a reply to its packed part.
  auto PackReply(StateReply& aReply) -> void;

  FleetState& state_;
  TargetLog log_;
  struct PackedState
  {
    StateDigest of; // without the age; routes or targets are 0 if left out
    std::size_t ports = 0; // known ones of the backend servers
    std::string bytes;
  };
  std::vector<PackedState> packed_; // the latest first
  bool wantsWhole_ = false;
  TransferCounts counts_;
};

} // namespace damaskwalk
