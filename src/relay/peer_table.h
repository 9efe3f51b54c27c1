#pragma once

// Heartbeats of other relays: who runs, and what load agents reported.

#include "core/clock.h"
#include "relay/peer_messages.h"

#include <unordered_map>

namespace damaskwalk {

struct PeerRecord
{
  RelayRole role = RelayRole::Balancer;
  std::uint64_t incarnation = 0;
  bool stopped = false; // it said so, and no successor was heard
  StateDigest digest;
  TimePoint lastHeartbeatAt;
  bool hasLoad = false;
  BackendLoad load;
  TimePoint loadAt;
  // First packets sent there since its load was reported, and the time of the
  // first of them.
  std::uint32_t placedSinceReport = 0;
  TimePoint unansweredSince;
};

// Single threaded.
class PeerTable
{
public:
  explicit PeerTable(const Clock& aClock);

  // @return true when the peer is new or was started anew.
  auto OnHeartbeat(std::uint32_t aIp, const RelayHeartbeat& aHeartbeat) -> bool;
  // A peer that ought to answer heartbeats from now on.
  auto ExpectHeartbeats(std::uint32_t aIp) -> void;
  auto OnFlowPlaced(std::uint32_t aIp) -> void;
  // First packets sent there since its load was reported.
  auto PlacedSinceReport(std::uint32_t aIp) const -> std::uint32_t;
  auto Find(std::uint32_t aIp) const -> const PeerRecord*;
  // Stopped; or expected or heard once, and silent since for several
  // heartbeats; or did not report its load after a first packet, as agents do
  // at once.
  auto IsSilent(std::uint32_t aIp) const -> bool;
  // It stopped, and no flow lives at its backend server.
  auto HasStoppedWithoutFlows(std::uint32_t aIp) const -> bool;
  // Sets how often peers send, as both sides derive it from the fleet's size.
  auto SetHeartbeatPeriod(Millis aPeriod) -> void { period_ = aPeriod; }
  auto HeartbeatPeriod() const -> Millis { return period_; }
  // Forgets peers that have been silent for a minute.
  auto Tick() -> void;
  auto Peers() const -> const std::unordered_map<std::uint32_t, PeerRecord>&
  {
    return peers_;
  }
  // Mean service time over the agents that reported one; the default when none
  // did.
  auto MeanServiceTime(ServiceId aService) const -> std::chrono::microseconds;

private:
  const Clock& clock_;
  Millis period_;
  std::unordered_map<std::uint32_t, PeerRecord> peers_;
  // Peers never heard from, with the time since when they are expected.
  std::unordered_map<std::uint32_t, TimePoint> expected_;
  std::unordered_map<std::uint32_t, std::uint32_t> placedAtUnknown_;
};

} // namespace damaskwalk
