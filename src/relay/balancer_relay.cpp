#include "relay/balancer_relay.h"

#include "relay/limits.h"

namespace damaskwalk {

BalancerRelay::BalancerRelay(std::uint32_t aIp,
                             const FleetState& aState,
                             PeerTable& aPeers,
                             FirstPacketPlacement& aPlacement,
                             const Clock& aClock,
                             EventSink& aLog)
  : ip_(aIp)
  , tag_(BalancerTag(aIp))
  , state_(aState)
  , peers_(aPeers)
  , placement_(aPlacement)
  , order_(aState, aPeers)
  , clock_(aClock)
  , log_(aLog)
{
  peers_.SetSelf(aIp, RelayRole::Balancer);
}

auto BalancerRelay::OnCallerPacket(Packet aPacket, RelayPort& aPort) -> void
{
  ++counters_.packets;
  const auto* route = state_.FindRoute(aPacket.flow.address);
  if (!route) {
    ++counters_.noRoute;
    if (aPacket.opens) {
      Refuse(aPacket, "no_route", aPort);
    }
    return;
  }
  if (aPacket.tag != RelayTag{}) {
    OnStrayPacket(*route, aPacket, aPort);
    return;
  }
  aPacket.tag = { tag_, 0, false };
  if (aPacket.opens) {
    PlaceFlow(*route, aPacket, aPort);
  } else {
    ForwardLaterPacket(*route, aPacket, aPort);
  }
}

auto BalancerRelay::OnStrayPacket(const RelayRoute& aRoute,
                                  Packet& aPacket,
                                  RelayPort& aPort) -> void
{
  ++counters_.strayed;
  if (!aPacket.opens) {
    return;
  }
  if (aPacket.tag.hops >= kMaxFirstPacketHops) {
    Refuse(aPacket, "too_many_hops", aPort);
    return;
  }
  ++aPacket.tag.hops;
  aPacket.tag.wantsHint = true;
  // The table's agent may have sent the packet here.
  const auto* known = FindFlow(aPacket.flow);
  PlaceAtOther(aRoute, aPacket, known ? known->agent : Endpoint{}, aPort);
}

auto BalancerRelay::FindFlow(const FlowKey& aFlow) -> Entry*
{
  const auto found = flows_.find(aFlow);
  if (found == flows_.end()) {
    return nullptr;
  }
  if (!order_.IsAgent(found->second.agent)) {
    flows_.erase(found);
    return nullptr;
  }
  return &found->second;
}

auto BalancerRelay::PlaceFlow(const RelayRoute& aRoute,
                              Packet& aPacket,
                              RelayPort& aPort) -> void
{
  Endpoint excluded;
  if (auto* known = FindFlow(aPacket.flow)) {
    if (!peers_.IsSilent(known->agent.ip)) {
      known->lastPacket = clock_.Now();
      ++counters_.direct;
      aPort.SendToAgent(known->agent, aPacket);
      return;
    }
    excluded = known->agent;
    ++counters_.placedAgain;
  }
  PlaceAtOther(aRoute, aPacket, excluded, aPort);
}

auto BalancerRelay::PlaceAtOther(const RelayRoute& aRoute,
                                 Packet& aPacket,
                                 const Endpoint& aExcluded,
                                 RelayPort& aPort) -> void
{
  const auto service = aRoute.ServiceOf(aPacket.flow);
  const auto choice = placement_.Choose(service, aPacket.flow, aExcluded);
  if (!choice.agent.IsValid()) {
    Refuse(aPacket, choice.cause, aPort);
    return;
  }
  ++counters_.placed;
  peers_.OnFlowPlaced(choice.agent.ip);
  StoreAgent(aPacket.flow, choice.agent);
  log_.Write(EventLevel::Info,
             Event("flow_placed")
               .With("flow", ToText(aPacket.flow))
               .With("route", aRoute.name)
               .With("agent", ToText(choice.agent))
               .With("cause", choice.cause)
               .With("expected_us", choice.expected.count())
               .With("copy", aExcluded.IsValid())
               .With("routes", state_.Routes().version)
               .With("targets", state_.Targets().revision.number)
               .With("age_ms", state_.Digest().age.count())
               .Text());
  aPort.SendToAgent(choice.agent, aPacket);
}

auto BalancerRelay::ForwardLaterPacket(const RelayRoute& aRoute,
                                       Packet& aPacket,
                                       RelayPort& aPort) -> void
{
  if (auto* known = FindFlow(aPacket.flow)) {
    ++counters_.direct;
    known->lastPacket = clock_.Now();
    known->finished |= aPacket.finishes || aPacket.resets;
    known->inUse = true;
    aPort.SendToAgent(known->agent, aPacket);
    return;
  }
  const auto first = order_.First(aRoute, aPacket.flow);
  auto agents = order_.DirectoryAgents(aRoute, aPacket.flow);
  if (agents.empty() && first.agent) {
    // No target is registered, but agents of former ones may have the flow.
    agents.push_back(*first.agent);
  }
  if (agents.empty()) {
    ++counters_.noAgent;
    return;
  }
  ++counters_.searched;
  // The search starts at the agent that keeps the flow's record.
  aPacket.tag.wantsHint = true;
  aPacket.tag.searching = first.agent == agents.front();
  aPacket.tag.complete = aPacket.tag.searching && !first.skippedSilent;
  aPacket.tag.view = order_.ViewHash(aRoute);
  aPort.SendToAgent(agents.front(), aPacket);
}

auto BalancerRelay::Refuse(const Packet& aPacket,
                           const char* aCause,
                           RelayPort& aPort) -> void
{
  ++counters_.resets;
  log_.Write(EventLevel::Warning,
             Event("flow_refused")
               .With("flow", ToText(aPacket.flow))
               .With("cause", aCause)
               .With("routes", state_.Routes().version)
               .With("targets", state_.Targets().revision.number)
               .With("age_ms", state_.Digest().age.count())
               .Text());
  aPort.ResetCaller(aPacket.flow, 0);
}

auto BalancerRelay::StoreAgent(const FlowKey& aFlow, const Endpoint& aAgent)
  -> void
{
  if (flows_.size() >= kMaxBalancerFlows && !flows_.contains(aFlow)) {
    // Evicts an arbitrary entry; agents report its flow's location again.
    flows_.erase(flows_.begin());
  }
  flows_[aFlow] = { aAgent, clock_.Now() };
}

auto BalancerRelay::OnFlowLocation(const FlowLocation& aLocation) -> void
{
  if (aLocation.agent.ip == ip_) {
    return;
  }
  ++counters_.located;
  const auto found = flows_.find(aLocation.flow);
  if (!aLocation.confirmed && found != flows_.end() && found->second.inUse) {
    return;
  }
  StoreAgent(aLocation.flow, aLocation.agent);
  flows_[aLocation.flow].inUse = aLocation.confirmed;
}

auto BalancerRelay::Tick() -> void
{
  const auto now = clock_.Now();
  const auto idle = state_.IdleTimeout() + kIdleTimeoutMargin;
  boost::unordered::erase_if(flows_, [now, idle](const auto& aEntry) {
    const auto kept = aEntry.second.finished ? kFinishedFlowRetention : idle;
    return now - aEntry.second.lastPacket > kept;
  });
}

} // namespace damaskwalk
