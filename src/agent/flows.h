#pragma once

// The owner's role: terminates the streams of the flows that this agent owns
// and reads the requests that they carry.

#include "agent/board.h"

namespace damaskwalk {

class FlowController
{
public:
  explicit FlowController(AgentBoard& aBoard);

  // Processes a packet as the flow's owner. False when the flow is not owned
  // by this agent.
  auto OnFrame(const Frame& aFrame) -> bool;
  // Creates a flow on its SYN; false when the flow table is full.
  auto Open(const Frame& aSyn, std::uint32_t aEpoch) -> bool;
  auto Tick() -> void;
  // Resets flows whose address no longer belongs to the agent's service.
  auto ResetForeignFlows(const Document& aDocument) -> void;

  // Freezes a flow and returns its complete state for a handover; nothing when
  // the flow is not established or a request of it has been dispatched.
  auto Detach(const FlowKey& aFlow) -> std::optional<FlowState>;
  // Continues a flow that another owner detached. False when the flow table is
  // full or this agent holds the flow under a higher epoch. Repeating a state
  // of an equal epoch is harmless.
  auto Attach(const FlowState& aState) -> bool;
  // Unfreezes a detached flow that no other agent accepted. The state's epoch
  // is higher than any that was offered to another agent.
  auto Resume(const FlowState& aState) -> void;
  // Removes a flow that was handed over and keeps its new owner.
  auto SetMoved(const FlowKey& aFlow, const Endpoint& aOwner) -> void;
  // The owner to which the flow was handed over; invalid when it was not.
  auto MovedTo(const FlowKey& aFlow) -> Endpoint;
  auto FlowKeys() -> std::vector<FlowKey>;
  // The epoch of a flow that this agent owns. A flow that is not established
  // counts only when the acknowledgement matches its handshake.
  auto OwnedEpoch(const FlowKey& aFlow, std::uint32_t aAcknowledgement)
    -> std::optional<std::uint32_t>;
  // The directory holds another owner of the flow. Drops the flow when that
  // owner's epoch is higher; otherwise an established flow registers again
  // under the next epoch.
  auto OnReject(const FlowFact& aFact) -> void;

private:
  auto OnResponses(std::vector<Response> aResponses) -> void;
  auto ReadRequests(Flow& aFlow) -> void;
  auto BeginRequest(Flow& aFlow, HttpRequest aHttp) -> void;
  auto BeginFeed(Flow& aFlow, const HttpRequest& aHttp) -> void;
  auto Flush(Flow& aFlow) -> void;
  auto CloseIfDone(FlowShard& aShard, const FlowKey& aFlow) -> void;
  auto StreamSettings(const FlowKey& aFlow) const -> StreamInit;

  AgentBoard& board_;
  std::atomic<std::uint64_t> nextAttempt_;
  prometheus::Gauge& open_;
  prometheus::Counter& opened_;
  prometheus::Counter& refused_;
};

} // namespace damaskwalk
