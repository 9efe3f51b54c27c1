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
  , queries_(aInit.self, aState, aPeers, aClock)
  , held_(aClock)
{
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
  if (OpenedElsewhere(own, aPacket)) {
    Search(aPacket, aPort);
    return;
  }
  if (own.phase == Phase::Opening && own.answered && aPacket.acknowledges) {
    own.phase = Phase::Open;
  }
  if (aPacket.tag.wantsHint) {
    SendHint(aPacket, aPort);
  }
  Deliver(own, aPacket, aPort);
}

auto AgentRelay::OpenedElsewhere(const OwnFlow& aOwn,
                                 const Packet& aPacket) const -> bool
{
  constexpr std::uint32_t kMaxAcknowledgedBytes = 1U << 20;
  if (aOwn.phase != Phase::Opening || !aOwn.answered || !aPacket.acknowledges) {
    return false;
  }
  return !AtOrAfter(aPacket.acknowledgement, aOwn.backendSequence + 1) ||
         aPacket.acknowledgement - aOwn.backendSequence > kMaxAcknowledgedBytes;
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
  ResolveQuestions(aPacket.flow, true, aPort);
  auto [found, isNew] = flows_.try_emplace(aPacket.flow);
  auto& own = found->second;
  own.lastPacket = clock_.Now();
  if (isNew) {
    // Opened before this process started.
    own.phase = Phase::Open;
    Register(aPacket.flow, own);
  }
  if (aPacket.opens && aPacket.acknowledges) {
    own.answered = true;
    own.backendSequence = aPacket.sequence;
    meter_.OnFlowOpened();
    const auto opening = openings_.find(aPacket.flow);
    if (opening != openings_.end()) {
      if (opening->second.tag.wantsHint) {
        aPacket.tag = opening->second.tag;
        SendHint(aPacket, aPort);
      }
      openings_.erase(opening);
    }
    Register(aPacket.flow, own);
  }
  OnBackendData(own, aPacket);
  if (aPacket.resets && own.phase != Phase::Finished) {
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
  }
  own.backendClosed |= aPacket.finishes;
  FinishIfClosed(own, aPacket);
}

auto AgentRelay::OnReturned(Packet& aPacket, RelayPort& aPort) -> void
{
  const auto found = flows_.find(aPacket.flow);
  if (aPacket.opens) {
    openings_.erase(aPacket.flow);
    if (found != flows_.end() && found->second.phase == Phase::Opening) {
      StopAwaitingRequest(found->second);
      flows_.erase(found);
    }
    meter_.OnFlowRefused();
    if (const auto* route = state_.FindRoute(aPacket.flow.address)) {
      Redirect(aPacket, *route, "refused", aPort);
    }
    return;
  }
  if (found == flows_.end() || found->second.phase == Phase::Opening) {
    ResolveQuestions(aPacket.flow, false, aPort);
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

auto AgentRelay::SendHint(const Packet& aPacket, RelayPort& aPort) -> void
{
  if (const auto balancer = FindBalancer(aPacket.tag.balancer)) {
    aPort.SendToPeer(*balancer,
                     PeerMessage{ FlowLocation{ aPacket.flow, init_.self } });
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
