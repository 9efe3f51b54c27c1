#pragma once

// A relay's copy of the routes, registered backend servers and evacuations, and
// its age.

#include "core/clock.h"
#include "core/types.h"
#include "relay/evacuations.h"
#include "relay/route_history.h"
#include "relay/store_revision.h"

#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace damaskwalk {

// Whether a request of a route may be executed more than once.
enum class RouteKind : std::uint8_t
{
  Idempotent,
  AtMostOnce,
  Download, // idempotent, with a large answer
  Upload,   // at most once, with a large request
};

struct WeightedService
{
  ServiceId service;
  std::uint32_t weight = 1;
};

struct RelayRoute
{
  std::string name;
  Endpoint address;
  RouteKind kind = RouteKind::Idempotent;
  Millis timeout{ 0 };
  Millis latencyObjective{ 0 };
  std::uint32_t priority = 0; // 0 is served first
  std::vector<WeightedService> services;

  auto Allows(ServiceId aService) const -> bool;
  // The service of a new flow, chosen by the flow's hash and the weights.
  auto ServiceOf(const FlowKey& aFlow) const -> ServiceId;
};

// What a service's backend servers can take just after their start.
struct ServiceLimits
{
  ServiceId service;
  Millis coldStart{ 0 };         // time for which a server is cold
  double coldFlowsPerSecond = 0; // new flows of a cold server; 0: no limit
};

// One accepted configuration.
struct RouteTable
{
  DocumentVersion version = 0;
  Millis idleTimeout{ 0 };
  std::vector<RelayRoute> routes;
  std::vector<ServiceLimits> limits; // of services that state any
};

// Versions that followed one another in the store.
struct RouteSuccession
{
  // The newest one at the read before; nothing if versions may be missing.
  std::optional<DocumentVersion> since;
  std::vector<RouteTable> versions; // oldest first; none: no newer ones
};

enum class TargetState : std::uint8_t
{
  Ready,
  Draining,
};

// A backend server as it registered itself, with its agent.
struct RelayTarget
{
  std::string id;
  ServiceId service;
  Endpoint agent; // where the agent takes packets
  // Port of the server itself, at the agent's IP; 0: a peer did not say.
  std::uint16_t backendPort = 0;
  std::string failureDomain;
  std::uint32_t slots = 1;
  TargetState state = TargetState::Ready;
  // Time left, at the read, until it is no longer slow after its start.
  Millis coldRemaining{ 0 };
  std::int64_t startedAtMillis = 0; // start of the backend server, Unix time

  // Compares all fields except coldRemaining.
  auto HasSameRegistration(const RelayTarget& aOther) const -> bool;
};

// Every registered backend server at one revision of the store.
struct TargetSet
{
  StoreRevision revision;
  std::vector<RelayTarget> targets;

  // Hash of what HasSameRegistration compares, without the ports of the backend
  // servers, which earlier releases do not know; independent of the order.
  auto Hash() const -> std::uint64_t;
};

// Versions and age of a process's copy of the state.
struct StateDigest
{
  DocumentVersion routes = 0;
  StoreRevision targets; // at which the targets were read
  std::uint64_t targetsHash = 0;
  Millis age{ 0 }; // since a process read the targets from the store
  // Evacuations and route history. Earlier releases do not send these; then all
  // are 0.
  StoreRevision evacuations; // at which they were read
  // 0: no domain is evacuated, and no peer says otherwise.
  std::uint64_t evacuationsHash = 0;
  std::uint64_t historyHash = 0; // 0: no former services
  bool historyComplete = false;
  // The store was restored from a copy since the fleet started.
  bool storeRestored = false;

  // True when the other process lacks newer routes, targets or evacuations.
  auto IsNewerThan(const StateDigest& aOther) const -> bool
  {
    return routes > aOther.routes || HasNewerTargetsThan(aOther) ||
           HasNewerEvacuationsThan(aOther);
  }
  auto HasNewerTargetsThan(const StateDigest& aOther) const -> bool
  {
    return targetsHash != aOther.targetsHash &&
           targets.IsAfter(aOther.targets,
                           storeRestored || aOther.storeRestored);
  }
  auto HasNewerEvacuationsThan(const StateDigest& aOther) const -> bool
  {
    return evacuationsHash != aOther.evacuationsHash &&
           evacuations.IsAfter(aOther.evacuations,
                               storeRestored || aOther.storeRestored);
  }
  // True when the other process may lack former services of routes.
  auto HasOtherHistoryThan(const StateDigest& aOther) const -> bool
  {
    return (historyHash != 0 && historyHash != aOther.historyHash) ||
           (historyComplete && !aOther.historyComplete);
  }
};

// State of a target's registration. New flows go to open targets; placement by
// expected wait also uses a vanished one when no preferred target is left.
// Leaving and gone targets get no new flows.
enum class TargetStanding : std::uint8_t
{
  Open,     // registered and ready
  Vanished, // its registration lapsed recently and may be renewed
  Leaving,  // draining
  Gone,     // no longer registered; may still hold flows
};

auto ToText(TargetStanding aStanding) -> const char*;

struct KnownTarget
{
  RelayTarget target;
  TargetStanding standing = TargetStanding::Open;
  TimePoint since;        // last change of the standing or the registration
  TimePoint coldUntil;    // end of the slow phase after its start
  bool draining = false;  // was registered as draining since its start
  bool evacuated = false; // its failure domain is evacuated
  // Of a gone target: when its agent was last heard, if ever.
  TimePoint heardAt{};

  // A running agent without a registration, which may still hold flows.
  auto IsUnregisteredAgent() const -> bool { return target.id.empty(); }
};

// The backend server beside an agent, as the agent's settings name it. Entries
// of other programs may name its VM, its service or both.
struct OwnTarget
{
  Endpoint agent;
  ServiceId service;
  std::uint16_t backendPort = 0; // 0: not known
};

// What the registrations say of an agent's own backend server.
struct OwnRegistration
{
  const KnownTarget* known = nullptr; // null: none is its own
  TargetStanding standing = TargetStanding::Gone;
};

// The newest routes, targets and evacuations; older versions are ignored.
// Single threaded.
class FleetState
{
public:
  explicit FleetState(const Clock& aClock);

  // @return true if the table replaced an older one.
  auto UpdateRoutes(RouteTable aTable) -> bool;
  // Puts the newest version into force; the others may have been elsewhere.
  // @return true if it replaced an older one.
  auto ApplySuccession(RouteSuccession aSuccession) -> bool;
  // Backend servers of a domain whose evacuation ends count as cold.
  auto UpdateEvacuations(EvacuationSet aSet) -> EvacuationChange;
  auto History() -> RouteHistory& { return history_; }
  auto History() const -> const RouteHistory& { return history_; }
  // @param aReadAge time since this set was read from the store.
  // @return true if a target or its standing changed.
  auto UpdateTargets(const TargetSet& aSet, Millis aReadAge) -> bool;
  // An agent was heard. While it is, its backend server may hold flows,
  // whatever became of the registration: a gone target of its service is kept,
  // or added if there is none for kUnregisteredAgentDelay.
  // @return true if one was added.
  auto ObserveAgent(const Endpoint& aAgent, ServiceId aService) -> bool;
  // Takes over the revisions and the read time of a peer with the same targets
  // or evacuations.
  auto Confirm(const StateDigest& aDigest) -> void;
  // Marks vanished targets as gone after the grace period, and removes targets
  // that have been gone, and whose agents were not heard, for the retention
  // time. Ends evacuations that a
  // restored store has lost.
  // @return true if a target changed.
  auto Tick() -> bool;

  auto HasState() const -> bool { return hasRoutes_ && hasTargets_; }
  auto Digest() const -> StateDigest;
  // Highest era of the store that this process read or heard of; 0: none.
  auto StoreEra() const -> std::uint32_t { return storeEra_; }
  // True if what was read at the revision is older than the targets in force.
  auto IsStale(const StoreRevision& aRevision) const -> bool;
  // Time since the targets were last confirmed by the store; nothing before the
  // first read.
  auto Age() const -> std::optional<Millis>;
  auto Routes() const -> const RouteTable& { return routes_; }
  auto Targets() const -> const TargetSet& { return targets_; }
  auto CurrentEvacuations() const -> const EvacuationSet&
  {
    return evacuations_.Current();
  }
  // Domains whose servers get no new flows, sorted.
  auto EvacuatedDomains() const -> const std::vector<std::string>&
  {
    return evacuations_.InForce();
  }
  // The configured idle timeout of flows, or the default if there is none.
  auto IdleTimeout() const -> Millis;
  auto FindRoute(const Endpoint& aAddress) const -> const RelayRoute*;
  // The registration of the latest start at the agent's address, whatever its
  // service.
  auto FindAgent(const Endpoint& aAgent) const -> const KnownTarget*;
  // Among the registrations of the agent's own service at its address, those of
  // its server's port count; the one of the latest start, which holds the port.
  // Leaving if any of them is.
  auto FindOwn(const OwnTarget& aOwn) const -> OwnRegistration;
  // Indices into KnownTargets of the targets at the agent's address, one for
  // each service.
  auto TargetsAt(const Endpoint& aAgent) const
    -> const std::vector<std::size_t>&;
  auto KnownTargets() const -> const std::vector<KnownTarget>&
  {
    return known_;
  }
  // Indices into KnownTargets of the targets of a service, one for each agent.
  // An agent may be listed for several services: it alone knows its own.
  auto TargetsOfService(ServiceId aService) const
    -> const std::vector<std::size_t>&;
  // Nothing: the configuration states no limits of the service.
  auto LimitsOf(ServiceId aService) const -> const ServiceLimits*;

  // The services that the route names, or is known to have named within the
  // lifetime of a flow.
  auto ServicesHolding(const RelayRoute& aRoute) const
    -> std::vector<ServiceId>;
  // The services whose backend servers may hold flows of the route. Without a
  // complete history, those of all registered ones.
  auto ServicesToSearch(const RelayRoute& aRoute) const
    -> std::vector<ServiceId>;
  auto MayHold(const RelayRoute& aRoute, ServiceId aService) const -> bool;
  // The services that share a route with the given one, itself included.
  auto ServicesSharingRoutes(ServiceId aService) const
    -> std::unordered_set<ServiceId, KeyHash>;
  // True if a route names the service, or is known to have named it within the
  // lifetime of a flow. While no service is named, every one is in use.
  // Registrations of other services need have no agent.
  auto IsInUse(ServiceId aService) const -> bool;

private:
  // Of the routes and the history that it was made of.
  struct UsedServices
  {
    DocumentVersion routes = 0;
    std::uint64_t history = 0;
    std::unordered_set<ServiceId, KeyHash> services;
  };

  auto ReplaceTargets(const TargetSet& aSet, Millis aReadAge) -> bool;
  // Sets ports that a peer of an earlier release did not send.
  auto KeepKnownPorts(TargetSet& aSet) const -> void;
  // Removes agents without a registration that have one now.
  auto RemoveUnregistered(const TargetSet& aSet) -> void;
  auto Rebuild() -> void;
  // Adds a registration to the indexes unless one of the same port counts, or
  // one of another port that is more open.
  auto AddToIndexes(std::size_t aIndex) -> void;
  auto MarkEvacuated(KnownTarget& aKnown) const -> void;
  auto OnEvacuationChange(const EvacuationChange& aChange) -> void;
  auto ObserveEra(std::uint32_t aEra) -> void;

  const Clock& clock_;
  bool hasRoutes_ = false;
  bool hasTargets_ = false;
  RouteTable routes_;
  TargetSet targets_;
  Evacuations evacuations_;
  RouteHistory history_;
  mutable UsedServices used_;
  std::uint64_t targetsHash_ = 0;
  std::uint32_t storeEra_ = 0;
  bool storeRestored_ = false;
  TimePoint confirmedAt_;
  std::vector<KnownTarget> known_;
  // Agents that were heard without a registration, with the time of the first
  // heartbeat.
  std::unordered_map<Endpoint, TimePoint, KeyHash> heardUnregistered_;
  std::unordered_map<Endpoint, std::size_t, KeyHash> byAddress_;
  // All registrations at an agent's address, the latest start first.
  std::unordered_map<Endpoint, std::vector<std::size_t>, KeyHash> entriesAt_;
  std::unordered_map<Endpoint, std::vector<std::size_t>, KeyHash> byAgent_;
  std::unordered_map<ServiceId, std::vector<std::size_t>, KeyHash> byService_;
};

} // namespace damaskwalk
