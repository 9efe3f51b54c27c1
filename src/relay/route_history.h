#pragma once

// Services that routes named before. A change of routes leaves open flows where
// they are, so that a flow may live in a service that its route no longer
// names.

#include "core/clock.h"
#include "core/types.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace damaskwalk {

struct RouteTable;

// A service that the route of an address named before.
struct FormerService
{
  Endpoint address;
  ServiceId service;
  Millis age{ 0 }; // since the route ceased to name it
};

// A process's history as it is sent to peers.
struct RouteHistoryReport
{
  bool complete = false;
  std::vector<FormerService> former;
};

// Remembers a service for as long as a flow of its route may stay open. Single
// threaded.
class RouteHistory
{
public:
  explicit RouteHistory(const Clock& aClock);

  // Longest lifetime of a flow; older ones may be discarded.
  auto SetMaxFlowLifetime(Millis aLifetime) -> void { lifetime_ = aLifetime; }
  // No flow is older than this process, as its fleet starts for the first time.
  auto SetComplete() -> void { complete_ = true; }
  // The first routes came into force.
  auto OnFirstRoutes() -> void;
  // A peer with a complete history was heard, and is asked for it. Nothing is
  // settled until it has answered, for a second at most.
  auto OnCompletePeer() -> void;
  // A peer that has routes but no complete history was heard.
  auto OnIncompletePeer(std::uint32_t aIp) -> void;
  // Routes came into force in place of others.
  auto OnRoutes(const RouteTable& aFormer, const RouteTable& aNew) -> void;
  // @param aTook time since the report was made.
  // @return true if the report changed the history.
  auto Merge(const RouteHistoryReport& aReport, Millis aTook) -> bool;
  // Forgets services whose flows have ended.
  // @return true if the history changed.
  auto Tick() -> bool;

  // True if every former service that may still hold flows is known.
  auto IsComplete() const -> bool;
  // True if it is complete, or if no peer with a complete one was heard soon
  // after the start: every process was restarted. Peers answer a process that
  // starts within a few milliseconds.
  auto IsSettled() const -> bool;
  auto FormerServices(const Endpoint& aAddress) const -> std::vector<ServiceId>;
  auto Report() const -> RouteHistoryReport;
  // Hash of the former services, independent of their ages; 0: there are none.
  auto Hash() const -> std::uint64_t { return hash_; }

private:
  auto UpdateHash() -> void;

  const Clock& clock_;
  Millis lifetime_;
  TimePoint knownSince_;
  std::optional<TimePoint> settledAt_; // nothing: no routes yet
  bool heardComplete_ = false;
  std::uint64_t hash_ = 0;
  std::set<std::uint32_t> incompletePeers_; // until the history is settled
  bool complete_ = false;
  // By address and service: when the route ceased to name it.
  std::map<std::pair<Endpoint, ServiceId>, TimePoint> former_;
};

} // namespace damaskwalk
