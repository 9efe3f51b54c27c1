#include "relay/fleet_state.h"

#include "relay/limits.h"

#include <algorithm>

namespace damaskwalk {

auto RelayRoute::Allows(ServiceId aService) const -> bool
{
  return std::ranges::any_of(services, [aService](const auto& aEntry) {
    return aEntry.service == aService;
  });
}

auto RelayRoute::ServiceOf(const FlowKey& aFlow) const -> ServiceId
{
  std::uint64_t total = 0;
  for (const auto& entry : services) {
    total += entry.weight;
  }
  if (total == 0) {
    return services.empty() ? ServiceId{} : services.front().service;
  }
  auto point = Mix(HashOf(aFlow), 11) % total;
  for (const auto& entry : services) {
    if (point < entry.weight) {
      return entry.service;
    }
    point -= entry.weight;
  }
  return services.back().service;
}

auto RelayTarget::HasSameRegistration(const RelayTarget& aOther) const -> bool
{
  return id == aOther.id && service == aOther.service &&
         agent == aOther.agent && backendPort == aOther.backendPort &&
         failureDomain == aOther.failureDomain && slots == aOther.slots &&
         state == aOther.state && startedAtMillis == aOther.startedAtMillis;
}

auto TargetSet::Hash() const -> std::uint64_t
{
  std::uint64_t sum = 1;
  for (const auto& target : targets) {
    auto hash = Mix(HashText(target.id), target.service.value);
    hash = Mix(hash, HashOf(target.agent));
    hash = Mix(hash, HashText(target.failureDomain));
    hash = Mix(hash,
               (std::uint64_t{ target.slots } << 8) |
                 static_cast<std::uint64_t>(target.state));
    sum += Mix(hash, static_cast<std::uint64_t>(target.startedAtMillis));
  }
  return sum;
}

auto ToText(TargetStanding aStanding) -> const char*
{
  switch (aStanding) {
    case TargetStanding::Open:
      return "open";
    case TargetStanding::Vanished:
      return "vanished";
    case TargetStanding::Leaving:
      return "leaving";
    default:
      return "gone";
  }
}

FleetState::FleetState(const Clock& aClock)
  : clock_(aClock)
  , evacuations_(aClock)
  , history_(aClock)
{
}

auto FleetState::UpdateRoutes(RouteTable aTable) -> bool
{
  if (hasRoutes_ && aTable.version <= routes_.version) {
    return false;
  }
  if (hasRoutes_) {
    history_.OnRoutes(routes_, aTable);
  } else {
    history_.OnFirstRoutes(aTable.version);
  }
  routes_ = std::move(aTable);
  hasRoutes_ = true;
  byAddress_.clear();
  for (std::size_t i = 0; i < routes_.routes.size(); ++i) {
    byAddress_[routes_.routes[i].address] = i;
  }
  return true;
}

auto FleetState::ApplySuccession(RouteSuccession aSuccession) -> bool
{
  auto& versions = aSuccession.versions;
  if (versions.empty()) {
    return false;
  }
  const auto newest = versions.back().version;
  const bool isNewer = !hasRoutes_ || newest > routes_.version;
  if (isNewer) {
    UpdateRoutes(std::move(versions.back()));
    versions.pop_back();
  }
  for (const auto& table : versions) {
    if (table.version != routes_.version) {
      history_.OnSuperseded(table, routes_);
    }
  }
  if (aSuccession.since) {
    history_.OnSuccession(*aSuccession.since, newest);
  }
  return isNewer;
}

auto FleetState::UpdateEvacuations(EvacuationSet aSet) -> EvacuationChange
{
  ObserveEra(aSet.revision.era);
  auto change = evacuations_.Update(std::move(aSet), storeRestored_);
  OnEvacuationChange(change);
  return change;
}

auto FleetState::OnEvacuationChange(const EvacuationChange& aChange) -> void
{
  if (aChange.IsEmpty()) {
    return;
  }
  const auto now = clock_.Now();
  for (auto& known : known_) {
    const bool wasEvacuated = known.evacuated;
    MarkEvacuated(known);
    const auto* limits = LimitsOf(known.target.service);
    if (wasEvacuated && !known.evacuated && limits) {
      known.coldUntil = std::max(known.coldUntil, now + limits->coldStart);
    }
  }
}

auto FleetState::MarkEvacuated(KnownTarget& aKnown) const -> void
{
  aKnown.evacuated =
    evacuations_.Contains(DomainIdOf(aKnown.target.failureDomain));
}

auto FleetState::UpdateTargets(const TargetSet& aSet, Millis aReadAge) -> bool
{
  if (std::ranges::all_of(aSet.targets, &RelayTarget::backendPort)) {
    return ReplaceTargets(aSet, aReadAge);
  }
  auto set = aSet;
  KeepKnownPorts(set);
  return ReplaceTargets(set, aReadAge);
}

auto FleetState::ReplaceTargets(const TargetSet& aSet, Millis aReadAge) -> bool
{
  const auto now = clock_.Now();
  const auto readAt = now - aReadAge;
  ObserveEra(aSet.revision.era);
  if (IsStale(aSet.revision)) {
    return false;
  }
  confirmedAt_ = hasTargets_ ? std::max(confirmedAt_, readAt) : readAt;
  const bool first = !hasTargets_;
  hasTargets_ = true;
  std::unordered_map<std::string, const RelayTarget*> fresh;
  for (const auto& target : aSet.targets) {
    fresh[target.id] = &target;
  }
  bool changed = first;
  for (auto& known : known_) {
    const auto found = fresh.find(known.target.id);
    if (found == fresh.end()) {
      if (known.standing == TargetStanding::Open) {
        known.standing = TargetStanding::Vanished;
        known.since = now;
        changed = true;
      } else if (known.standing == TargetStanding::Leaving) {
        known.standing = TargetStanding::Gone;
        known.since = now;
        changed = true;
      }
      continue;
    }
    const auto& target = *found->second;
    const bool sameStart =
      known.target.startedAtMillis == target.startedAtMillis;
    // A server that drains does not become ready again before its next start. A
    // restored store may have its registration of before.
    const bool keepsDraining =
      known.draining && sameStart && target.startedAtMillis != 0;
    const bool draining = target.state == TargetState::Draining;
    const auto standing = draining || keepsDraining ? TargetStanding::Leaving
                                                    : TargetStanding::Open;
    if (!known.target.HasSameRegistration(target) ||
        known.standing != standing) {
      // The server is cold for longer after an evacuation of its domain.
      const auto coldUntil = readAt + target.coldRemaining;
      known = { target,
                standing,
                now,
                sameStart ? std::max(known.coldUntil, coldUntil) : coldUntil,
                draining || keepsDraining };
      changed = true;
    }
    fresh.erase(found);
  }
  for (const auto& [id, target] : fresh) {
    const bool draining = target->state == TargetState::Draining;
    const auto standing =
      draining ? TargetStanding::Leaving : TargetStanding::Open;
    known_.push_back(
      { *target, standing, now, readAt + target->coldRemaining, draining });
    changed = true;
  }
  targets_.revision = aSet.revision;
  if (changed) {
    RemoveUnregistered(aSet);
    targets_.targets = aSet.targets;
    targetsHash_ = aSet.Hash();
    Rebuild();
  }
  return changed;
}

auto FleetState::KeepKnownPorts(TargetSet& aSet) const -> void
{
  std::unordered_map<std::string_view, const RelayTarget*> byId;
  for (const auto& target : targets_.targets) {
    byId[target.id] = &target;
  }
  for (auto& target : aSet.targets) {
    const auto found = byId.find(target.id);
    if (target.backendPort != 0 || found == byId.end()) {
      continue;
    }
    target.backendPort = found->second->backendPort;
    if (!target.HasSameRegistration(*found->second)) {
      target.backendPort = 0;
    }
  }
}

auto FleetState::ObserveAgent(const Endpoint& aAgent, ServiceId aService)
  -> bool
{
  if (!hasTargets_) {
    return false;
  }
  const auto now = clock_.Now();
  for (const auto index : TargetsAt(aAgent)) {
    auto& known = known_[index];
    if (known.target.service == aService) {
      known.heardAt = now;
      heardUnregistered_.erase(aAgent);
      return false;
    }
  }
  const auto since = heardUnregistered_.try_emplace(aAgent, now).first->second;
  if (now - since < kUnregisteredAgentDelay) {
    return false;
  }
  heardUnregistered_.erase(aAgent);
  KnownTarget known;
  known.target.service = aService;
  known.target.agent = aAgent;
  known.standing = TargetStanding::Gone;
  known.since = now;
  known.heardAt = now;
  known_.push_back(std::move(known));
  Rebuild();
  return true;
}

auto FleetState::RemoveUnregistered(const TargetSet& aSet) -> void
{
  std::erase_if(known_, [&aSet](const auto& aKnown) {
    return aKnown.IsUnregisteredAgent() &&
           std::ranges::any_of(aSet.targets, [&aKnown](const auto& aTarget) {
             return aTarget.agent == aKnown.target.agent &&
                    aTarget.service == aKnown.target.service;
           });
  });
}

auto FleetState::Confirm(const StateDigest& aDigest) -> void
{
  ObserveEra(aDigest.targets.era);
  storeRestored_ |= aDigest.storeRestored;
  history_.OnPeerVersion(aDigest.routes);
  // After a restore, a process of an earlier release may confirm lost state.
  const bool isTrusted = aDigest.targets.era != 0 || !storeRestored_;
  if (isTrusted && hasTargets_ && aDigest.targetsHash == targetsHash_) {
    if (aDigest.targets.IsAfter(targets_.revision, storeRestored_)) {
      targets_.revision = aDigest.targets;
    }
    confirmedAt_ = std::max(confirmedAt_, clock_.Now() - aDigest.age);
  }
  evacuations_.Confirm(
    aDigest.evacuations, aDigest.evacuationsHash, storeRestored_);
}

auto FleetState::IsStale(const StoreRevision& aRevision) const -> bool
{
  return hasTargets_ && targets_.revision.IsAfter(aRevision, storeRestored_);
}

auto FleetState::ObserveEra(std::uint32_t aEra) -> void
{
  if (aEra > storeEra_) {
    storeRestored_ |= storeEra_ != 0;
    storeEra_ = aEra;
  }
}

auto FleetState::Tick() -> bool
{
  const auto now = clock_.Now();
  bool changed = false;
  for (auto& known : known_) {
    if (known.standing == TargetStanding::Vanished &&
        now - known.since >= kLapsedTargetGracePeriod) {
      known.standing = TargetStanding::Gone;
      known.since = now;
      changed = true;
    }
  }
  const auto removed = std::erase_if(known_, [now](const auto& aKnown) {
    return aKnown.standing == TargetStanding::Gone &&
           now - std::max(aKnown.since, aKnown.heardAt) >= kGoneTargetRetention;
  });
  if (changed || removed > 0) {
    Rebuild();
  }
  std::erase_if(heardUnregistered_, [now](const auto& aEntry) {
    return now - aEntry.second >= kGoneTargetRetention;
  });
  const auto evacuations = evacuations_.Tick();
  OnEvacuationChange(evacuations);
  changed |= !evacuations.IsEmpty();
  // Who is searched and watched depends on the route history.
  changed |= history_.Tick();
  return changed || removed > 0;
}

auto FleetState::Digest() const -> StateDigest
{
  return { routes_.version,
           targets_.revision,
           targetsHash_,
           Age().value_or(Millis{ std::chrono::hours{ 24 } }),
           evacuations_.Current().revision,
           evacuations_.Digest(),
           history_.Hash(),
           history_.IsComplete(),
           storeRestored_ };
}

auto FleetState::Age() const -> std::optional<Millis>
{
  if (!hasTargets_) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Millis>(clock_.Now() - confirmedAt_);
}

auto FleetState::IdleTimeout() const -> Millis
{
  const auto timeout = routes_.idleTimeout;
  return timeout.count() > 0 ? timeout : kDefaultIdleTimeout;
}

auto FleetState::FindRoute(const Endpoint& aAddress) const -> const RelayRoute*
{
  const auto found = byAddress_.find(aAddress);
  return found == byAddress_.end() ? nullptr : &routes_.routes[found->second];
}

auto FleetState::FindAgent(const Endpoint& aAgent) const -> const KnownTarget*
{
  const auto found = entriesAt_.find(aAgent);
  return found == entriesAt_.end() ? nullptr : &known_[found->second.front()];
}

auto FleetState::FindOwn(const OwnTarget& aOwn) const -> OwnRegistration
{
  const auto found = entriesAt_.find(aOwn.agent);
  if (found == entriesAt_.end()) {
    return {};
  }
  // Peers of earlier releases do not send the port.
  const auto rankOf = [&aOwn](const RelayTarget& aTarget) {
    if (aOwn.backendPort == 0 || aTarget.backendPort == aOwn.backendPort) {
      return 2;
    }
    return aTarget.backendPort == 0 ? 1 : 0;
  };
  OwnRegistration own;
  int rank = -1;
  for (const auto index : found->second) {
    const auto& known = known_[index];
    if (known.target.service != aOwn.service) {
      continue;
    }
    const auto rankHere = rankOf(known.target);
    if (rankHere > rank) {
      rank = rankHere;
      own = { &known, known.standing };
    } else if (rankHere == rank && known.standing == TargetStanding::Leaving) {
      own.standing = std::max(own.standing, known.standing);
    }
  }
  return own;
}

auto FleetState::TargetsAt(const Endpoint& aAgent) const
  -> const std::vector<std::size_t>&
{
  static const std::vector<std::size_t> kNone;
  const auto found = byAgent_.find(aAgent);
  return found == byAgent_.end() ? kNone : found->second;
}

auto FleetState::TargetsOfService(ServiceId aService) const
  -> const std::vector<std::size_t>&
{
  static const std::vector<std::size_t> kNone;
  const auto found = byService_.find(aService);
  return found == byService_.end() ? kNone : found->second;
}

auto FleetState::LimitsOf(ServiceId aService) const -> const ServiceLimits*
{
  const auto found =
    std::ranges::find(routes_.limits, aService, &ServiceLimits::service);
  return found == routes_.limits.end() ? nullptr : &*found;
}

auto FleetState::Rebuild() -> void
{
  // If a port was registered more than once, the latest start wins: the earlier
  // process cannot hold it any more.
  std::ranges::stable_sort(known_, [](const auto& aLeft, const auto& aRight) {
    if (aLeft.target.startedAtMillis != aRight.target.startedAtMillis) {
      return aLeft.target.startedAtMillis > aRight.target.startedAtMillis;
    }
    return aLeft.standing < aRight.standing;
  });
  for (auto& known : known_) {
    MarkEvacuated(known);
  }
  entriesAt_.clear();
  byAgent_.clear();
  byService_.clear();
  for (std::size_t i = 0; i < known_.size(); ++i) {
    AddToIndexes(i);
  }
  for (const auto& [agent, targets] : byAgent_) {
    for (const auto index : targets) {
      byService_[known_[index].target.service].push_back(index);
    }
  }
  for (auto& [service, targets] : byService_) {
    std::ranges::sort(targets);
  }
}

auto FleetState::AddToIndexes(std::size_t aIndex) -> void
{
  const auto& known = known_[aIndex];
  const auto& target = known.target;
  auto& entries = entriesAt_[target.agent];
  const bool isSuperseded = std::ranges::any_of(entries, [&](auto aOther) {
    const auto& other = known_[aOther].target;
    return other.service == target.service &&
           other.backendPort == target.backendPort;
  });
  entries.push_back(aIndex);
  if (isSuperseded) {
    return;
  }
  auto& listed = byAgent_[target.agent];
  const auto same = std::ranges::find_if(listed, [&](auto aOther) {
    return known_[aOther].target.service == target.service;
  });
  if (same == listed.end()) {
    listed.push_back(aIndex);
  } else if (known.standing < known_[*same].standing) {
    *same = aIndex;
  }
}

} // namespace damaskwalk
