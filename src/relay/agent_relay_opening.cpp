// The agent's part for first packets: which flows open at its backend server,
// which are queued, and which are redirected.

#include "relay/agent_relay.h"

#include "relay/limits.h"

namespace damaskwalk {

namespace {

constexpr const char* kFailing = "failing";
constexpr const char* kEvacuated = "evacuated";

// @param aBytes must outlive the packet.
auto FirstPacketOf(const FlowKey& aFlow,
                   const RelayTag& aTag,
                   std::string& aBytes) -> Packet
{
  Packet packet;
  packet.flow = aFlow;
  packet.opens = true;
  packet.tag = aTag;
  packet.bytes = aBytes;
  return packet;
}

} // namespace

auto AgentRelay::RegistrationRefusalCause(const RelayRoute& aRoute) const
  -> const char*
{
  if (!aRoute.Allows(init_.service)) {
    return "other_service";
  }
  const auto own = Registration();
  if (own.standing == TargetStanding::Gone) {
    return "not_registered";
  }
  if (own.standing == TargetStanding::Leaving) {
    return "draining";
  }
  if (own.known->evacuated) {
    return kEvacuated;
  }
  return nullptr;
}

auto AgentRelay::RefusalCause(const RelayRoute& aRoute) -> const char*
{
  if (const auto* cause = RegistrationRefusalCause(aRoute)) {
    return cause;
  }
  if (!meter_.AcceptsFlows()) {
    return "not_answering";
  }
  if (meter_.IsFailing() && !meter_.StartTrial() &&
      !order_.MustUseFailing(init_.service)) {
    return kFailing;
  }
  return nullptr;
}

auto AgentRelay::OnFirstPacket(Packet& aPacket, RelayPort& aPort) -> void
{
  if (DeliverIfTracked(aPacket, aPort)) {
    return;
  }
  const auto* route = state_.FindRoute(aPacket.flow.address);
  if (!route) {
    return;
  }
  const auto* cause = RefusalCause(*route);
  // If no other agent accepts the flow, use a server that fails some requests.
  const bool lastResort = cause == kFailing && !NextAgent(aPacket, *route);
  if (cause && !lastResort) {
    Redirect(aPacket, *route, cause, aPort);
    return;
  }
  if (flows_.size() >= kMaxAgentFlows) {
    Redirect(aPacket, *route, "table_full", aPort);
    return;
  }
  auto opening = MakeWaiting(aPacket, *route);
  if (HasCapacity() && queue_.Size() == 0) {
    Admit(opening, aPort);
  } else if (!MoveIfLate(opening, aPacket, *route, aPort)) {
    Enqueue(std::move(opening), aPort);
  }
}

auto AgentRelay::DeliverIfTracked(const Packet& aPacket, RelayPort& aPort)
  -> bool
{
  const auto found = flows_.find(aPacket.flow);
  if (found == flows_.end() || found->second.phase == Phase::Asked) {
    return false;
  }
  Deliver(found->second, aPacket, aPort);
  return true;
}

auto AgentRelay::MoveIfLate(const WaitingOpening& aOpening,
                            Packet& aPacket,
                            const RelayRoute& aRoute,
                            RelayPort& aPort) -> bool
{
  // A queued flow keeps its place; its retransmission replaces the packet.
  // Without a stated objective there is nothing that a move could meet.
  if (aRoute.latencyObjective.count() == 0 || queue_.Contains(aOpening.flow)) {
    return false;
  }
  const auto ahead =
    queue_.CountAhead(aOpening, clock_.Now(), TimeToAnswerNow());
  const auto agent = mover_.Choose(aOpening, init_.service, WaitBehind(ahead));
  if (!agent) {
    return false;
  }
  ++counters_.moved;
  mover_.OnMoved(aOpening.flow, *agent);
  SendToNext(aPacket, aRoute, "moved", agent, aPort);
  return true;
}

auto AgentRelay::MakeWaiting(const Packet& aPacket,
                             const RelayRoute& aRoute) const -> WaitingOpening
{
  const auto retransmissions = aPacket.acknowledgement;
  const auto age = retransmissions == 0   ? Millis{ 0 }
                   : retransmissions == 1 ? kFirstRetransmissionDelay
                                          : kSecondRetransmissionDelay;
  const auto objective = aRoute.latencyObjective.count() > 0
                           ? aRoute.latencyObjective
                           : kDefaultLatencyObjective;
  WaitingOpening opening;
  opening.flow = aPacket.flow;
  opening.bytes.assign(aPacket.bytes.data(), aPacket.bytes.size());
  opening.tag = aPacket.tag;
  opening.firstSentAt = clock_.Now() - age;
  opening.objectiveDeadline = opening.firstSentAt + objective;
  opening.expiresAt =
    opening.firstSentAt +
    (aRoute.timeout.count() > 0 ? aRoute.timeout : kDefaultRouteTimeout);
  opening.priority = aRoute.priority;
  opening.lastRetransmission =
    retransmissions >= kMaxFirstPacketRetransmissions;
  return opening;
}

auto AgentRelay::HasCapacity() const -> bool
{
  return coldStart_.Admits() &&
         meter_.InFlight() + awaitedRequests_ <
           MaxRequestsInFlight(meter_.Slots(), meter_.ServiceTime());
}

auto AgentRelay::Admit(const WaitingOpening& aOpening, RelayPort& aPort) -> void
{
  auto& own = flows_[aOpening.flow];
  own.awaitsFirstRequest = true;
  ++awaitedRequests_;
  const auto now = clock_.Now();
  queue_.OnAdmitted(aOpening.flow.caller.ip, now);
  own.awaitedSince = now;
  awaitingFirstRequest_.emplace_back(now, aOpening.flow);
  openings_[aOpening.flow] = { aOpening.bytes, aOpening.tag, now };
  coldStart_.OnAdmitted();
  auto bytes = aOpening.bytes;
  Deliver(own, FirstPacketOf(aOpening.flow, aOpening.tag, bytes), aPort);
}

auto AgentRelay::Enqueue(WaitingOpening aOpening, RelayPort& aPort) -> void
{
  if (queue_.Contains(aOpening.flow)) {
    queue_.Add(std::move(aOpening));
    return;
  }
  if (!CanBeServed(aOpening)) {
    DeferOrRefuse(aOpening, aPort);
    return;
  }
  ++counters_.queued;
  queue_.Add(std::move(aOpening));
}

auto AgentRelay::TimeToAnswerNow() const -> std::chrono::microseconds
{
  return TimeToAnswer(
    meter_.InFlight() + awaitedRequests_, meter_.Slots(), meter_.ServiceTime());
}

auto AgentRelay::WaitBehind(std::size_t aQueued) const
  -> std::chrono::microseconds
{
  const auto busy = meter_.InFlight() + awaitedRequests_;
  return ExpectedWait(busy + aQueued, meter_.Slots(), meter_.ServiceTime()) +
         coldStart_.TimeToAdmit(aQueued);
}

auto AgentRelay::CanBeServed(const WaitingOpening& aOpening) const -> bool
{
  const auto now = clock_.Now();
  const auto service = meter_.ServiceTime();
  const auto ahead = queue_.CountAhead(aOpening, now, TimeToAnswerNow());
  if (now + WaitBehind(ahead) <= aOpening.objectiveDeadline) {
    return true;
  }
  // Late in any case: openings that come later and can be on time go first.
  const auto wait = WaitBehind(queue_.Size());
  return now + wait < aOpening.expiresAt &&
         now + wait - service < aOpening.firstSentAt + kMaxFirstPacketAge;
}

auto AgentRelay::DeferOrRefuse(const WaitingOpening& aOpening, RelayPort& aPort)
  -> void
{
  const bool canReturn = !aOpening.lastRetransmission &&
                         clock_.Now() + TimeToAnswerNow() < aOpening.expiresAt;
  if (!canReturn) {
    Refuse(aOpening, aPort);
    return;
  }
  ++counters_.deferred;
  LogOverload("flow_deferred", aOpening);
}

auto AgentRelay::Refuse(const WaitingOpening& aOpening, RelayPort& aPort)
  -> void
{
  ++counters_.givenUp;
  ++counters_.resets;
  LogOverload("flow_refused", aOpening);
  aPort.ResetCaller(aOpening.flow, 0);
}

auto AgentRelay::LogOverload(const char* aEvent, const WaitingOpening& aOpening)
  -> void
{
  log_.Write(EventLevel::Warning,
             Event(aEvent)
               .With("flow", ToText(aOpening.flow))
               .With("cause", "overload")
               .With("queued", queue_.Size())
               .With("in_flight", meter_.InFlight())
               .With("slots", meter_.Slots())
               .With("service_us", meter_.ServiceTime().count())
               .Text());
}

auto AgentRelay::AdmitWaiting(RelayPort& aPort) -> void
{
  const auto now = clock_.Now();
  while (!awaitingFirstRequest_.empty() &&
         now - awaitingFirstRequest_.front().first >= kFirstRequestTimeout) {
    const auto found = flows_.find(awaitingFirstRequest_.front().second);
    if (found != flows_.end() &&
        now - found->second.awaitedSince >= kFirstRequestTimeout) {
      StopAwaitingRequest(found->second);
    }
    awaitingFirstRequest_.pop_front();
  }
  for (const auto& expired : queue_.TakeExpired(now, TimeToAnswerNow())) {
    ++counters_.expired;
    counters_.waitedForShare += expired.waitedForShare ? 1 : 0;
    if (!flows_.contains(expired.flow)) {
      Refuse(expired, aPort);
    }
  }
  const auto own = Registration();
  const bool closed = !meter_.AcceptsFlows() ||
                      own.standing >= TargetStanding::Leaving ||
                      own.known->evacuated;
  while (queue_.Size() > 0 && (closed || HasCapacity())) {
    AdmitOrRedirect(*queue_.TakeNext(now, TimeToAnswerNow()), aPort);
  }
}

auto AgentRelay::AdmitOrRedirect(const WaitingOpening& aOpening,
                                 RelayPort& aPort) -> void
{
  auto bytes = aOpening.bytes;
  auto packet = FirstPacketOf(aOpening.flow, aOpening.tag, bytes);
  // The backend server may have answered an earlier transmission meanwhile.
  if (DeliverIfTracked(packet, aPort)) {
    return;
  }
  const auto* route = state_.FindRoute(aOpening.flow.address);
  if (!route) {
    return; // the route was removed while the opening was queued
  }
  const auto* cause = RegistrationRefusalCause(*route);
  if (!cause && meter_.AcceptsFlows()) {
    counters_.waitedForShare += aOpening.waitedForShare ? 1 : 0;
    counters_.floorAdmissions += aOpening.takenByFloor ? 1 : 0;
    Admit(aOpening, aPort);
    return;
  }
  Redirect(packet, *route, cause ? cause : "not_answering", aPort);
}

auto AgentRelay::OnStop(RelayPort& aPort) -> void
{
  const auto now = clock_.Now();
  while (auto opening = queue_.TakeNext(now, TimeToAnswerNow())) {
    auto packet = FirstPacketOf(opening->flow, opening->tag, opening->bytes);
    const auto* route = state_.FindRoute(opening->flow.address);
    if (route && !flows_.contains(opening->flow)) {
      Redirect(packet, *route, "stopping", aPort);
    }
  }
}

auto AgentRelay::StopAwaitingRequest(OwnFlow& aOwn) -> void
{
  if (aOwn.awaitsFirstRequest) {
    aOwn.awaitsFirstRequest = false;
    --awaitedRequests_;
  }
}

auto AgentRelay::NextAgent(const Packet& aPacket,
                           const RelayRoute& aRoute) const
  -> std::optional<Endpoint>
{
  return aPacket.tag.hops < kMaxFirstPacketHops
           ? order_.NextAccepting(aRoute, aPacket.flow, init_.self)
           : std::nullopt;
}

auto AgentRelay::Redirect(Packet& aPacket,
                          const RelayRoute& aRoute,
                          const char* aCause,
                          RelayPort& aPort) -> void
{
  SendToNext(aPacket, aRoute, aCause, NextAgent(aPacket, aRoute), aPort);
}

auto AgentRelay::SendToNext(Packet& aPacket,
                            const RelayRoute& aRoute,
                            const char* aCause,
                            const std::optional<Endpoint>& aNext,
                            RelayPort& aPort) -> void
{
  counters_.evacuated += aCause == kEvacuated ? 1 : 0;
  log_.Write(EventLevel::Info,
             Event("flow_redirected")
               .With("flow", ToText(aPacket.flow))
               .With("route", aRoute.name)
               .With("cause", aCause)
               .With("agent", aNext ? ToText(*aNext) : std::string("none"))
               .With("hops", aPacket.tag.hops)
               .With("routes", state_.Routes().version)
               .With("targets", state_.Targets().revision.number)
               .With("age_ms", state_.Digest().age.count())
               .Text());
  if (!aNext) {
    ++counters_.resets;
    aPort.ResetCaller(aPacket.flow, 0);
    return;
  }
  ++counters_.redirected;
  ++aPacket.tag.hops;
  aPacket.tag.wantsHint = true;
  aPort.SendToAgent(*aNext, aPacket);
}

auto AgentRelay::RunTimeouts(RelayPort& aPort) -> void
{
  ExpireOpenings(aPort);
  RetrySearches(aPort);
  AnswerHeldQueries(aPort);
  queries_.Tick(aPort);
  ResetLostFlows(aPort);
  LogUndecidedFlows();
  std::erase_if(questions_, [this](const auto& aEntry) {
    return clock_.Now() - aEntry.second.since > kDomainAnswerTimeout;
  });
}

auto AgentRelay::ExpireOpenings(RelayPort& aPort) -> void
{
  AdmitWaiting(aPort);
  const auto now = clock_.Now();
  for (auto entry = openings_.begin(); entry != openings_.end();) {
    if (now - entry->second.since < kFlowOpenTimeout) {
      ++entry;
      continue;
    }
    meter_.OnOpenTimeout();
    auto opening = std::move(entry->second);
    const auto flow = entry->first;
    entry = openings_.erase(entry);
    const auto found = flows_.find(flow);
    if (found != flows_.end()) {
      DropOpening(found);
    }
    auto packet = FirstPacketOf(flow, opening.tag, opening.bytes);
    if (const auto* route = state_.FindRoute(flow.address)) {
      Redirect(packet, *route, "no_answer", aPort);
    }
  }
}

} // namespace damaskwalk
