// The agent's part for later packets of flows that are not in its table.

#include "relay/agent_relay.h"
#include "relay/limits.h"

namespace damaskwalk {

auto AgentRelay::Search(Packet& aPacket, RelayPort& aPort) -> void
{
  const auto* route = state_.FindRoute(aPacket.flow.address);
  if (!route) {
    return;
  }
  aPacket.tag.wantsHint = true;
  if (FollowRecord(aPacket, aPort)) {
    return;
  }
  // A live flow has had a packet here within the idle timeout. Until entries
  // were kept for that long, only the backend server knows whether it has it.
  if (!HasCompleteFlowTable() && !aPacket.returned && !meter_.IsDown() &&
      !flows_.contains(aPacket.flow) && route->Allows(Service())) {
    ++counters_.delivered;
    aPort.SendToBackend(aPacket);
    return;
  }
  auto& tag = aPacket.tag;
  SearchStep step;
  if (tag.searching) {
    step = order_.Next(*route, aPacket.flow, init_.self);
    tag.complete &= tag.view == order_.ViewHash(*route);
  } else {
    step = order_.First(*route, aPacket.flow);
    if (step.agent == init_.self) {
      step = order_.Next(*route, aPacket.flow, init_.self);
    }
    tag.searching = true;
    tag.complete = true;
    tag.view = order_.ViewHash(*route);
  }
  tag.complete &= !step.skippedSilent;
  if (!step.agent || tag.hops >= kMaxSearchHops) {
    EndSearch(aPacket, aPort);
    return;
  }
  ++counters_.searched;
  ++tag.hops;
  aPort.SendToAgent(*step.agent, aPacket);
}

auto AgentRelay::HasCompleteFlowTable() const -> bool
{
  return clock_.Now() - trackingSince_ >= state_.IdleTimeout();
}

auto AgentRelay::FollowRecord(Packet& aPacket, RelayPort& aPort) -> bool
{
  if (aPacket.tag.followedRecord) {
    return false;
  }
  const auto record = records_.find(aPacket.flow);
  if (record == records_.end() || record->second.agent == init_.self) {
    return false;
  }
  ++counters_.followed;
  ++aPacket.tag.hops;
  aPacket.tag.followedRecord = true;
  // If the record is wrong, the agent it names starts a new search.
  aPacket.tag.searching = false;
  aPort.SendToAgent(record->second.agent, aPacket);
  return true;
}

auto AgentRelay::EndSearch(const Packet& aPacket, RelayPort& aPort) -> void
{
  ++counters_.searchEnded;
  const auto* route = state_.FindRoute(aPacket.flow.address);
  const auto silent = route ? order_.SilentAgents(*route) : std::string();
  const bool agree = route && order_.ViewHash(*route) == aPacket.tag.view;
  const char* outcome = "dropped";
  if (aPacket.tag.complete && !aPacket.resets) {
    outcome = "reset";
    ++counters_.resets;
    aPort.ResetCaller(aPacket.flow, aPacket.acknowledgement);
  } else if (silent.empty() && !aPacket.resets && postponed_.Add(aPacket)) {
    outcome = "search_again";
  }
  log_.Write(EventLevel::Warning,
             Event("flow_not_found")
               .With("flow", ToText(aPacket.flow))
               .With("outcome", outcome)
               .With("every_agent_asked", aPacket.tag.complete)
               .With("hops", aPacket.tag.hops)
               .With("silent_agents", silent.empty() ? "none" : silent)
               .With("views_agree", agree)
               .With("targets", state_.Targets().revision)
               .With("age_ms", state_.Digest().age.count())
               .Text());
}

auto AgentRelay::RetrySearches(RelayPort& aPort) -> void
{
  for (const auto& held : postponed_.TakeDue()) {
    auto& packet = held->Get();
    packet.returned = false;
    packet.tag.hops = 0;
    packet.tag.searching = false;
    packet.tag.followedRecord = false;
    OnLaterPacket(packet, aPort);
  }
}

} // namespace damaskwalk
