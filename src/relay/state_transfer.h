#pragma once

// Requests for newer state, the replies to them, and what they change. Targets
// travel as the changes since the set that the requester has, if the replying
// process knows that set, else as a whole.

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
  // @return true if routes or targets changed.
  auto Apply(StateReply aReply, Millis aTook) -> bool;
  // Targets changed.
  auto OnTargetsChanged() -> void;
  auto Counts() const -> const TransferCounts& { return counts_; }

private:
  FleetState& state_;
  TargetLog log_;
  bool wantsWhole_ = false;
  TransferCounts counts_;
};

} // namespace damaskwalk
