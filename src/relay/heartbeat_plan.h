#pragma once

// Which agents a process exchanges heartbeats with.
//
// Answers the size of the fleet: heartbeats of all to all grow with its square
// and mostly cross failure domains. Beyond kFullMeshTargets a process hears the
// agents of its own domain, its near ones. Of the far ones it learns by domain
// reports (domain_reports.h) and, as a balancer, by asking a few for their
// load.

#include "relay/fleet_state.h"
#include "relay/peer_messages.h"
#include "relay/peer_table.h"

#include <map>
#include <random>
#include <unordered_set>

namespace damaskwalk {

struct HeartbeatPlanInit
{
  std::uint32_t self = 0; // address of this VM
  RelayRole role = RelayRole::Balancer;
  std::string failureDomain;
  ServiceId service; // agents only
  std::uint64_t seed = 1;
  // Port at which every agent receives packets; 0: not known. Then agents
  // without a registration are not remembered.
  std::uint16_t agentPort = 0;
};

// Agents are given by the address of their VM. Single threaded.
class HeartbeatPlan
{
public:
  explicit HeartbeatPlan(const HeartbeatPlanInit& aInit);

  // To be called when targets changed, or if the plan is outdated.
  auto Update(const FleetState& aState, const PeerTable& aPeers) -> void;
  // True if other agents count than at the last update.
  auto IsOutdated(const FleetState& aState, const PeerTable& aPeers) const
    -> bool;

  // Near agents, which send periodic heartbeats to this process. Those whose
  // target is gone are among them.
  auto Near() const -> const std::vector<std::uint32_t>& { return near_; }
  // VMs of the own domain with targets of services that are not in use. An
  // agent there must hear when its service comes into use; there may be none.
  auto Unused() const -> const std::unordered_set<std::uint32_t>&
  {
    return unused_;
  }
  // Agents of other domains that stand in for missing near ones. They do not
  // know of it and have to be asked for each heartbeat.
  auto Padding() const -> const std::vector<std::uint32_t>& { return padding_; }
  // All other agents; empty in a full mesh.
  auto Far() const -> const std::unordered_set<std::uint32_t>& { return far_; }
  // Agents of the fleet whose target is registered. Registrations may also name
  // addresses without an agent (PeerTable::CountsAsAgent).
  auto Agents() const -> std::size_t { return agents_; }
  auto IsFullMesh() const -> bool { return fullMesh_; }
  // Far agents by their failure domain.
  auto FarDomains() const
    -> const std::map<DomainId, std::vector<std::uint32_t>>&
  {
    return farDomains_;
  }

  // Random agents of each other domain, silent ones only if all are.
  auto SampleDomains(std::size_t aPerDomain, const PeerTable& aPeers)
    -> std::vector<std::uint32_t>;
  // Random far agents of any domain.
  auto SampleFar(std::size_t aCount) -> std::vector<std::uint32_t>;
  // Random far agents that were never heard, as long as it is not known whether
  // the fleet has more agents than a full mesh.
  auto SampleUnheard(std::size_t aCount, const PeerTable& aPeers)
    -> std::vector<std::uint32_t>;
  // True with the probability that makes kDomainReporters of aProcesses report.
  auto DrawReporter(std::size_t aProcesses) -> bool;

private:
  auto UpdateFullMesh(const FleetState& aState) -> void;
  auto UpdateByDomain(const FleetState& aState, const PeerTable& aPeers)
    -> void;
  // Keeps the agents that follow this process in a ring of hashes, so that each
  // is heard by as many others.
  auto LimitNear(const PeerTable& aPeers) -> void;
  auto PadNear(const PeerTable& aPeers) -> void;

  HeartbeatPlanInit init_;
  std::mt19937_64 random_;
  bool fullMesh_ = true;
  bool isSizeCertain_ = false; // more agents were heard than a full mesh has
  std::size_t agents_ = 0;
  std::vector<std::uint32_t> near_;
  std::unordered_set<std::uint32_t> unused_;
  std::vector<std::uint32_t> padding_;
  std::unordered_set<std::uint32_t> far_;
  std::map<DomainId, std::vector<std::uint32_t>> farDomains_;
};

} // namespace damaskwalk
