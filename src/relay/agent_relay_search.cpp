// The agent's part for later packets of flows that are not in its table.

#include "relay/agent_relay.h"
#include "relay/limits.h"

#include <algorithm>

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
  const bool isCertain = IsCertainOfFlows(*route) || aPacket.returned ||
                         flows_.contains(aPacket.flow);
  if (!isCertain && state_.MayHold(*route, init_.service)) {
    AskBackend(aPacket, aPort);
    return;
  }
  if (queries_.Covers(*route)) {
    AskForFlow(aPacket, *route, aPort);
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
  tag.complete &= isCertain && !step.skippedSilent;
  if (!step.agent || tag.hops >= kMaxSearchHops) {
    EndSearch(aPacket, aPort);
    return;
  }
  ++counters_.searched;
  ++tag.hops;
  aPort.SendToAgent(*step.agent, aPacket);
}

auto AgentRelay::IsCertainOfFlows(const RelayRoute& aRoute) const -> bool
{
  return HoldingOfUntracked() == Holding::No ||
         !state_.MayHold(aRoute, init_.service);
}

auto AgentRelay::AskForFlow(Packet& aPacket,
                            const RelayRoute& aRoute,
                            RelayPort& aPort) -> void
{
  constexpr std::uint8_t kMaxHopsBeforeQuery = 3;
  auto& tag = aPacket.tag;
  const auto directories = order_.DirectoryAgents(aRoute, aPacket.flow);
  const bool isFirst =
    !directories.empty() && directories.front() == init_.self;
  const bool isLast = directories.empty() || directories.back() == init_.self;
  if (!tag.searching && !isLast && tag.hops < kMaxHopsBeforeQuery) {
    ++counters_.searched;
    ++tag.hops;
    // The second directory agent is the last to look for a record.
    tag.searching = isFirst;
    aPort.SendToAgent(isFirst ? directories.back() : directories.front(),
                      aPacket);
    return;
  }
  if (!aPacket.resets) {
    queries_.Begin(aPacket, aRoute, aPort);
    ResetLostFlows(aPort);
  }
}

auto AgentRelay::OnFlowQuery(std::uint32_t aAsker,
                             bool aWholeDomain,
                             Packet aPacket,
                             RelayPort& aPort) -> void
{
  ++counters_.asked;
  if (aPacket.opens || aPacket.returned) {
    return;
  }
  const auto* route = state_.FindRoute(aPacket.flow.address);
  const auto found = flows_.find(aPacket.flow);
  if (found == flows_.end() && !state_.HasState()) {
    held_.Add(aAsker, aWholeDomain, aPacket);
    return;
  }
  auto asker = aAsker;
  if (aWholeDomain && route) {
    queries_.BeginDomain(aAsker, aPacket, *route, aPort);
    asker = init_.self.ip;
  }
  const bool isTracked = found != flows_.end();
  const auto holding =
    isTracked ? HoldingOf(found->second, aPacket) : HoldingOfUntracked();
  if (holding == Holding::Yes) {
    AnswerQuery(asker, aPacket.flow, true, aPort);
    OnLaterPacket(aPacket, aPort);
  } else if (!isTracked && !route) {
    return;
  } else if (holding == Holding::No) {
    // Newer routes may name this agent's service, so that the asker expects
    // more of it than its own view does.
    AnswerQuery(asker, aPacket.flow, false, aPort);
  } else {
    auto& question = questions_[aPacket.flow];
    question.askers.push_back(asker);
    question.since = clock_.Now();
    aPacket.tag.hops = RelayTag::kQueryHops;
    AskBackend(aPacket, aPort);
  }
}

auto AgentRelay::AnswerHeldQueries(RelayPort& aPort) -> void
{
  if (held_.Size() == 0) {
    return;
  }
  held_.Expire();
  const auto ready = held_.Take([this](const Packet& aPacket) {
    return flows_.contains(aPacket.flow) || state_.HasState();
  });
  for (const auto& query : ready) {
    // Askers have mostly asked another agent of the domain since.
    for (const auto& [asker, wholeDomain] : query.askers) {
      OnFlowQuery(asker, false, query.packet->Get(), aPort);
    }
  }
}

auto AgentRelay::AnswerQuery(std::uint32_t aAsker,
                             const FlowKey& aFlow,
                             bool aHolds,
                             RelayPort& aPort) -> void
{
  FlowAnswer answer;
  answer.flow = aFlow;
  if (aHolds) {
    answer.holder = init_.self;
  } else {
    answer.certain.push_back(init_.self.ip);
  }
  if (aAsker == init_.self.ip) {
    OnFlowAnswer(answer, aPort);
  } else {
    aPort.SendToPeer(aAsker, PeerMessage{ std::move(answer) });
  }
}

auto AgentRelay::OnFlowAnswer(const FlowAnswer& aAnswer, RelayPort& aPort)
  -> void
{
  queries_.OnAnswer(aAnswer, aPort);
  ResetLostFlows(aPort);
}

auto AgentRelay::ResolveQuestions(const FlowKey& aFlow,
                                  bool aHolds,
                                  RelayPort& aPort) -> void
{
  const auto found = questions_.find(aFlow);
  if (found == questions_.end()) {
    return;
  }
  const auto askers = std::move(found->second.askers);
  questions_.erase(found);
  for (const auto asker : askers) {
    AnswerQuery(asker, aFlow, aHolds, aPort);
  }
}

auto AgentRelay::ResetLostFlows(RelayPort& aPort) -> void
{
  for (const auto& lost : queries_.TakeLost()) {
    const auto& packet = lost.packet->Get();
    ++counters_.searchEnded;
    ++counters_.resets;
    log_.Write(EventLevel::Warning,
               Event("flow_not_found")
                 .With("flow", ToText(packet.flow))
                 .With("outcome", "reset")
                 .With("every_agent_asked", true)
                 .With("history_complete", state_.History().IsComplete())
                 .With("hops", packet.tag.hops)
                 .With("took_ms", lost.took.count())
                 .With("rounds", lost.rounds)
                 .With("targets", state_.Targets().revision.number)
                 .With("age_ms", state_.Digest().age.count())
                 .Text());
    aPort.ResetCaller(packet.flow, packet.acknowledgement);
  }
}

auto AgentRelay::LogUndecidedFlows() -> void
{
  constexpr std::size_t kMaxNamedAgents = 3;
  for (const auto& undecided : queries_.TakeUndecided()) {
    ++counters_.searchEnded;
    std::string names;
    const auto count = std::min(undecided.missing.size(), kMaxNamedAgents);
    for (std::size_t i = 0; i < count; ++i) {
      const auto* known = state_.FindAgent(undecided.missing[i]);
      names += (i == 0 ? "" : ",") + ToText(undecided.missing[i]) + "/" +
               (known ? ToText(known->standing) : "unknown");
    }
    log_.Write(EventLevel::Warning,
               Event("flow_not_found")
                 .With("flow", ToText(undecided.flow))
                 .With("outcome", "dropped")
                 .With("every_agent_asked", false)
                 .With("missing", undecided.missing.size())
                 .With("silent_agents", names)
                 .With("targets", state_.Targets().revision.number)
                 .With("age_ms", state_.Digest().age.count())
                 .Text());
  }
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
  if (!order_.IsAgent(record->second.agent)) {
    records_.erase(record);
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
               .With("targets", state_.Targets().revision.number)
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
