#pragma once

// Liveness of other relays and the load of agents, from their heartbeats. Far
// agents (heartbeat_plan.h) send none of their own accord; they are judged by
// their answers and by the reports of their failure domains.

#include "core/clock.h"
#include "relay/domain_reports.h"
#include "relay/peer_messages.h"

#include <optional>
#include <unordered_map>
#include <unordered_set>

namespace damaskwalk {

struct PeerRecord
{
  RelayRole role = RelayRole::Balancer;
  std::uint64_t incarnation = 0;
  std::uint64_t formerIncarnation = 0; // of the process before; 0: none known
  bool stopped = false; // announced by the peer, and no new process heard since
  StateDigest digest;
  TimePoint lastHeartbeatAt; // or since when heartbeats are expected again
  TimePoint heardAt;         // last heartbeat
  TimePoint lastPeriodicAt;  // last heartbeat that asked for no reply
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

  // Sets the address and the role of this process.
  auto SetSelf(std::uint32_t aIp, RelayRole aRole) -> void;
  // A heartbeat of the peer's former process, which arrives late, is ignored.
  // @return true if the peer is new or was restarted.
  auto OnHeartbeat(std::uint32_t aIp, const RelayHeartbeat& aHeartbeat) -> bool;
  // Expects heartbeats of the peer from now on, even if it has sent none yet.
  auto ExpectHeartbeats(std::uint32_t aIp) -> void;
  auto OnFlowPlaced(std::uint32_t aIp) -> void;
  // First packets sent to the agent since its last load report.
  auto PlacedSinceReport(std::uint32_t aIp) const -> std::uint32_t;
  auto Find(std::uint32_t aIp) const -> const PeerRecord*;
  // Sets the far agents, by domain and in all.
  auto SetFar(const std::unordered_set<std::uint32_t>& aAgents,
              const std::map<DomainId, std::vector<std::uint32_t>>& aDomains)
    -> void;
  auto IsFar(std::uint32_t aIp) const -> bool { return far_.contains(aIp); }
  // Sets the near agents that send periodic heartbeats to this process. Others
  // are not silent because none arrive. Until the first call all are expected.
  auto SetWatched(const std::vector<std::uint32_t>& aAgents) -> void;
  // Far agents that have not reported their load after a first packet.
  auto UnansweringFar() const -> std::vector<std::uint32_t>;
  auto Reports() -> DomainReports& { return reports_; }
  auto Reports() const -> const DomainReports& { return reports_; }
  // True if the load of a far agent was reported recently enough to compare it
  // with others. Always true for near ones.
  auto HasComparableLoad(std::uint32_t aIp) const -> bool;
  // True if the peer has stopped, has not reported its load after a first
  // packet, which agents do at once even if they were never heard, or is
  // watched and has missed several heartbeats since it was expected or last
  // heard; a far agent, if its domain reports so.
  auto IsSilent(std::uint32_t aIp) const -> bool;
  // The peer has stopped, and the backend server beside it, which was
  // registered then, holds no flow. Not known of agents whose next start may go
  // unheard.
  // @param aRegistered since when the server's registration is known.
  auto HasStoppedWithoutFlows(std::uint32_t aIp, TimePoint aRegistered) const
    -> bool;
  // A heartbeat of the peer was received, or this agent runs at the address.
  auto HasHeard(std::uint32_t aIp) const -> bool;
  // This balancer runs at the address, or a balancer was heard there: since a
  // target was registered there, or so recently that nobody else has it yet.
  // @param aRegistered since when the registration is known.
  auto RunsNoAgent(std::uint32_t aIp, TimePoint aRegistered) const -> bool;
  // A near agent was never heard, and its first heartbeat is expected.
  auto IsAwaited(std::uint32_t aIp) const -> bool;
  // A near agent that was never heard has not replied to a heartbeat.
  auto IsUnanswering(std::uint32_t aIp) const -> bool;
  // Nobody was heard at the address although heartbeats have been expected from
  // it for kVacantAddressTime.
  auto IsVacant(std::uint32_t aIp) const -> bool;
  // A report of another domain names the address as a balancer's.
  auto OnBalancerReported(std::uint32_t aIp) -> void;
  // A far agent that was never heard is asked for a heartbeat.
  auto OnProbed(std::uint32_t aIp) -> void;
  // False if the address of a registration has no agent, as far as is known: a
  // balancer has it, it is vacant, or it left several probes unanswered.
  // @param aRegistered since when the registration is known.
  auto CountsAsAgent(std::uint32_t aIp, TimePoint aRegistered) const -> bool;
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
  // First packets sent to an agent that was not heard.
  struct UnheardPlacements
  {
    std::uint32_t count = 0;
    TimePoint since; // of the first
  };

  auto IsFarSilent(std::uint32_t aIp) const -> bool;
  auto IsWatched(std::uint32_t aIp) const -> bool;
  auto IsUnheardSilent(std::uint32_t aIp) const -> bool;
  // True if heartbeats of a near agent that was never heard have been expected
  // for longer than this.
  auto IsOverdue(std::uint32_t aIp, Millis aTime) const -> bool;

  const Clock& clock_;
  DomainReports reports_;
  std::unordered_set<std::uint32_t> far_;
  std::optional<std::unordered_set<std::uint32_t>> watched_;
  Millis period_;
  std::unordered_map<std::uint32_t, PeerRecord> peers_;
  // Peers that have sent no heartbeat, with the time from which they are
  // expected.
  std::unordered_map<std::uint32_t, TimePoint> expected_;
  std::unordered_map<std::uint32_t, UnheardPlacements> placedAtUnheard_;
  std::unordered_map<std::uint32_t, TimePoint> reportedBalancers_;
  // Probes since an agent was last heard.
  std::unordered_map<std::uint32_t, std::uint32_t> probes_;
  std::uint32_t self_ = 0;
  RelayRole selfRole_ = RelayRole::Agent;
};

} // namespace damaskwalk
