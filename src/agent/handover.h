#pragma once

// Moves established flows with their complete state to other agents while the
// own backend server, VM or process is leaving.

#include "agent/board.h"
#include "agent/flows.h"

namespace damaskwalk {

class HandoverController
{
public:
  HandoverController(AgentBoard& aBoard, FlowController& aFlows);

  // Starts a handover of all movable flows if this agent has to give up its
  // flows.
  auto Tick() -> void;
  auto OnHandover(const Handover& aHandover) -> HandoverReply;
  auto IsBusy() const -> bool { return handingOver_; }

private:
  auto MustHandOver() -> bool;
  auto HandOverFlows() -> Task<void>;
  // Offers flows to a target, then those it refused to the next one. Flows that
  // no agent accepts resume here.
  auto HandOverBatch(Endpoint aTarget, std::vector<FlowState> aStates)
    -> Task<void>;
  auto ChooseTarget(const FlowKey& aFlow, const Endpoint& aExcept) -> Endpoint;
  auto SendBatch(Endpoint aTarget, const Handover& aHandover)
    -> Task<std::optional<HandoverReply>>;

  AgentBoard& board_;
  FlowController& flows_;
  std::atomic<bool> handingOver_{ false };
  prometheus::Counter& handedOver_;
  prometheus::Counter& takenOver_;
};

} // namespace damaskwalk
