#include "relay/agent_relay.h"

#include "relay/limits.h"

#include <algorithm>

namespace damaskwalk {

namespace {

constexpr const char* kFailing = "failing";

// True when sequence number a lies at or after b, modulo 2^32.
auto AtOrAfter(std::uint32_t aLeft, std::uint32_t aRight) -> bool
{
  return static_cast<std::int32_t>(aLeft - aRight) >= 0;
}

} // namespace

AgentRelay::AgentRelay(const AgentRelayInit& aInit,
                       const FleetState& aState,
                       LoadBoard& aLoad,
                       const ContentReader& aReader,
                       const Clock& aClock,
                       EventSink& aLog)
  : init_(aInit)
  , state_(aState)
  , load_(aLoad)
  , reader_(aReader)
  , clock_(aClock)
  , log_(aLog)
  , order_(aState, aLoad)
  , meter_(aClock)
  , startedAt_(aClock.Now())
{
}

auto AgentRelay::IdleTimeout() const -> Millis
{
  const auto timeout = state_.Routes().idleTimeout;
  return timeout.count() > 0 ? timeout : kDefaultIdleTimeout;
}

auto AgentRelay::OnCallerPacket(Packet aPacket, RelayPort& aPort) -> void
{
  if (aPacket.opens) {
    OnFirstPacket(aPacket, aPort);
  } else {
    OnLaterPacket(aPacket, aPort);
  }
}

auto AgentRelay::Objection(const RelayRoute& aRoute) -> const char*
{
  if (!aRoute.Allows(init_.service)) {
    return "other_service";
  }
  const auto* own = state_.FindAgent(init_.self);
  if (!own || own->standing == TargetStanding::Gone) {
    return "not_registered";
  }
  if (own->standing == TargetStanding::Leaving) {
    return "draining";
  }
  if (!meter_.IsFit()) {
    return "not_answering";
  }
  if (meter_.IsFailing() && !meter_.TakeTrial() &&
      !order_.NeedsFailing(init_.service)) {
    return kFailing;
  }
  return nullptr;
}

auto AgentRelay::OnFirstPacket(Packet& aPacket, RelayPort& aPort) -> void
{
  const auto found = flows_.find(aPacket.flow);
  if (found != flows_.end()) {
    Deliver(found->second, aPacket, aPort);
    return;
  }
  const auto* route = state_.FindRoute(aPacket.flow.address);
  if (!route) {
    return;
  }
  const auto* objection = Objection(*route);
  // A server that fails some requests is better than none.
  const bool lastResort = objection == kFailing && !NextChoice(aPacket, *route);
  if (objection && !lastResort) {
    Redirect(aPacket, *route, objection, aPort);
    return;
  }
  if (flows_.size() >= kMaxAgentFlows) {
    Redirect(aPacket, *route, "table_full", aPort);
    return;
  }
  auto opening = MakeWaiting(aPacket, *route);
  if (HasRoom() && queue_.Size() == 0) {
    Admit(opening, aPort);
  } else {
    Enqueue(std::move(opening), aPort);
  }
}

auto AgentRelay::MakeWaiting(const Packet& aPacket,
                             const RelayRoute& aRoute) const -> WaitingOpening
{
  const auto copies = aPacket.acknowledgement;
  const auto age = copies == 0   ? Millis{ 0 }
                   : copies == 1 ? kFirstCopyAfter
                                 : kSecondCopyAfter;
  const auto objective = aRoute.latencyObjective.count() > 0
                           ? aRoute.latencyObjective
                           : kDefaultObjective;
  WaitingOpening opening;
  opening.flow = aPacket.flow;
  opening.bytes.assign(aPacket.bytes.data(), aPacket.bytes.size());
  opening.tag = aPacket.tag;
  opening.sentAt = clock_.Now() - age;
  opening.onTimeUntil = opening.sentAt + objective;
  opening.usefulUntil =
    opening.sentAt +
    (aRoute.timeout.count() > 0 ? aRoute.timeout : kOpeningGivenUp);
  opening.priority = aRoute.priority;
  opening.lastCopy = copies >= kFirstPacketCopies;
  return opening;
}

auto AgentRelay::HasRoom() const -> bool
{
  return meter_.InFlight() + awaitedCount_ <
         kRequestsPerSlot * meter_.Slots() + kRequestsOnTheWay;
}

auto AgentRelay::Admit(const WaitingOpening& aOpening, RelayPort& aPort) -> void
{
  auto& own = flows_[aOpening.flow];
  own.balancer = aOpening.tag.balancer;
  own.awaited = true;
  ++awaitedCount_;
  const auto now = clock_.Now();
  awaited_.emplace_back(now, aOpening.flow);
  openings_[aOpening.flow] = { aOpening.bytes, aOpening.tag, now };
  Packet packet;
  packet.flow = aOpening.flow;
  packet.opens = true;
  packet.tag = aOpening.tag;
  auto bytes = aOpening.bytes;
  packet.bytes = bytes;
  Deliver(own, packet, aPort);
}

auto AgentRelay::Enqueue(WaitingOpening aOpening, RelayPort& aPort) -> void
{
  if (queue_.Contains(aOpening.flow)) {
    queue_.Add(std::move(aOpening));
    return;
  }
  const auto ahead = meter_.InFlight() + awaitedCount_ + queue_.Size();
  const auto wait = ExpectedWait(ahead, meter_.Slots(), meter_.ServiceTime());
  if (clock_.Now() + wait >= aOpening.usefulUntil) {
    DeferOrRefuse(aOpening, aPort);
    return;
  }
  ++counters_.queued;
  queue_.Add(std::move(aOpening));
}

auto AgentRelay::DeferOrRefuse(const WaitingOpening& aOpening, RelayPort& aPort)
  -> void
{
  log_.Write(EventLevel::Warning,
             Event(aOpening.lastCopy ? "flow_refused" : "flow_deferred")
               .With("flow", ToText(aOpening.flow))
               .With("cause", "overload")
               .With("queued", queue_.Size())
               .With("in_flight", meter_.InFlight())
               .With("slots", meter_.Slots())
               .With("service_us", meter_.ServiceTime().count())
               .Text());
  if (!aOpening.lastCopy) {
    ++counters_.deferred;
    return;
  }
  ++counters_.givenUp;
  ++counters_.resets;
  aPort.ResetCaller(aOpening.flow, 0);
}

auto AgentRelay::AdmitWaiting(RelayPort& aPort) -> void
{
  const auto now = clock_.Now();
  while (!awaited_.empty() &&
         now - awaited_.front().first >= kFirstRequestWithin) {
    const auto found = flows_.find(awaited_.front().second);
    if (found != flows_.end()) {
      EndAwaiting(found->second);
    }
    awaited_.pop_front();
  }
  counters_.expired += queue_.DropExpired(now);
  while (queue_.Size() > 0 && HasRoom() && meter_.IsFit()) {
    Admit(*queue_.Take(now, meter_.ServiceTime()), aPort);
  }
}

auto AgentRelay::EndAwaiting(OwnFlow& aOwn) -> void
{
  if (aOwn.awaited) {
    aOwn.awaited = false;
    --awaitedCount_;
  }
}

auto AgentRelay::NextChoice(const Packet& aPacket,
                            const RelayRoute& aRoute) const
  -> std::optional<Endpoint>
{
  return aPacket.tag.hops < kMaxOpeningHops
           ? order_.NextOpen(aRoute, aPacket.flow, init_.self)
           : std::nullopt;
}

auto AgentRelay::Redirect(Packet& aPacket,
                          const RelayRoute& aRoute,
                          const char* aCause,
                          RelayPort& aPort) -> void
{
  const auto next = NextChoice(aPacket, aRoute);
  log_.Write(EventLevel::Info,
             Event("flow_redirected")
               .With("flow", ToText(aPacket.flow))
               .With("route", aRoute.name)
               .With("cause", aCause)
               .With("agent", next ? ToText(*next) : std::string("none"))
               .With("hops", aPacket.tag.hops)
               .With("routes", state_.Routes().version)
               .With("targets", state_.Targets().revision)
               .With("age_ms", state_.Digest().age.count())
               .Text());
  if (!next) {
    ++counters_.resets;
    aPort.ResetCaller(aPacket.flow, 0);
    return;
  }
  ++counters_.redirected;
  ++aPacket.tag.hops;
  aPacket.tag.wantsHint = true;
  aPort.ToAgent(*next, aPacket);
}

auto AgentRelay::OnLaterPacket(Packet& aPacket, RelayPort& aPort) -> void
{
  const auto found = flows_.find(aPacket.flow);
  if (found == flows_.end()) {
    Search(aPacket, aPort);
    return;
  }
  auto& own = found->second;
  if (own.phase == Phase::Opening && own.answered && aPacket.acknowledges) {
    if (!AtOrAfter(aPacket.acknowledgement, own.backendSequence + 1) ||
        aPacket.acknowledgement - own.backendSequence > (1U << 20)) {
      // The caller took another backend server's answer.
      Search(aPacket, aPort);
      return;
    }
    own.phase = Phase::Open;
  }
  if (aPacket.tag.wantsHint) {
    TellBalancer(aPacket, aPort);
  }
  Deliver(own, aPacket, aPort);
}

auto AgentRelay::Deliver(OwnFlow& aOwn, const Packet& aPacket, RelayPort& aPort)
  -> void
{
  aOwn.lastPacket = clock_.Now();
  ++counters_.delivered;
  if (aPacket.acknowledges) {
    aOwn.callerAcknowledged = aPacket.acknowledgement;
  }
  NoteCallerData(aOwn, aPacket);
  aOwn.callerClosed |= aPacket.finishes;
  FinishIfOver(aOwn, aPacket);
  aPort.ToBackend(aPacket);
}

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
  // A flow that is alive had a packet here within the idle timeout; before
  // that much time has passed since the start, only the backend server knows.
  const bool unsure = clock_.Now() - startedAt_ < IdleTimeout();
  if (unsure && !aPacket.returned && !meter_.IsDown() &&
      !flows_.contains(aPacket.flow) && route->Allows(init_.service)) {
    ++counters_.delivered;
    aPort.ToBackend(aPacket);
    return;
  }
  auto& tag = aPacket.tag;
  SearchStep step;
  if (tag.searching) {
    step = order_.Next(*route, aPacket.flow, init_.self);
    tag.complete &= tag.view == order_.ViewOf(*route);
  } else {
    step = order_.First(*route, aPacket.flow);
    if (step.agent == init_.self) {
      step = order_.Next(*route, aPacket.flow, init_.self);
    }
    tag.searching = true;
    tag.complete = true;
    tag.view = order_.ViewOf(*route);
  }
  tag.complete &= !step.skipped;
  if (!step.agent || tag.hops >= kMaxSearchHops) {
    EndSearch(aPacket, aPort);
    return;
  }
  ++counters_.searched;
  ++tag.hops;
  aPort.ToAgent(*step.agent, aPacket);
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
  // If the record is wrong, its agent starts a search of its own.
  aPacket.tag.searching = false;
  aPort.ToAgent(record->second.agent, aPacket);
  return true;
}

auto AgentRelay::EndSearch(const Packet& aPacket, RelayPort& aPort) -> void
{
  ++counters_.searchEnded;
  const bool lost = aPacket.tag.complete && !aPacket.resets;
  log_.Write(EventLevel::Warning,
             Event("flow_not_found")
               .With("flow", ToText(aPacket.flow))
               .With("every_agent_asked", aPacket.tag.complete)
               .With("hops", aPacket.tag.hops)
               .With("targets", state_.Targets().revision)
               .With("age_ms", state_.Digest().age.count())
               .Text());
  if (lost) {
    ++counters_.resets;
    aPort.ResetCaller(aPacket.flow, aPacket.acknowledgement);
  }
}

auto AgentRelay::OnBackendPacket(Packet aPacket, RelayPort& aPort) -> void
{
  if (aPacket.returned) {
    ++counters_.returned;
    OnReturned(aPacket, aPort);
    return;
  }
  ++counters_.toCallers;
  aPort.ToCaller(aPacket);
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
    meter_.NoteOpened();
    const auto opening = openings_.find(aPacket.flow);
    if (opening != openings_.end()) {
      if (opening->second.tag.wantsHint) {
        aPacket.tag = opening->second.tag;
        TellBalancer(aPacket, aPort);
      }
      openings_.erase(opening);
    }
    Register(aPacket.flow, own);
  }
  NoteBackendData(own, aPacket);
  if (aPacket.resets && own.phase != Phase::Finished) {
    log_.Write(EventLevel::Warning,
               Event("backend_reset_flow")
                 .With("flow", ToText(aPacket.flow))
                 .With("opened", own.phase == Phase::Open)
                 .With("request_waiting", own.busy)
                 .With("in_flight", meter_.InFlight())
                 .Text());
    if (own.busy) {
      ++counters_.failures;
      NoteOutcome(true, "reset");
    }
  }
  own.backendClosed |= aPacket.finishes;
  FinishIfOver(own, aPacket);
}

auto AgentRelay::OnReturned(Packet& aPacket, RelayPort& aPort) -> void
{
  const auto found = flows_.find(aPacket.flow);
  if (aPacket.opens) {
    openings_.erase(aPacket.flow);
    if (found != flows_.end() && found->second.phase == Phase::Opening) {
      EndAwaiting(found->second);
      flows_.erase(found);
    }
    meter_.NoteRefused();
    if (const auto* route = state_.FindRoute(aPacket.flow.address)) {
      Redirect(aPacket, *route, "refused", aPort);
    }
    return;
  }
  if (found == flows_.end() || found->second.phase == Phase::Opening) {
    Search(aPacket, aPort);
    return;
  }
  if (found->second.phase == Phase::Open) {
    // The backend server held this flow and does not any more.
    ResetLost(aPacket.flow,
              found->second,
              aPacket.acknowledgement,
              "backend_lost_flow",
              aPort);
  }
  flows_.erase(found);
}

auto AgentRelay::OnBackendDown(RelayPort& aPort) -> void
{
  meter_.NoteDown();
  for (auto& [flow, own] : flows_) {
    if (own.phase == Phase::Open) {
      ResetLost(
        flow, own, own.callerAcknowledged, "backend_process_gone", aPort);
    }
  }
  boost::unordered::erase_if(flows_, [](const auto& aEntry) {
    return aEntry.second.phase != Phase::Opening;
  });
}

auto AgentRelay::ResetLost(const FlowKey& aFlow,
                           OwnFlow& aOwn,
                           std::uint32_t aSequence,
                           const char* aCause,
                           RelayPort& aPort) -> void
{
  ++counters_.resets;
  log_.Write(EventLevel::Warning,
             Event("flow_reset")
               .With("flow", ToText(aFlow))
               .With("cause", aCause)
               .With("request_waiting", aOwn.busy)
               .Text());
  Finish(aOwn);
  aPort.ResetCaller(aFlow, aSequence);
}

auto AgentRelay::NoteCallerData(OwnFlow& aOwn, const Packet& aPacket) -> void
{
  if (aPacket.payload.empty() || aOwn.phase == Phase::Finished) {
    return;
  }
  const auto end =
    aPacket.sequence + static_cast<std::uint32_t>(aPacket.payload.size());
  const bool isNew = aOwn.callerNext == 0 || !AtOrAfter(aOwn.callerNext, end);
  if (isNew) {
    aOwn.callerNext = end;
  }
  if (isNew && !aOwn.busy) {
    ++counters_.requests;
    EndAwaiting(aOwn);
    aOwn.busy = true;
    aOwn.requestUnread = true;
    aOwn.requestBegan = clock_.Now();
    aOwn.before = meter_.BeginRequest();
  }
  if (aOwn.requestUnread) {
    ReadRequest(aOwn, aPacket);
  }
}

auto AgentRelay::ReadRequest(OwnFlow& aOwn, const Packet& aPacket) -> void
{
  const auto id = reader_.RequestId(aPacket.payload);
  if (id.empty()) {
    return;
  }
  aOwn.requestUnread = false;
  log_.Write(EventLevel::Info,
             Event("request_delivered")
               .With("request", id)
               .With("flow", ToText(aPacket.flow))
               .With("in_flight", aOwn.before)
               .With("hops", aPacket.tag.hops)
               .Text());
}

auto AgentRelay::NoteBackendData(OwnFlow& aOwn, const Packet& aPacket) -> void
{
  if (aPacket.payload.empty()) {
    return;
  }
  if (aOwn.busy) {
    aOwn.busy = false;
    aOwn.answerUnread = true;
    aOwn.answerBegan = clock_.Now();
    meter_.EndRequest(aOwn.requestBegan, aOwn.before);
  }
  if (aOwn.answerUnread) {
    ReadAnswer(aOwn, aPacket);
  }
}

auto AgentRelay::ReadAnswer(OwnFlow& aOwn, const Packet& aPacket) -> void
{
  const auto answer = reader_.Answer(aPacket.payload);
  if (answer.status == 0) {
    return;
  }
  aOwn.answerUnread = false;
  const bool failed = answer.status >= 500 || answer.notRun;
  counters_.failures += failed ? 1 : 0;
  NoteOutcome(failed, answer.notRun ? "not_run" : "error");
  const auto took = std::chrono::duration_cast<std::chrono::microseconds>(
    aOwn.answerBegan - aOwn.requestBegan);
  if (observer_) {
    observer_->OnAnswer(took);
  }
  log_.Write(failed ? EventLevel::Warning : EventLevel::Info,
             Event("request_answered")
               .With("flow", ToText(aPacket.flow))
               .With("status", answer.status)
               .With("not_run", answer.notRun)
               .With("took_us", took.count())
               .Text());
}

auto AgentRelay::NoteOutcome(bool aFailed, const char* aCause) -> void
{
  const bool before = meter_.IsFailing();
  meter_.NoteAnswer(aFailed);
  if (meter_.IsFailing() == before) {
    return;
  }
  BackendLoad load;
  meter_.Fill(load);
  log_.Write(EventLevel::Warning,
             Event(before ? "backend_restored" : "backend_ejected")
               .With("cause", before ? "good_answers" : aCause)
               .With("failure_per_mille", load.failurePerMille)
               .With("in_flight", load.inFlight)
               .Text());
}

auto AgentRelay::FinishIfOver(OwnFlow& aOwn, const Packet& aPacket) -> void
{
  if (aPacket.resets || (aOwn.callerClosed && aOwn.backendClosed)) {
    Finish(aOwn);
  }
}

auto AgentRelay::Finish(OwnFlow& aOwn) -> void
{
  EndAwaiting(aOwn);
  if (aOwn.busy) {
    aOwn.busy = false;
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

auto AgentRelay::TellBalancer(const Packet& aPacket, RelayPort& aPort) -> void
{
  const auto found = balancers_.find(aPacket.tag.balancer);
  if (found != balancers_.end()) {
    aPort.Tell(found->second,
               PeerMessage{ FlowLocation{ aPacket.flow, init_.self } });
  }
}

auto AgentRelay::OnTargetsChanged() -> void
{
  if (const auto* own = state_.FindAgent(init_.self)) {
    meter_.SetSlots(own->target.slots);
  }
  for (auto& [flow, own] : flows_) {
    own.registeredAt = TimePoint{};
  }
}

auto AgentRelay::Flush(RelayPort& aPort) -> void
{
  if (queue_.Size() > 0) {
    AdmitWaiting(aPort);
  }
  for (auto& [agent, flows] : registrations_) {
    for (std::size_t i = 0; i < flows.size(); i += kFlowsPerMessage) {
      const auto end = std::min(flows.size(), i + kFlowsPerMessage);
      FlowRegistration message{ init_.self, {} };
      message.flows.assign(flows.begin() + std::ptrdiff_t(i),
                           flows.begin() + std::ptrdiff_t(end));
      aPort.Tell(agent.ip, PeerMessage{ std::move(message) });
    }
  }
  registrations_.clear();
}

auto AgentRelay::ExpireOpenings(RelayPort& aPort) -> void
{
  AdmitWaiting(aPort);
  const auto now = clock_.Now();
  for (auto entry = openings_.begin(); entry != openings_.end();) {
    if (now - entry->second.since < kOpeningWithin) {
      ++entry;
      continue;
    }
    meter_.NoteUnanswered();
    auto opening = std::move(entry->second);
    const auto flow = entry->first;
    entry = openings_.erase(entry);
    const auto found = flows_.find(flow);
    if (found != flows_.end()) {
      EndAwaiting(found->second);
      flows_.erase(found);
    }
    Packet packet;
    packet.flow = flow;
    packet.opens = true;
    packet.tag = opening.tag;
    packet.bytes = opening.bytes;
    if (const auto* route = state_.FindRoute(flow.address)) {
      Redirect(packet, *route, "no_answer", aPort);
    }
  }
}

auto AgentRelay::Tick(RelayPort& aPort) -> void
{
  const auto now = clock_.Now();
  const auto idle = IdleTimeout() + kIdleFlowSlack;
  boost::unordered::erase_if(flows_, [this, now, idle](auto& aEntry) {
    auto& own = aEntry.second;
    const auto kept = own.phase == Phase::Finished ? kFinishedFlowKept : idle;
    if (now - own.lastPacket <= kept) {
      return false;
    }
    Finish(own);
    return true;
  });
  for (auto& [flow, own] : flows_) {
    if (own.phase == Phase::Open && now - own.registeredAt >= kRegisterAgain) {
      Register(flow, own);
    }
  }
  boost::unordered::erase_if(records_, [now](const auto& aEntry) {
    return now - aEntry.second.since > 3 * kRegisterAgain;
  });
  Flush(aPort);
}

auto AgentRelay::Report() -> BackendLoad
{
  BackendLoad report;
  meter_.Fill(report);
  report.service = init_.service;
  report.inFlight += awaitedCount_ + static_cast<std::uint32_t>(queue_.Size());
  report.flows = static_cast<std::uint32_t>(flows_.size());
  const auto* own = state_.FindAgent(init_.self);
  report.draining = own && own->standing == TargetStanding::Leaving;
  return report;
}

} // namespace damaskwalk
