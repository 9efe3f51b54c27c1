#pragma once

// Liveness of other relays and the load of agents, from their heartbeats.

#include "core/clock.h"
#include "relay/peer_messages.h"

#include <unordered_map>

namespace damaskwalk {

struct PeerRecord
{
  RelayRole role = RelayRole::Balancer;
  std::uint64_t incarnation = 0;
  bool stopped = false; // announced by the peer, and no new process heard since
  StateDigest digest;
  TimePoint lastHeartbeatAt;
  bool hasLoad = false;
  BackendLoad load;
  TimePoint loadAt;
  // First packets sent to the agent since its last load report, and the time of
  // the first of them.
  std::uint32_t placedSinceReport = 0;
  TimePoint unansweredSince;
};

// Single threaded.
class PeerTable
{
public:
  explicit PeerTable(const Clock& aClock);

  // @return true if the peer is new or was restarted.
  auto OnHeartbeat(std::uint32_t aIp, const RelayHeartbeat& aHeartbeat) -> bool;
  // Expects heartbeats of the peer from now on, even if it has sent none yet.
  auto ExpectHeartbeats(std::uint32_t aIp) -> void;
  auto OnFlowPlaced(std::uint32_t aIp) -> void;
  // First packets sent to the agent since its last load report.
  auto PlacedSinceReport(std::uint32_t aIp) const -> std::uint32_t;
  auto Find(std::uint32_t aIp) const -> const PeerRecord*;
  // True if the peer has stopped, has missed several heartbeats since it was
  // expected or last heard, or has not reported its load after a first packet,
  // which agents do at once.
  auto IsSilent(std::uint32_t aIp) const -> bool;
  // The peer has stopped, and its backend server holds no flow.
  auto HasStoppedWithoutFlows(std::uint32_t aIp) const -> bool;
  // Sets the period at which peers send; both sides derive it from the number
  // of targets.
  auto SetHeartbeatPeriod(Millis aPeriod) -> void { period_ = aPeriod; }
  auto HeartbeatPeriod() const -> Millis { return period_; }
  // Removes peers that have been silent for a minute.
  auto Tick() -> void;
  auto Peers() const -> const std::unordered_map<std::uint32_t, PeerRecord>&
  {
    return peers_;
  }
  // Mean service time over the agents that reported one; the default if there
  // is none.
  auto MeanServiceTime(ServiceId aService) const -> std::chrono::microseconds;

private:
  const Clock& clock_;
  Millis period_;
  std::unordered_map<std::uint32_t, PeerRecord> peers_;
  // Peers that have sent no heartbeat, with the time from which they are
  // expected.
  std::unordered_map<std::uint32_t, TimePoint> expected_;
  std::unordered_map<std::uint32_t, std::uint32_t> placedAtUnknown_;
};

} // namespace damaskwalk
