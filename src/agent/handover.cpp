#include "agent/handover.h"

#include "runtime/log.h"

#include <algorithm>

namespace damaskwalk {

namespace {

constexpr std::size_t kMaxFlowsPerBatch = 64;
constexpr Millis kBatchTimeout{ 1000 };
constexpr Millis kRetryDelay{ 50 };

} // namespace

HandoverController::HandoverController(AgentBoard& aBoard,
                                       FlowController& aFlows)
  : board_(aBoard)
  , flows_(aFlows)
  , handedOver_(
      aBoard.node.Meter().Counter("damaskwalk_flows_handed_over_total",
                                  "Flows given to another agent"))
  , takenOver_(aBoard.node.Meter().Counter("damaskwalk_flows_taken_over_total",
                                           "Flows taken from another agent"))
{
}

auto HandoverController::MustHandOver() -> bool
{
  const auto document = board_.node.Board().documents.Current();
  if (document->version == 0) {
    return false;
  }
  const auto* own = board_.OwnBackend(*document);
  return !own || own->state != BackendState::Active ||
         board_.node.IsStopping() || board_.node.IsListedLeaving() ||
         board_.backend.draining || !board_.backend.reachable;
}

auto HandoverController::Tick() -> void
{
  if (board_.flows.Count() == 0 || !MustHandOver() ||
      !board_.node.IsCurrent()) {
    return;
  }
  if (!handingOver_.exchange(true)) {
    board_.node.Spawn(HandOverFlows());
  }
}

auto HandoverController::ChooseTarget(const FlowKey& aFlow,
                                      const Endpoint& aExcept) -> Endpoint
{
  const auto document = board_.node.Board().documents.Current();
  const auto* service = document->FindByAddress(aFlow.address);
  if (!service) {
    return {};
  }
  const std::lock_guard lock(board_.admission.mutex);
  auto candidates = board_.Candidates(*service);
  for (auto& candidate : candidates) {
    const bool excluded =
      candidate.agent == aExcept || candidate.agent == board_.node.Self();
    candidate.usable = candidate.usable && !excluded;
  }
  const auto chosen = board_.placement->PlaceFlow(candidates, HashOf(aFlow));
  if (chosen == Placement::kNone) {
    return {};
  }
  const std::lock_guard peerLock(board_.peers.mutex);
  ++board_.peers.peers[candidates[chosen].agent].placedFlows;
  return candidates[chosen].agent;
}

auto HandoverController::HandOverFlows() -> Task<void>
{
  std::unordered_map<Endpoint, std::vector<FlowState>, KeyHash> batches;
  for (const auto& flow : flows_.FlowKeys()) {
    const auto target = ChooseTarget(flow, {});
    if (!target.IsValid()) {
      break;
    }
    if (auto state = flows_.Detach(flow)) {
      ++state->epoch;
      auto& batch = batches[target];
      batch.push_back(std::move(*state));
      if (batch.size() == kMaxFlowsPerBatch) {
        auto full = std::exchange(batch, {});
        co_await HandOverBatch(target, std::move(full));
      }
    }
  }
  for (auto& [target, batch] : batches) {
    if (!batch.empty()) {
      co_await HandOverBatch(target, std::move(batch));
    }
  }
  co_await board_.node.Sleep(kRetryDelay);
  handingOver_ = false;
}

// After a lost reply the target may own the flows, so the batch is repeated to
// the same target until it replies, refuses the connection or is dead. Equal
// epochs make the repetition harmless; the next target gets a higher epoch.
auto HandoverController::SendBatch(Endpoint aTarget, const Handover& aHandover)
  -> Task<std::optional<HandoverReply>>
{
  bool mayHoldFlows = false;
  for (;;) {
    auto outcome = co_await board_.node.Call(aTarget, aHandover, kBatchTimeout);
    const auto* reply = std::get_if<HandoverReply>(&outcome.message);
    if (outcome.status == CallStatus::Replied && reply) {
      co_return *reply;
    }
    mayHoldFlows = mayHoldFlows || outcome.status == CallStatus::Lost;
    const bool gone = outcome.status == CallStatus::Refused ||
                      board_.node.Board().members.IsDead(aTarget);
    if (gone || !mayHoldFlows) {
      co_return std::nullopt;
    }
    co_await board_.node.Sleep(kRetryDelay);
  }
}

auto HandoverController::HandOverBatch(Endpoint aTarget,
                                       std::vector<FlowState> aStates)
  -> Task<void>
{
  Handover handover;
  handover.service = ServiceIdOf("");
  const auto document = board_.node.Board().documents.Current();
  if (const auto* service =
        document->FindByAddress(aStates.front().flow.address)) {
    handover.service = service->id;
  }
  handover.flows = std::move(aStates);
  auto target = aTarget;
  while (target.IsValid() && !handover.flows.empty()) {
    const auto reply = co_await SendBatch(target, handover);
    std::vector<FlowState> remaining;
    for (auto& state : handover.flows) {
      const bool refused =
        !reply || reply->accepted == 0 ||
        std::ranges::find(reply->refused, state.flow) != reply->refused.end();
      if (refused) {
        remaining.push_back(std::move(state));
        continue;
      }
      flows_.SetMoved(state.flow, target);
      handedOver_.Increment();
      board_.RecordEvent("event=flow_handed_over flow=" + ToText(state.flow) +
                         " to=" + ToText(target) +
                         " epoch=" + std::to_string(state.epoch));
    }
    handover.flows = std::move(remaining);
    if (handover.flows.empty()) {
      break;
    }
    for (auto& state : handover.flows) {
      ++state.epoch;
    }
    target = ChooseTarget(handover.flows.front().flow, target);
  }
  for (const auto& state : handover.flows) {
    flows_.Resume(state);
  }
}

auto HandoverController::OnHandover(const Handover& aHandover) -> HandoverReply
{
  const auto document = board_.node.Board().documents.Current();
  const auto* own = board_.OwnService(*document);
  HandoverReply reply;
  const bool allowed =
    own && own->id == aHandover.service && board_.AcceptsNewWork();
  if (!allowed) {
    return reply;
  }
  reply.accepted = 1;
  for (const auto& state : aHandover.flows) {
    const auto* service = document->FindByAddress(state.flow.address);
    const bool belongs = service && service->id == own->id;
    if (!belongs || !flows_.Attach(state)) {
      reply.refused.push_back(state.flow);
      continue;
    }
    takenOver_.Increment();
    board_.RecordEvent("event=flow_taken_over flow=" + ToText(state.flow) +
                       " epoch=" + std::to_string(state.epoch));
  }
  return reply;
}

} // namespace damaskwalk
