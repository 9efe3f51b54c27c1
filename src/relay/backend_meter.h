#pragma once

// Measures load, speed and health of one backend server from its packets.

#include "core/clock.h"
#include "relay/peer_messages.h"

namespace damaskwalk {

// Single threaded.
class BackendMeter
{
public:
  explicit BackendMeter(const Clock& aClock);

  auto SetSlots(std::uint32_t aSlots) -> void { slots_ = aSlots; }
  auto Slots() const -> std::uint32_t { return slots_; }
  auto ServiceTime() const -> std::chrono::microseconds;

  // @return the number of requests in flight before this one.
  auto BeginRequest() -> std::uint32_t;
  // @param aInFlightBefore the value that BeginRequest returned.
  auto EndRequest(TimePoint aBegan, std::uint32_t aInFlightBefore) -> void;
  // @param aFailed the backend server refused the request or answered with an
  // error.
  auto OnAnswer(bool aFailed) -> void;
  // The flow ended before its answer.
  auto AbandonRequest() -> void;

  // Ejected for failures, until trials succeed.
  auto IsFailing() const -> bool { return ejected_; }
  // The ejection time is over; occasional first packets may try the server.
  auto IsOnTrial() const -> bool;
  // @return true if a trial was due; the next one is due a trial period later.
  auto StartTrial() -> bool;

  // A first packet was answered, refused, or not answered in time.
  auto OnFlowOpened() -> void;
  auto OnFlowRefused() -> void;
  auto OnOpenTimeout() -> void;
  // The backend server's process is dead. Flows are rejected until it opens one
  // or the retry delay is over.
  auto OnBackendDown() -> void;
  // The backend server sent or returned a packet.
  auto OnBackendPacket() -> void;

  // The backend server is expected to answer first packets.
  auto AcceptsFlows() const -> bool;
  // Its process was found dead within the last retry delay.
  auto IsDown() const -> bool;
  // Its process was found dead, and no packet came from its port since.
  auto IsPortClosed() const -> bool { return portClosed_; }
  auto InFlight() const -> std::uint32_t { return inFlight_; }
  auto FillReport(BackendLoad& aReport) -> void;

private:
  auto UpdateMeanInFlight() -> void;
  auto OnFailure() -> void;
  auto OnSuccess() -> void;
  auto Eject() -> void;

  const Clock& clock_;
  std::uint32_t slots_ = 1;
  std::uint32_t inFlight_ = 0;
  double meanInFlight_ = 0;
  TimePoint integratedAt_;
  double serviceMicros_ = 0; // 0: none measured
  double failureShare_ = 0;
  std::uint32_t answers_ = 0;
  std::uint32_t failuresInRow_ = 0;
  std::uint32_t successesInRow_ = 0;
  bool ejected_ = false;
  TimePoint ejectedUntil_;
  TimePoint restoredAt_;
  TimePoint lastTrial_;
  Millis nextEjectionTime_;
  std::uint32_t unanswered_ = 0;
  TimePoint rejectsFlowsUntil_;
  TimePoint downUntil_;
  bool portClosed_ = false; // see IsPortClosed
};

} // namespace damaskwalk
