#pragma once

// Load, speed and health of one backend server, from the packets that pass.

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

  // @return the requests in flight before this one.
  auto BeginRequest() -> std::uint32_t;
  // @param aBefore what BeginRequest returned.
  auto EndRequest(TimePoint aBegan, std::uint32_t aBefore) -> void;
  // @param aFailed the backend server refused the request or failed.
  auto OnAnswer(bool aFailed) -> void;
  // The flow ended before the answer came.
  auto AbandonRequest() -> void;

  // Ejected for its failures until it proves itself again.
  auto IsFailing() const -> bool { return ejected_; }
  // Ejected long enough to be tried by a first packet now and then.
  auto IsOnTrial() const -> bool;
  // @return true when this first packet may try it now.
  auto StartTrial() -> bool;

  // A first packet was answered, refused, or went without an answer.
  auto OnFlowOpened() -> void;
  auto OnFlowRefused() -> void;
  auto OnOpenTimeout() -> void;
  // The backend server's process is gone; until it opens a flow again.
  auto OnBackendDown() -> void;
  // A packet came from it.
  auto OnBackendPacket() -> void;

  // New flows may be opened here.
  auto AcceptsFlows() const -> bool;
  // Its process was found gone a moment ago.
  auto IsDown() const -> bool;
  // Its process was found gone, and nothing came from its port since.
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
  Millis ejectNextFor_;
  std::uint32_t unanswered_ = 0;
  TimePoint rejectsFlowsUntil_;
  TimePoint downUntil_;
  bool portClosed_ = false; // its port was, and nothing came from it since
};

} // namespace damaskwalk
