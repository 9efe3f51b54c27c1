#include "core/membership.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <bit>
#include <set>
#include <unordered_set>

namespace damaskwalk {

namespace {

constexpr Millis kProbeTimeout{ 250 };
constexpr std::size_t kIndirectProbes = 2;
// A paused member that dies becomes suspect at the next check and dead
// kDeadTimeout - kSuspectTimeout later, together within two seconds.
constexpr Millis kPausedCheckPeriod{ 700 };
constexpr std::size_t kMaxFactsPerMessage = 8;
constexpr std::uint32_t kMaxFlaps = 3;
constexpr Millis kFlapWindow{ 30000 };
constexpr std::size_t kMaxRelayedProbes = 1024;
// Low bits of an incarnation.
constexpr int kRefutationBits = 16;
// Random draws from the probe order for one sample.
constexpr std::size_t kMaxSampleTries = 64;
// A longer gap between two ticks is a stall of this process. Five periods of
// the node's timer, and shorter than kPortCheckTimeout, so that a stall that
// can make a port check time out is noticed.
constexpr Millis kStallThreshold{ 250 };

} // namespace

auto ToText(MemberState aState) -> const char*
{
  switch (aState) {
    case MemberState::Alive:
      return "alive";
    case MemberState::Leaving:
      return "leaving";
    case MemberState::Suspect:
      return "suspect";
    case MemberState::Paused:
      return "paused";
    default:
      return "dead";
  }
}

auto StartIncarnation(WallTime aNow) -> Incarnation
{
  return static_cast<Incarnation>(WallMillis(aNow)) << kRefutationBits;
}

auto IsRestart(Incarnation aBefore, Incarnation aNow) -> bool
{
  return (aNow >> kRefutationBits) > (aBefore >> kRefutationBits);
}

Membership::Membership(const MembershipInit& aInit, const Clock& aClock)
  : init_(aInit)
  , clock_(aClock)
  , random_(aInit.seed)
  , nextProbeAt_(aClock.Now())
{
}

auto Membership::Find(const Endpoint& aEndpoint) const -> const Member*
{
  const auto found = members_.find(aEndpoint);
  return found == members_.end() ? nullptr : &found->second;
}

auto Membership::OnMessageFrom(const Endpoint& aMember,
                               Role aRole,
                               Incarnation aIncarnation) -> void
{
  if (aMember == init_.self || !aMember.IsValid()) {
    return;
  }
  const std::lock_guard lock(mutex_);
  if (members_.size() >= kMaxMembers && !members_.contains(aMember)) {
    return;
  }
  const auto [found, fresh] = members_.try_emplace(aMember);
  auto& member = found->second;
  const bool restarted =
    member.heard && IsRestart(member.incarnation, aIncarnation);
  if (aIncarnation < member.incarnation) {
    return;
  }
  if (aRole != Role::Unknown) {
    member.role = aRole;
  }
  member.lastHeard = clock_.Now();
  member.heard = true;
  member.reportedDead = false;
  member.probing = false;
  member.refused = false;
  const bool wasDown =
    member.state != MemberState::Alive && member.state != MemberState::Leaving;
  const bool restartedAfterLeaving =
    member.state == MemberState::Leaving && restarted;
  member.incarnation = aIncarnation;
  if (wasDown || restartedAfterLeaving) {
    SetState(aMember, member, MemberState::Alive);
    changes_.back().restarted = restarted;
  } else if (restarted) {
    changes_.push_back(
      { aMember, member.role, member.state, member.state, true });
  } else if (fresh) {
    QueueFact(aMember, member);
  }
}

auto Membership::ApplyListing(const std::vector<ListedVm>& aListing) -> void
{
  const std::lock_guard lock(mutex_);
  for (auto& [endpoint, member] : members_) {
    member.listed = false;
  }
  for (const auto& vm : aListing) {
    if (vm.member == init_.self) {
      // A platform that is restored from a copy lists this VM as before.
      listedLeaving_ = listedLeaving_ || vm.leaving;
      continue;
    }
    if (members_.size() >= kMaxMembers) {
      continue;
    }
    const auto [found, fresh] = members_.try_emplace(vm.member);
    auto& member = found->second;
    member.listed = true;
    member.role = vm.role;
    member.failureDomain = vm.failureDomain;
    if (fresh) {
      member.lastHeard = clock_.Now();
    }
    if (vm.leaving && member.state == MemberState::Alive) {
      SetState(vm.member, member, MemberState::Leaving);
    }
  }
  std::erase_if(members_, [](const auto& aEntry) {
    return !aEntry.second.listed && !aEntry.second.peer &&
           aEntry.second.state == MemberState::Dead;
  });
}

auto Membership::SetPeers(const std::vector<Endpoint>& aPeers) -> void
{
  const std::lock_guard lock(mutex_);
  for (auto& [endpoint, member] : members_) {
    member.peer = false;
  }
  for (const auto& peer : aPeers) {
    if (peer == init_.self) {
      continue;
    }
    const auto [found, fresh] = members_.try_emplace(peer);
    found->second.peer = true;
    Watch(peer);
    found->second.role = Role::Agent;
    if (fresh) {
      found->second.lastHeard = clock_.Now();
    }
  }
}

auto Membership::UpdateSuspectsSelf() -> void
{
  std::size_t heard = 0;
  std::size_t silent = 0;
  const auto now = clock_.Now();
  for (const auto& endpoint : watched_) {
    const auto* found = Find(endpoint);
    if (!found) {
      continue;
    }
    const auto& member = *found;
    // A refused port check proves that the network path works.
    if (!member.peer || !member.heard || member.refused) {
      continue;
    }
    const bool isSilent = now - member.lastHeard > kSuspectTimeout;
    (isSilent ? silent : heard) += 1;
  }
  suspectsSelf_ = silent >= 2 && silent > heard;
}

// Silence during a stall of this process is no evidence: suspects get their
// full time to death again and another port check.
auto Membership::DetectStall(TimePoint aNow) -> void
{
  const bool stalled =
    lastTickAt_ != TimePoint{} && aNow - lastTickAt_ > kStallThreshold;
  lastTickAt_ = aNow;
  if (!stalled) {
    return;
  }
  lastStallEndedAt_ = aNow;
  for (const auto& endpoint : watched_) {
    const auto* member = Find(endpoint);
    if (member && member->state == MemberState::Suspect) {
      pendingPortChecks_.push_back(endpoint);
    }
  }
}

// A port check that timed out during a stall of this process says nothing about
// the member.
auto Membership::HasStalledRecently() const -> bool
{
  const auto now = clock_.Now();
  const bool stalledRecently = lastStallEndedAt_ != TimePoint{} &&
                               now - lastStallEndedAt_ < kPortCheckTimeout;
  return stalledRecently || now - lastTickAt_ > kStallThreshold;
}

auto Membership::TickMember(const Endpoint& aEndpoint,
                            Member& aMember,
                            MembershipActions& aActions) -> void
{
  const auto now = clock_.Now();
  const auto silence = now - aMember.lastHeard;
  const bool running = aMember.state == MemberState::Alive ||
                       aMember.state == MemberState::Leaving;
  const bool unanswered = aMember.probing && aMember.probedIndirectly &&
                          now - aMember.probedAt > kProbeTimeout;
  const bool peerTimedOut = aMember.peer && silence > kSuspectTimeout;
  if (running && (peerTimedOut || unanswered) && silence > kSuspectTimeout) {
    SetState(aEndpoint, aMember, MemberState::Suspect);
    aActions.portChecks.push_back(aEndpoint);
    aMember.probing = false;
    return;
  }
  if (aMember.state == MemberState::Suspect) {
    const bool seenByOthers = now - aMember.indirectAckAt < kDeadTimeout;
    if (!seenByOthers && now - aMember.probedAt > kProbeTimeout) {
      aMember.probedAt = now;
      ProbeIndirectly(aEndpoint, aActions);
    }
    const bool expired =
      !seenByOthers && silence > kDeadTimeout &&
      now - std::max(aMember.suspectSince, lastStallEndedAt_) >
        kDeadTimeout - kSuspectTimeout;
    if (expired && !suspectsSelf_) {
      SetState(aEndpoint, aMember, MemberState::Dead);
    }
    return;
  }
  const bool pausedTooLong = aMember.state == MemberState::Paused &&
                             now - aMember.suspectSince > kPausedTimeout;
  if (pausedTooLong) {
    SetState(aEndpoint, aMember, MemberState::Dead);
    return;
  }
  if (aMember.state == MemberState::Paused &&
      now - aMember.portCheckedAt > kPausedCheckPeriod) {
    aMember.portCheckedAt = now;
    aActions.portChecks.push_back(aEndpoint);
  }
}

auto Membership::ProbeIndirectly(const Endpoint& aEndpoint,
                                 MembershipActions& aActions) -> void
{
  // Drawn from the shuffled probe order, which avoids a scan of the table.
  std::vector<Endpoint> helpers;
  for (std::size_t i = 0; i < probeOrder_.size() && i < kMaxSampleTries; ++i) {
    const auto& other = probeOrder_[random_() % probeOrder_.size()];
    const auto* view = Find(other);
    const bool isEligible = view && view->state == MemberState::Alive &&
                            other != aEndpoint &&
                            std::ranges::find(helpers, other) == helpers.end();
    if (isEligible && helpers.size() < kIndirectProbes) {
      helpers.push_back(other);
    }
  }
  for (const auto& helper : helpers) {
    aActions.probes.push_back({ helper, { ++sequence_, aEndpoint, {} } });
  }
}

auto Membership::ShuffleProbeOrder() -> void
{
  nextProbeIndex_ = 0;
  probeOrder_.clear();
  for (const auto& [endpoint, member] : members_) {
    probeOrder_.push_back(endpoint);
  }
  std::ranges::sort(probeOrder_);
  std::ranges::shuffle(probeOrder_, random_);
}

auto Membership::ProbeNext(MembershipActions& aActions) -> void
{
  if (nextProbeIndex_ >= probeOrder_.size()) {
    ShuffleProbeOrder();
  }
  if (probeOrder_.empty()) {
    return;
  }
  const auto target = probeOrder_[nextProbeIndex_++];
  const auto found = members_.find(target);
  if (found == members_.end()) {
    return;
  }
  auto& member = found->second;
  member.probing = true;
  member.probedIndirectly = false;
  member.probedAt = clock_.Now();
  Watch(target);
  aActions.probes.push_back(
    { target, { ++sequence_, {}, TakeFactsLocked(kMaxFactsPerMessage) } });
}

auto Membership::Tick() -> MembershipActions
{
  const std::lock_guard lock(mutex_);
  const auto now = clock_.Now();
  MembershipActions actions;
  UpdateSuspectsSelf();
  DetectStall(now);
  for (const auto& suspect : std::exchange(pendingPortChecks_, {})) {
    actions.probes.push_back({ suspect, { ++sequence_, {}, {} } });
    actions.portChecks.push_back(suspect);
  }
  std::set<std::string> domains;
  for (const auto& endpoint : std::vector(watched_.begin(), watched_.end())) {
    const auto found = members_.find(endpoint);
    if (found == members_.end()) {
      watched_.erase(endpoint);
      continue;
    }
    auto& member = found->second;
    const auto before = member.state;
    TickMember(endpoint, member, actions);
    const bool fresh =
      member.state == MemberState::Dead && before != MemberState::Dead;
    if (fresh && !member.failureDomain.empty()) {
      domains.insert(member.failureDomain);
    }
    const bool retry = member.probing && !member.probedIndirectly &&
                       now - member.probedAt > kProbeTimeout;
    if (retry) {
      member.probedIndirectly = true;
      member.probedAt = now;
      ProbeIndirectly(endpoint, actions);
    }
    if (!NeedsWatch(member)) {
      watched_.erase(endpoint);
    }
  }
  for (const auto& domain : domains) {
    QueueLostDomainFact(domain);
  }
  FinishDomainChecks();
  if (now >= nextProbeAt_) {
    nextProbeAt_ = now + kHeartbeatPeriod;
    ProbeNext(actions);
  }
  return actions;
}

auto Membership::OnProbe(const Endpoint& aSender, const Probe& aProbe)
  -> MembershipActions
{
  Merge(aProbe.facts);
  const std::lock_guard lock(mutex_);
  MembershipActions actions;
  if (aProbe.target.IsValid() && aProbe.target != init_.self) {
    if (relayedProbes_.size() >= kMaxRelayedProbes) {
      relayedProbes_.clear();
    }
    relayedProbes_[++sequence_] = aSender;
    actions.probes.push_back({ aProbe.target, { sequence_, {}, {} } });
  }
  return actions;
}

auto Membership::OnAck(const ProbeAck& aAck) -> Endpoint
{
  Merge(aAck.facts);
  const std::lock_guard lock(mutex_);
  const auto relayed = relayedProbes_.find(aAck.sequence);
  if (relayed != relayedProbes_.end()) {
    const auto requester = relayed->second;
    relayedProbes_.erase(relayed);
    return requester;
  }
  const auto found = members_.find(aAck.target);
  if (found == members_.end()) {
    return {};
  }
  // An acknowledgement proves that the member runs, but not a direct path: it
  // may have come through another member.
  found->second.probing = false;
  found->second.indirectAckAt = clock_.Now();
  return {};
}

auto Membership::OnPortCheck(const Endpoint& aMember,
                             bool aAccepted,
                             bool aRefused) -> void
{
  const std::lock_guard lock(mutex_);
  const auto found = members_.find(aMember);
  if (found == members_.end()) {
    return;
  }
  auto& member = found->second;
  const bool isUnresolved =
    member.state == MemberState::Suspect || member.state == MemberState::Paused;
  const bool heardRecently = clock_.Now() - member.lastHeard < kSuspectTimeout;
  if (!isUnresolved || (heardRecently && !aAccepted)) {
    return;
  }
  if (aRefused) {
    member.refused = true;
    SetState(aMember, member, MemberState::Dead);
  } else if (aAccepted) {
    SetState(aMember, member, MemberState::Paused);
  } else if (HasStalledRecently()) {
    pendingPortChecks_.push_back(aMember);
  } else if (member.state == MemberState::Paused) {
    // Dead if another process reported it dead too; otherwise suspect.
    const bool deathReported = member.reportedDead;
    SetState(aMember,
             member,
             deathReported ? MemberState::Dead : MemberState::Suspect);
    pendingPortChecks_.push_back(aMember);
  }
}

auto Membership::StateOf(const Endpoint& aMember) const -> MemberState
{
  const std::lock_guard lock(mutex_);
  if (aMember == init_.self) {
    return leaving_ ? MemberState::Leaving : MemberState::Alive;
  }
  const auto* member = Find(aMember);
  return member ? member->state : MemberState::Alive;
}

auto Membership::IsUsable(const Endpoint& aMember) const -> bool
{
  const std::lock_guard lock(mutex_);
  if (aMember == init_.self) {
    return !leaving_;
  }
  const auto* member = Find(aMember);
  if (!member) {
    return false;
  }
  const bool flapping = member->flaps > kMaxFlaps &&
                        clock_.Now() - member->lastFlapAt < kFlapWindow;
  return member->state == MemberState::Alive && !flapping;
}

auto Membership::IsDead(const Endpoint& aMember) const -> bool
{
  return StateOf(aMember) == MemberState::Dead;
}

auto Membership::SuspectsSelf() const -> bool
{
  const std::lock_guard lock(mutex_);
  return suspectsSelf_;
}

auto Membership::Sample(std::size_t aMaxCount) -> std::vector<Endpoint>
{
  const std::lock_guard lock(mutex_);
  if (probeOrder_.size() < members_.size()) {
    ShuffleProbeOrder();
  }
  std::vector<Endpoint> sample;
  for (std::size_t i = 0; i < probeOrder_.size() && i < kMaxSampleTries; ++i) {
    const auto& other = probeOrder_[random_() % probeOrder_.size()];
    const auto* member = Find(other);
    const bool isEligible = member && member->state != MemberState::Dead &&
                            std::ranges::find(sample, other) == sample.end();
    if (isEligible && sample.size() < aMaxCount) {
      sample.push_back(other);
    }
  }
  return sample;
}

auto Membership::RankInDomain(std::uint64_t aKey) const -> std::size_t
{
  const std::lock_guard lock(mutex_);
  const auto own = RendezvousWeight(aKey, init_.self);
  std::size_t before = 0;
  for (const auto& [endpoint, member] : members_) {
    const bool counts = member.failureDomain == init_.failureDomain &&
                        member.state != MemberState::Dead &&
                        member.state != MemberState::Paused;
    before += counts && RendezvousWeight(aKey, endpoint) > own ? 1 : 0;
  }
  return before;
}

auto Membership::Views() const -> std::vector<MemberView>
{
  const std::lock_guard lock(mutex_);
  std::vector<MemberView> views;
  for (const auto& [endpoint, member] : members_) {
    views.push_back({ endpoint,
                      member.role,
                      member.state,
                      member.incarnation,
                      member.failureDomain,
                      member.lastHeard });
  }
  std::ranges::sort(views, {}, &MemberView::member);
  return views;
}

auto Membership::IsSelfListedLeaving() const -> bool
{
  const std::lock_guard lock(mutex_);
  return listedLeaving_;
}

auto Membership::SelfIncarnation() const -> Incarnation
{
  const std::lock_guard lock(mutex_);
  return init_.incarnation;
}

} // namespace damaskwalk
