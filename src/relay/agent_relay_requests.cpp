// The agent's part for load: tracks requests and answers by the packets that
// pass through.

#include "relay/agent_relay.h"
#include "relay/sequence.h"

namespace damaskwalk {

auto AgentRelay::OnCallerData(OwnFlow& aOwn, const Packet& aPacket) -> void
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
  const auto requestBytes = reader_.RequestBytes(aPacket.payload);
  const bool idle = !aOwn.requestInFlight && !aOwn.requestArriving;
  if (isNew && idle && (requestBytes || !aOwn.answeredEarly)) {
    BeginArrival(aOwn, aPacket.flow);
  }
  if (aOwn.requestIdPending) {
    ReadRequest(aOwn, aPacket);
  }
  if (aOwn.requestArriving) {
    aOwn.arrival.OnData(aPacket.sequence,
                        static_cast<std::uint32_t>(aPacket.payload.size()),
                        requestBytes);
    if (aOwn.arrival.IsWhole()) {
      BeginRequest(aOwn);
    }
  }
}

auto AgentRelay::BeginArrival(OwnFlow& aOwn, const FlowKey& aFlow) -> void
{
  ++counters_.requests;
  aOwn.requestArriving = true;
  aOwn.answeredEarly = false;
  aOwn.requestIdPending = true;
  aOwn.inFlightBefore = meter_.InFlight();
  aOwn.arrival.Begin();
  if (aOwn.awaitsFirstRequest) {
    aOwn.awaitedSince = clock_.Now();
    awaitingFirstRequest_.emplace_back(clock_.Now(), aFlow);
  }
}

auto AgentRelay::BeginRequest(OwnFlow& aOwn) -> void
{
  StopAwaitingRequest(aOwn);
  aOwn.requestArriving = false;
  aOwn.requestInFlight = true;
  aOwn.requestBegan = clock_.Now();
  aOwn.inFlightBefore = meter_.BeginRequest();
}

auto AgentRelay::ReadRequest(OwnFlow& aOwn, const Packet& aPacket) -> void
{
  const auto id = reader_.RequestId(aPacket.payload);
  if (id.empty()) {
    return;
  }
  aOwn.requestIdPending = false;
  log_.Write(EventLevel::Info,
             Event("request_delivered")
               .With("request", id)
               .With("flow", ToText(aPacket.flow))
               .With("in_flight", aOwn.inFlightBefore)
               .With("hops", aPacket.tag.hops)
               .Text());
}

auto AgentRelay::OnBackendData(OwnFlow& aOwn, const Packet& aPacket) -> void
{
  if (aPacket.payload.empty()) {
    return;
  }
  if (aOwn.requestInFlight) {
    aOwn.requestInFlight = false;
    aOwn.answerStatusPending = true;
    aOwn.answerBegan = clock_.Now();
    meter_.EndRequest(aOwn.requestBegan, aOwn.inFlightBefore);
  } else if (aOwn.requestArriving) {
    StopAwaitingRequest(aOwn);
    aOwn.requestArriving = false;
    aOwn.answeredEarly = true;
    aOwn.answerStatusPending = true;
    aOwn.answerBegan = clock_.Now();
    aOwn.requestBegan = aOwn.answerBegan;
  }
  if (aOwn.answerStatusPending) {
    ReadAnswer(aOwn, aPacket);
  }
}

auto AgentRelay::ReadAnswer(OwnFlow& aOwn, const Packet& aPacket) -> void
{
  const auto answer = reader_.Answer(aPacket.payload);
  if (answer.status == 0) {
    return;
  }
  aOwn.answerStatusPending = false;
  const bool failed = answer.status >= 500 || answer.notRun;
  counters_.failures += failed ? 1 : 0;
  OnOutcome(failed, answer.notRun ? "not_run" : "error");
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

auto AgentRelay::OnOutcome(bool aFailed, const char* aCause) -> void
{
  const bool wasFailing = meter_.IsFailing();
  meter_.OnAnswer(aFailed);
  if (meter_.IsFailing() == wasFailing) {
    return;
  }
  BackendLoad load;
  meter_.FillReport(load);
  log_.Write(EventLevel::Warning,
             Event(wasFailing ? "backend_restored" : "backend_ejected")
               .With("cause", wasFailing ? "good_answers" : aCause)
               .With("failure_per_mille", load.failurePerMille)
               .With("in_flight", load.inFlight)
               .Text());
}

} // namespace damaskwalk
