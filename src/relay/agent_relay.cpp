#include "relay/agent_relay.h"

#include "relay/limits.h"
#include "relay/sequence.h"

#include <algorithm>

namespace damaskwalk {

AgentRelay::AgentRelay(const AgentRelayInit& aInit,
                       const FleetState& aState,
                       PeerTable& aPeers,
                       const ContentReader& aReader,
                       const Clock& aClock,
                       EventSink& aLog)
  : init_(aInit)
  , state_(aState)
  , peers_(aPeers)
  , reader_(aReader)
  , clock_(aClock)
  , log_(aLog)
  , order_(aState, aPeers)
  , meter_(aClock)
  , coldStart_(aClock)
  , trackingSince_(aClock.Now())
  , trackedIdleTimeout_(kDefaultIdleTimeout)
  , mover_(aInit.self, aState, aPeers, aClock)
  , postponed_(aClock)
  , queries_(aInit.self, aInit.failureDomain, aState, aPeers, aClock)
  , held_(aClock)
{
  peers_.SetSelf(aInit.self.ip, RelayRole::Agent);
}

auto AgentRelay::Registration() const -> OwnRegistration
{
  return state_.FindOwn({ init_.self, init_.service, init_.backendPort });
}

auto AgentRelay::OnCallerPacket(Packet aPacket, RelayPort& aPort) -> void
{
  if (aPacket.opens) {
    OnFirstPacket(aPacket, aPort);
  } else {
    OnLaterPacket(aPacket, aPort);
  }
}

auto AgentRelay::OnLaterPacket(Packet& aPacket, RelayPort& aPort) -> void
{
  const auto found = flows_.find(aPacket.flow);
  if (found == flows_.end()) {
    Search(aPacket, aPort);
    return;
  }
  auto& own = found->second;
  switch (HoldingOf(own, aPacket)) {
    case Holding::No:
      Search(aPacket, aPort);
      return;
    case Holding::Unknown:
      AskBackend(aPacket, aPort);
      return;
    case Holding::Yes:
      ConfirmOpen(aPacket.flow, own);
      if (aPacket.tag.wantsHint) {
        SendHint(aPacket, true, aPort);
      }
      Deliver(own, aPacket, aPort);
      return;
  }
}

auto AgentRelay::HoldingOf(const OwnFlow& aOwn, const Packet& aPacket) const
  -> Holding
{
  if (aOwn.phase == Phase::Open || aOwn.phase == Phase::Finished) {
    if (Continues(aOwn, aPacket)) {
      return Holding::Yes;
    }
    return aOwn.phase == Phase::Finished ? Holding::No : Holding::Unknown;
  }
  if (!aPacket.acknowledges) {
    return Holding::Unknown;
  }
  const auto first = aOwn.backendSequence + 1;
  if (aOwn.answered && AtOrAfter(aPacket.acknowledgement, first) &&
      aPacket.acknowledgement - first <= kMaxBytesInFlight) {
    return Holding::Yes;
  }
  // An agent that has seen all packets of its server knows each acceptance that
  // a caller can acknowledge.
  return aOwn.phase == Phase::Asked ? Holding::Unknown : HoldingOfUntracked();
}

auto AgentRelay::Continues(const OwnFlow& aOwn, const Packet& aPacket) -> bool
{
  if (!aPacket.acknowledges || aOwn.callerAcknowledged == 0) {
    return true;
  }
  const auto distance = static_cast<std::int32_t>(aPacket.acknowledgement -
                                                  aOwn.callerAcknowledged);
  return std::abs(std::int64_t{ distance }) <= kMaxAcknowledgementStep;
}

auto AgentRelay::HoldingOfUntracked() const -> Holding
{
  return HasCompleteFlowTable() || meter_.IsDown() ? Holding::No
                                                   : Holding::Unknown;
}

auto AgentRelay::AskBackend(const Packet& aPacket, RelayPort& aPort) -> void
{
  const bool hasRoom = flows_.size() < kMaxAgentFlows;
  if (!aPacket.resets && (hasRoom || flows_.contains(aPacket.flow))) {
    const auto [entry, isNew] = flows_.try_emplace(aPacket.flow);
    auto& own = entry->second;
    if (isNew) {
      own.phase = Phase::Asked;
      own.callerAcknowledged = aPacket.acknowledgement;
    }
    own.callerClosed |= own.phase == Phase::Asked && aPacket.finishes;
    own.lastPacket = clock_.Now();
  }
  ++counters_.delivered;
  aPort.SendToBackend(aPacket);
}

auto AgentRelay::ConfirmOpen(const FlowKey& aFlow, OwnFlow& aOwn) -> void
{
  if (aOwn.phase == Phase::Opening || aOwn.phase == Phase::Asked) {
    aOwn.phase = Phase::Open;
    openings_.erase(aFlow);
    Register(aFlow, aOwn);
  }
}

auto AgentRelay::Deliver(OwnFlow& aOwn, const Packet& aPacket, RelayPort& aPort)
  -> void
{
  aOwn.lastPacket = clock_.Now();
  ++counters_.delivered;
  if (aPacket.acknowledges) {
    aOwn.callerAcknowledged = aPacket.acknowledgement;
  }
  OnCallerData(aOwn, aPacket);
  aOwn.callerClosed |= aPacket.finishes;
  FinishIfClosed(aOwn, aPacket);
  aPort.SendToBackend(aPacket);
}

auto AgentRelay::OnBackendPacket(Packet aPacket, RelayPort& aPort) -> void
{
  meter_.OnBackendPacket();
  if (aPacket.returned) {
    ++counters_.returned;
    OnReturned(aPacket, aPort);
    return;
  }
  ++counters_.toCallers;
  aPort.SendToCaller(aPacket);
  if (aPacket.opens) {
    OnAccepted(aPacket, aPort);
    return;
  }
  ResolveQuestions(aPacket.flow, !aPacket.resets, aPort);
  if (aPacket.resets) {
    OnBackendReset(aPacket);
    return;
  }
  auto& own = flows_[aPacket.flow];
  own.lastPacket = clock_.Now();
  const bool isBare = aPacket.payload.empty() && !aPacket.finishes;
  if (isBare && own.phase == Phase::Asked && own.callerClosed) {
    return; // the flow may have ended at this server
  }
  ConfirmOpen(aPacket.flow, own);
  if (own.callerAcknowledged == 0) {
    own.callerAcknowledged = aPacket.sequence;
  }
  OnBackendData(own, aPacket);
  own.backendClosed |= aPacket.finishes;
  FinishIfClosed(own, aPacket);
}

auto AgentRelay::OnAccepted(Packet& aPacket, RelayPort& aPort) -> void
{
  auto& own = flows_[aPacket.flow];
  own.lastPacket = clock_.Now();
  meter_.OnFlowOpened();
  const bool wasOpen = own.phase == Phase::Open || own.phase == Phase::Finished;
  if (wasOpen && own.backendSequence != aPacket.sequence) {
    // The caller uses the port of a former flow again.
    Finish(own);
    own = OwnFlow{};
    own.phase = Phase::Asked;
    own.lastPacket = clock_.Now();
  }
  if (own.phase == Phase::Open || own.phase == Phase::Finished) {
    return;
  }
  own.answered = true;
  own.backendSequence = aPacket.sequence;
  const auto opening = openings_.find(aPacket.flow);
  if (opening != openings_.end()) {
    if (opening->second.tag.wantsHint) {
      aPacket.tag = opening->second.tag;
      SendHint(aPacket, false, aPort);
    }
    openings_.erase(opening);
  }
}

auto AgentRelay::OnBackendReset(const Packet& aPacket) -> void
{
  const auto found = flows_.find(aPacket.flow);
  if (found == flows_.end() || found->second.phase == Phase::Finished) {
    return;
  }
  auto& own = found->second;
  const bool requestLost = own.requestInFlight || own.requestArriving;
  log_.Write(EventLevel::Warning,
             Event("backend_reset_flow")
               .With("flow", ToText(aPacket.flow))
               .With("opened", own.phase == Phase::Open)
               .With("request_waiting", requestLost)
               .With("in_flight", meter_.InFlight())
               .Text());
  if (requestLost) {
    ++counters_.failures;
    OnOutcome(true, "reset");
  }
  own.lastPacket = clock_.Now();
  const bool wasOpen = own.phase == Phase::Open;
  Finish(own);
  if (!wasOpen) {
    // Another backend server may hold the flow.
    openings_.erase(aPacket.flow);
    flows_.erase(found);
  }
}

auto AgentRelay::DropOpening(FlowTable::iterator aFlow) -> void
{
  StopAwaitingRequest(aFlow->second);
  if (aFlow->second.phase == Phase::Opening) {
    flows_.erase(aFlow);
  }
}

auto AgentRelay::OnReturned(Packet& aPacket, RelayPort& aPort) -> void
{
  auto found = flows_.find(aPacket.flow);
  if (aPacket.opens) {
    openings_.erase(aPacket.flow);
    if (found != flows_.end() && !found->second.answered) {
      DropOpening(found);
    }
    meter_.OnFlowRefused();
    if (const auto* route = state_.FindRoute(aPacket.flow.address)) {
      Redirect(aPacket, *route, "refused", aPort);
    }
    return;
  }
  ResolveQuestions(aPacket.flow, false, aPort);
  if (found != flows_.end() && found->second.phase == Phase::Asked) {
    StopAwaitingRequest(found->second);
    flows_.erase(found);
    found = flows_.end();
  }
  if (found == flows_.end() || found->second.phase == Phase::Opening) {
    if (aPacket.tag.hops != RelayTag::kQueryHops) {
      Search(aPacket, aPort);
    }
    return;
  }
  if (!Continues(found->second, aPacket)) {
    // A flow of another server, on the port of one that this server lost.
    Finish(found->second);
    flows_.erase(found);
    if (aPacket.tag.hops != RelayTag::kQueryHops) {
      Search(aPacket, aPort);
    }
    return;
  }
  if (found->second.phase == Phase::Open) {
    // The backend server no longer holds this flow.
    ResetLostFlow(aPacket.flow,
                  found->second,
                  aPacket.acknowledgement,
                  "backend_lost_flow",
                  aPort);
  }
  flows_.erase(found);
}

auto AgentRelay::OnBackendDown(RelayPort& aPort) -> void
{
  meter_.OnBackendDown();
  for (auto& [flow, own] : flows_) {
    if (own.phase == Phase::Open) {
      ResetLostFlow(
        flow, own, own.callerAcknowledged, "backend_process_gone", aPort);
    }
  }
  boost::unordered::erase_if(flows_, [](const auto& aEntry) {
    return aEntry.second.phase != Phase::Opening;
  });
}

auto AgentRelay::ResetLostFlow(const FlowKey& aFlow,
                               OwnFlow& aOwn,
                               std::uint32_t aSequence,
                               const char* aCause,
                               RelayPort& aPort) -> void
{
  ++counters_.resets;
  log_.Write(
    EventLevel::Warning,
    Event("flow_reset")
      .With("flow", ToText(aFlow))
      .With("cause", aCause)
      .With("request_waiting", aOwn.requestInFlight || aOwn.requestArriving)
      .Text());
  Finish(aOwn);
  aPort.ResetCaller(aFlow, aSequence);
}

auto AgentRelay::FinishIfClosed(OwnFlow& aOwn, const Packet& aPacket) -> void
{
  if (aPacket.resets || (aOwn.callerClosed && aOwn.backendClosed)) {
    Finish(aOwn);
  }
}

auto AgentRelay::Finish(OwnFlow& aOwn) -> void
{
  StopAwaitingRequest(aOwn);
  aOwn.requestArriving = false;
  if (aOwn.requestInFlight) {
    aOwn.requestInFlight = false;
    meter_.AbandonRequest();
  }
  aOwn.phase = Phase::Finished;
}

auto AgentRelay::Register(const FlowKey& aFlow, OwnFlow& aOwn) -> void
{
  aOwn.registeredAt = clock_.Now();
  const auto* route = state_.FindRoute(aFlow.address);
  if (!route) {
    return;
  }
  for (const auto& agent : order_.DirectoryAgents(*route, aFlow)) {
    if (agent != init_.self) {
      registrations_[agent].push_back(aFlow);
    }
  }
}

auto AgentRelay::OnRegistration(const FlowRegistration& aRegistration) -> void
{
  const auto now = clock_.Now();
  for (const auto& flow : aRegistration.flows) {
    if (records_.size() >= kMaxDirectoryFlows && !records_.contains(flow)) {
      records_.erase(records_.begin());
    }
    records_[flow] = { aRegistration.agent, now };
  }
}

auto AgentRelay::OnBalancer(std::uint32_t aIp) -> void
{
  balancers_[BalancerTag(aIp)] = aIp;
}

auto AgentRelay::FindBalancer(std::uint16_t aTag) const
  -> std::optional<std::uint32_t>
{
  const auto found = balancers_.find(aTag);
  return found == balancers_.end() ? std::nullopt
                                   : std::optional(found->second);
}

auto AgentRelay::SendHint(const Packet& aPacket,
                          bool aConfirmed,
                          RelayPort& aPort) -> void
{
  if (const auto balancer = FindBalancer(aPacket.tag.balancer)) {
    aPort.SendToPeer(
      *balancer,
      PeerMessage{ FlowLocation{ aPacket.flow, init_.self, aConfirmed } });
  }
}

auto AgentRelay::OnStateChanged(RelayPort& aPort) -> void
{
  if (const auto* own = Registration().known) {
    meter_.SetSlots(own->target.slots);
    coldStart_.Update(state_.LimitsOf(own->target.service), own->coldUntil);
  }
  if (state_.IdleTimeout() > trackedIdleTimeout_) {
    // Flows whose entries the shorter timeout dropped may still be alive.
    trackingSince_ = clock_.Now();
  }
  trackedIdleTimeout_ = state_.IdleTimeout();
  for (auto& [flow, own] : flows_) {
    own.registeredAt = TimePoint{};
  }
  AnswerHeldQueries(aPort);
}

auto AgentRelay::OnAgentStarted(std::uint32_t aIp, RelayPort& aPort) -> void
{
  // It may have lost the directory records that it kept.
  OnStateChanged(aPort);
  queries_.OnAgentStarted(aIp, aPort);
}

auto AgentRelay::Flush(RelayPort& aPort) -> void
{
  if (queue_.Size() > 0) {
    AdmitWaiting(aPort);
  }
  for (auto& [agent, flows] : registrations_) {
    for (std::size_t i = 0; i < flows.size(); i += kMaxFlowsPerRegistration) {
      const auto end = std::min(flows.size(), i + kMaxFlowsPerRegistration);
      FlowRegistration message{ init_.self, {} };
      message.flows.assign(flows.begin() + std::ptrdiff_t(i),
                           flows.begin() + std::ptrdiff_t(end));
      aPort.SendToPeer(agent.ip, PeerMessage{ std::move(message) });
    }
  }
  registrations_.clear();
}

auto AgentRelay::Tick(RelayPort& aPort) -> void
{
  const auto now = clock_.Now();
  const auto idle = state_.IdleTimeout() + kIdleTimeoutMargin;
  boost::unordered::erase_if(flows_, [this, now, idle](auto& aEntry) {
    auto& own = aEntry.second;
    const auto kept =
      own.phase == Phase::Finished ? kFinishedFlowRetention : idle;
    if (now - own.lastPacket <= kept) {
      return false;
    }
    Finish(own);
    return true;
  });
  for (auto& [flow, own] : flows_) {
    if (own.phase == Phase::Open &&
        now - own.registeredAt >= kFlowRegistrationPeriod) {
      Register(flow, own);
    }
  }
  boost::unordered::erase_if(records_, [now](const auto& aEntry) {
    return now - aEntry.second.since > 3 * kFlowRegistrationPeriod;
  });
  Flush(aPort);
}

auto AgentRelay::Report() -> BackendLoad
{
  BackendLoad report;
  meter_.FillReport(report);
  report.service = init_.service;
  report.inFlight +=
    awaitedRequests_ + static_cast<std::uint32_t>(queue_.Size());
  report.flows = static_cast<std::uint32_t>(flows_.size());
  report.draining = Registration().standing == TargetStanding::Leaving;
  return report;
}

auto AgentRelay::FinalReport() -> BackendLoad
{
  auto report = Report();
  const bool hasFlows = std::ranges::any_of(flows_, [](const auto& aEntry) {
    return aEntry.second.phase != Phase::Finished;
  });
  // While the agent is down, no flow can open at its backend server.
  report.noFlows =
    meter_.IsPortClosed() || (HasCompleteFlowTable() && !hasFlows);
  return report;
}

} // namespace damaskwalk
