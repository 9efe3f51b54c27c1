#pragma once

// Moves established flows with their whole state to other agents while the
// own backend server, VM or process leaves.

#include "agent/board.h"
#include "agent/flows.h"

namespace damaskwalk {

class HandoverController
{
public:
  HandoverController(AgentBoard& aBoard, FlowController& aFlows);

  // Moves what can be moved now, while this agent may not keep its flows.
  auto Tick() -> void;
  auto OnHandover(const Handover& aHandover) -> HandoverReply;
  auto IsBusy() const -> bool { return handingOver_; }

private:
  auto MustHandOver() -> bool;
  auto HandOverFlows() -> Task<void>;
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
