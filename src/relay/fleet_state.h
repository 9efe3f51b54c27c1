#pragma once

// What relays believe about routes and backend servers, and how old that
// belief is.

#include "core/clock.h"
#include "core/types.h"

#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskwalk {

// May a request of a route run more than once?
enum class RouteKind : std::uint8_t
{
  Idempotent,
  AtMostOnce,
  Download, // idempotent, with a large answer
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
  // The service of a new flow, by its hash and the weights.
  auto ServiceOf(const FlowKey& aFlow) const -> ServiceId;
};

// One accepted configuration.
struct RouteTable
{
  DocumentVersion version = 0;
  Millis idleTimeout{ 0 };
  std::vector<RelayRoute> routes;
};

enum class TargetState : std::uint8_t
{
  Ready,
  Draining,
};

// A backend server as it registered itself, with the agent beside it.
struct RelayTarget
{
  std::string id;
  ServiceId service;
  Endpoint agent; // where the agent takes packets
  std::string failureDomain;
  std::uint32_t slots = 1;
  TargetState state = TargetState::Ready;
  // How much longer it is slow after its start, when it was read.
  Millis coldRemaining{ 0 };
  std::int64_t startedAtMillis = 0; // start of the backend server, Unix time

  // All fields but how long it stays cold.
  auto HasSameRegistration(const RelayTarget& aOther) const -> bool;
};

// Every registered backend server at one revision of the store.
struct TargetSet
{
  std::uint64_t revision = 0;
  std::vector<RelayTarget> targets;

  // Hash of all that HasSameRegistration compares, whatever the order.
  auto Hash() const -> std::uint64_t;
};

// Version and age of what a process believes.
struct StateDigest
{
  DocumentVersion routes = 0;
  std::uint64_t targets = 0; // revision at which the targets were read
  std::uint64_t targetsHash = 0;
  Millis age{ 0 }; // since some process read the targets at the store

  // True when the other process lacks something.
  auto IsNewerThan(const StateDigest& aOther) const -> bool
  {
    return routes > aOther.routes ||
           (targets > aOther.targets && targetsHash != aOther.targetsHash);
  }
};

// Why a target may or may not get new flows.
enum class TargetStanding : std::uint8_t
{
  Open,     // registered and ready
  Vanished, // its registration lapsed a moment ago; it may be back
  Leaving,  // draining
  Gone,     // no longer registered; may still hold flows
};

auto ToText(TargetStanding aStanding) -> const char*;

struct KnownTarget
{
  RelayTarget target;
  TargetStanding standing = TargetStanding::Open;
  TimePoint since;     // of the standing
  TimePoint coldUntil; // slow until then
};

// The newest routes and targets. Versions only rise. Single threaded.
class FleetState
{
public:
  explicit FleetState(const Clock& aClock);

  // @return true when the table replaced an older one.
  auto UpdateRoutes(RouteTable aTable) -> bool;
  // @param aReadAge how long ago the store gave this set.
  // @return true when a target or its standing changed.
  auto UpdateTargets(const TargetSet& aSet, Millis aReadAge) -> bool;
  // A peer has the same targets, read as long ago as its digest says.
  auto Confirm(const StateDigest& aDigest) -> void;
  // Moves vanished targets on to gone ones, and forgets those long gone.
  auto Tick() -> bool;

  auto HasState() const -> bool { return hasRoutes_ && hasTargets_; }
  auto Digest() const -> StateDigest;
  // Time since the store confirmed the targets; nothing before the first.
  auto Age() const -> std::optional<Millis>;
  auto Routes() const -> const RouteTable& { return routes_; }
  auto Targets() const -> const TargetSet& { return targets_; }
  // For how long flows may be idle; a default until a configuration states it.
  auto IdleTimeout() const -> Millis;
  auto FindRoute(const Endpoint& aAddress) const -> const RelayRoute*;
  auto FindAgent(const Endpoint& aAgent) const -> const KnownTarget*;
  auto KnownTargets() const -> const std::vector<KnownTarget>&
  {
    return known_;
  }
  // Indices into KnownTargets of the targets of a service.
  auto TargetsOfService(ServiceId aService) const
    -> const std::vector<std::size_t>&;

private:
  auto Rebuild() -> void;

  const Clock& clock_;
  bool hasRoutes_ = false;
  bool hasTargets_ = false;
  RouteTable routes_;
  TargetSet targets_;
  std::uint64_t targetsHash_ = 0;
  TimePoint confirmedAt_;
  std::vector<KnownTarget> known_;
  std::unordered_map<Endpoint, std::size_t, KeyHash> byAddress_;
  std::unordered_map<Endpoint, std::size_t, KeyHash> byAgent_;
  std::unordered_map<ServiceId, std::vector<std::size_t>, KeyHash> byService_;
};

} // namespace damaskwalk
