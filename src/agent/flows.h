#pragma once

// The owner's part: streams of the flows that this agent owns.

#include "agent/board.h"

namespace damaskwalk {

class FlowController
{
public:
  explicit FlowController(AgentBoard& aBoard);

  // A packet for this agent as owner. False when the flow is not here.
  auto OnFrame(const Frame& aFrame) -> bool;
  // Creates a flow on its first packet; false when the table is full.
  auto Open(const Frame& aSyn, std::uint32_t aEpoch) -> bool;
  auto Tick() -> void;
  // Ends flows whose address no longer belongs to the agent's service.
  auto ResetForeignFlows(const Document& aDocument) -> void;

  // Handover: takes a flow's whole state away; nothing while a request of it
  // is being served.
  auto Detach(const FlowKey& aFlow) -> std::optional<FlowState>;
  // Puts a flow in place; false when it may not live here.
  auto Attach(const FlowState& aState) -> bool;
  // Goes on here after all, under the epoch that was tried elsewhere.
  auto Resume(const FlowState& aState) -> void;
  auto SetMoved(const FlowKey& aFlow, const Endpoint& aOwner) -> void;
  auto MovedTo(const FlowKey& aFlow) -> Endpoint;
  auto FlowKeys() -> std::vector<FlowKey>;
  // Answers a look-up: the flow's epoch, when it lives here and, if it is not
  // established, when the acknowledgement fits its handshake.
  auto OwnedEpoch(const FlowKey& aFlow, std::uint32_t aAcknowledgement)
    -> std::optional<std::uint32_t>;
  // Another owner has a later claim on the flow.
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
