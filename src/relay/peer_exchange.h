#pragma once

// Exchange of messages with peers: who is sent what, and what follows from what
// arrives. In a full mesh everybody hears all agents. Beyond kFullMeshTargets
// heartbeats stay within a failure domain, and what other domains have to know
// crosses once a domain: reports of silent agents and of balancers, and
// announcements of state, which their receivers pass on.

#include "relay/heartbeat_plan.h"
#include "relay/packet.h"
#include "relay/peer_table.h"

#include <optional>
#include <unordered_set>

namespace damaskwalk {

// What the process around the exchange does for it.
class PeerExchangeHost
{
public:
  virtual ~PeerExchangeHost() = default;
  virtual auto MakeHeartbeat() -> RelayHeartbeat = 0;
  // Fetches newer state from the peer; ignored if enough pulls are running.
  virtual auto PullState(std::uint32_t aIp) -> void = 0;
  // A balancer runs at the address.
  virtual auto OnBalancer(std::uint32_t aIp) -> void = 0;
  // An agent that this process hears is new or was restarted.
  virtual auto OnAgentStarted(std::uint32_t aIp) -> void = 0;
};

// Single threaded; no sockets, all time from the clock.
class PeerExchange
{
public:
  PeerExchange(const HeartbeatPlanInit& aInit,
               FleetState& aState,
               PeerTable& aPeers,
               const Clock& aClock,
               PeerExchangeHost& aHost);

  auto OnHeartbeat(std::uint32_t aIp,
                   const RelayHeartbeat& aHeartbeat,
                   RelayPort& aPort) -> void;
  auto OnDomainReport(std::uint32_t aIp,
                      const DomainReport& aReport,
                      RelayPort& aPort) -> void;
  // Targets or their standings changed.
  auto OnStateChanged() -> void;
  // New state came from a peer.
  auto OnStatePulled(std::uint32_t aIp, RelayPort& aPort) -> void;

  // Sends the heartbeats and the report that are due. To be called every few
  // tens of milliseconds.
  auto Tick(RelayPort& aPort) -> void;
  // Announces this process and its state: to all in a full mesh, else to the
  // near peers and to some agents of each other domain.
  auto Announce(RelayPort& aPort) -> void;
  // Announces that this process stops.
  auto AnnounceStop(RelayPort& aPort) -> void;
  auto SetSeeds(const std::vector<std::uint32_t>& aSeeds) -> void;
  auto Plan() const -> const HeartbeatPlan& { return plan_; }

private:
  auto SendHeartbeats(RelayPort& aPort) -> void;
  // Asks far agents for heartbeats, which they send only then.
  auto ProbeFar(RelayPort& aPort) -> void;
  // Tells the other domains of this one, if this process is drawn.
  auto ReportDomain(RelayPort& aPort) -> void;
  // Announces this process to peers that it has not heard.
  auto Reannounce(RelayPort& aPort) -> void;
  auto MakeDomainReport() const -> DomainReport;
  // Tells the near peers of state that came from another domain.
  auto PassOnState(RelayPort& aPort) -> void;
  auto OnNewerState(std::uint32_t aIp, bool aAnnounced) -> void;
  // Agents are searched as long as they are heard, registered or not.
  auto ObserveAgent(std::uint32_t aIp, const RelayHeartbeat& aHeartbeat)
    -> void;
  // Fetches the route history of a peer that may know more former services.
  auto PullHistory(std::uint32_t aIp, const StateDigest& aDigest) -> void;
  // True in a full mesh, and for peers that exchange periodic heartbeats with
  // this process.
  auto IsNear(std::uint32_t aIp) const -> bool;
  auto NearPeers() const -> std::unordered_set<std::uint32_t>;
  // Registrations also name addresses at which nobody was ever heard.
  template<class Addresses>
  auto CountHeard(const Addresses& aAddresses) const -> std::size_t;
  // Balancers at the addresses of near agents, which registrations of other
  // programs name.
  auto RegisteredBalancers() const -> std::unordered_set<std::uint32_t>;
  // Every peer that this process can name.
  auto KnownPeers() const -> std::unordered_set<std::uint32_t>;

  HeartbeatPlanInit init_;
  FleetState& state_;
  PeerTable& peers_;
  const Clock& clock_;
  PeerExchangeHost& host_;
  HeartbeatPlan plan_;
  std::vector<std::uint32_t> seeds_;
  TimePoint nextHeartbeat_;
  TimePoint nextReport_;
  TimePoint passedOnAt_;
  TimePoint nextHistoryPull_;
  std::optional<TimePoint> reannounceUntil_; // nothing: not announced yet
  TimePoint nextReannounce_;
  // Since when a far peer is known to have newer state; nothing: none has.
  std::optional<TimePoint> behindSince_;
};

} // namespace damaskwalk
