#include "core/membership.h"

#include <algorithm>
#include <bit>
#include <unordered_set>

namespace damaskwalk {

namespace {

constexpr Millis kProbeTimeout{ 250 };
constexpr std::size_t kIndirectProbes = 2;
constexpr std::size_t kFactsPerMessage = 8;
constexpr std::uint32_t kFactSendsPerLog = 3;
constexpr std::uint32_t kFlapsTolerated = 3;
constexpr Millis kFlapWindow{ 30000 };
constexpr std::size_t kMaxPendingFacts = 1024;
constexpr std::size_t kMaxRelayed = 1024;
constexpr int kRefutationBits = 16;

// A fact wins by incarnation first, then by the more severe state.
auto Outranks(const MemberFact& aFact,
              Incarnation aIncarnation,
              MemberState aState) -> bool
{
  if (aFact.incarnation != aIncarnation) {
    return aFact.incarnation > aIncarnation;
  }
  return aFact.state > aState;
}

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
  , nextProbe_(aClock.Now())
{
}

auto Membership::Find(const Endpoint& aEndpoint) const -> const Member*
{
  const auto found = members_.find(aEndpoint);
  return found == members_.end() ? nullptr : &found->second;
}

auto Membership::Hear(const Endpoint& aMember,
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
  member.probing = false;
  member.refused = false;
  const bool gone =
    member.state != MemberState::Alive && member.state != MemberState::Leaving;
  const bool leavingOver = member.state == MemberState::Leaving && restarted;
  member.incarnation = aIncarnation;
  if (gone || leavingOver) {
    Change(aMember, member, MemberState::Alive);
    changes_.back().restarted = restarted;
  } else if (restarted) {
    changes_.push_back(
      { aMember, member.role, member.state, member.state, true });
  } else if (fresh) {
    Spread(aMember, member);
  }
}

auto Membership::Change(const Endpoint& aEndpoint,
                        Member& aMember,
                        MemberState aState) -> void
{
  const auto now = clock_.Now();
  if (aMember.state == aState) {
    return;
  }
  const bool back = aMember.state == MemberState::Dead;
  if (back) {
    aMember.flaps =
      now - aMember.lastFlap < kFlapWindow ? aMember.flaps + 1 : 1;
    aMember.lastFlap = now;
  }
  if (aState == MemberState::Suspect || aState == MemberState::Paused) {
    aMember.suspectSince = now;
  }
  changes_.push_back({ aEndpoint, aMember.role, aMember.state, aState, false });
  aMember.state = aState;
  Spread(aEndpoint, aMember);
}

auto Membership::Spread(const Endpoint& aEndpoint, const Member& aMember)
  -> void
{
  std::erase_if(facts_, [&aEndpoint](const auto& aPending) {
    return aPending.fact.member == aEndpoint;
  });
  if (facts_.size() >= kMaxPendingFacts) {
    facts_.pop_back();
  }
  facts_.push_front({ { aEndpoint,
                        aMember.role,
                        aMember.state,
                        aMember.incarnation,
                        aMember.failureDomain },
                      0 });
}

auto Membership::RefuteSelf(const MemberFact& aFact) -> void
{
  if (aFact.state == MemberState::Leaving) {
    // Another process read it in the platform's list.
    listedLeaving_ = listedLeaving_ || aFact.incarnation == init_.incarnation;
    return;
  }
  const bool wrong = aFact.state != MemberState::Alive;
  if (wrong && aFact.incarnation >= init_.incarnation) {
    init_.incarnation = aFact.incarnation + 1;
  }
}

auto Membership::KillDomain(const std::string& aDomain) -> void
{
  for (auto& [endpoint, member] : members_) {
    const bool silent = clock_.Now() - member.lastHeard > kSuspectAfter;
    if (member.failureDomain == aDomain && silent) {
      Change(endpoint, member, MemberState::Dead);
    }
  }
}

auto Membership::ApplyFact(const MemberFact& aFact) -> void
{
  if (!aFact.member.IsValid()) {
    if (aFact.state == MemberState::Dead && !aFact.failureDomain.empty() &&
        aFact.failureDomain != init_.failureDomain) {
      KillDomain(aFact.failureDomain);
    }
    return;
  }
  if (aFact.member == init_.self) {
    RefuteSelf(aFact);
    return;
  }
  if (aFact.state > MemberState::Dead ||
      (members_.size() >= kMaxMembers && !members_.contains(aFact.member))) {
    return;
  }
  const auto [found, fresh] = members_.try_emplace(aFact.member);
  auto& member = found->second;
  if (fresh) {
    member.lastHeard = clock_.Now();
  }
  if (member.failureDomain.empty()) {
    member.failureDomain = aFact.failureDomain;
  }
  if (member.role == Role::Unknown) {
    member.role = aFact.role;
  }
  if (!fresh && !Outranks(aFact, member.incarnation, member.state)) {
    return;
  }
  const bool restarted =
    member.heard && IsRestart(member.incarnation, aFact.incarnation);
  const bool running =
    member.state == MemberState::Alive || member.state == MemberState::Leaving;
  const bool accused = aFact.state == MemberState::Suspect ||
                       aFact.state == MemberState::Paused ||
                       aFact.state == MemberState::Dead;
  member.incarnation = aFact.incarnation;
  if (accused && running && !fresh) {
    Verify(aFact.member, member);
    return;
  }
  // Another's word does not undo the silence that this process observes.
  const bool silentHere =
    member.peer && clock_.Now() - member.lastHeard > kSuspectAfter;
  if (!accused && !running && silentHere && !restarted) {
    return;
  }
  if (member.state != aFact.state) {
    Change(aFact.member, member, aFact.state);
    changes_.back().restarted = restarted;
  } else if (fresh) {
    Spread(aFact.member, member);
  }
}

// Others report trouble: this process looks for itself, since a partition may
// lie between the member and them.
auto Membership::Verify(const Endpoint& aEndpoint, Member& aMember) -> void
{
  if (clock_.Now() - aMember.lastHeard < kHeartbeatPeriod) {
    return;
  }
  Change(aEndpoint, aMember, MemberState::Suspect);
  toVerify_.push_back(aEndpoint);
}

auto Membership::Merge(const std::vector<MemberFact>& aFacts) -> void
{
  const std::lock_guard lock(mutex_);
  for (const auto& fact : aFacts) {
    ApplyFact(fact);
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
      listedLeaving_ = vm.leaving;
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
      Change(vm.member, member, MemberState::Leaving);
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
    found->second.role = Role::Agent;
    if (fresh) {
      found->second.lastHeard = clock_.Now();
    }
  }
}

auto Membership::CountSilent() -> void
{
  std::size_t heard = 0;
  std::size_t silent = 0;
  const auto now = clock_.Now();
  for (const auto& [endpoint, member] : members_) {
    // A refused connection proves that the path is there.
    if (!member.peer || !member.heard || member.refused) {
      continue;
    }
    const bool quiet = now - member.lastHeard > kSuspectAfter;
    (quiet ? silent : heard) += 1;
  }
  suspectsSelf_ = silent >= 2 && silent > heard;
}

auto Membership::TickMember(const Endpoint& aEndpoint,
                            Member& aMember,
                            MembershipActions& aActions) -> void
{
  const auto now = clock_.Now();
  const auto silence = now - aMember.lastHeard;
  const bool running = aMember.state == MemberState::Alive ||
                       aMember.state == MemberState::Leaving;
  const bool unanswered = aMember.probing && aMember.indirect &&
                          now - aMember.probedAt > kProbeTimeout;
  const bool late = aMember.peer && silence > kSuspectAfter;
  if (running && (late || unanswered) && silence > kSuspectAfter) {
    Change(aEndpoint, aMember, MemberState::Suspect);
    aActions.confirm.push_back(aEndpoint);
    aMember.probing = false;
    return;
  }
  if (aMember.state == MemberState::Suspect) {
    const bool seenByOthers = now - aMember.indirectAt < kDeadAfter;
    if (!seenByOthers && now - aMember.probedAt > kProbeTimeout) {
      aMember.probedAt = now;
      ProbeIndirectly(aEndpoint, aActions);
    }
    const bool expired =
      !seenByOthers && silence > kDeadAfter &&
      now - aMember.suspectSince > kDeadAfter - kSuspectAfter;
    if (expired && !suspectsSelf_) {
      Change(aEndpoint, aMember, MemberState::Dead);
    }
    return;
  }
  const bool stale = aMember.state == MemberState::Paused &&
                     now - aMember.suspectSince > kPausedGrace;
  if (stale) {
    Change(aEndpoint, aMember, MemberState::Dead);
    return;
  }
  if (aMember.state == MemberState::Paused &&
      now - aMember.probedAt > kSuspectAfter) {
    aMember.probedAt = now;
    aActions.confirm.push_back(aEndpoint);
  }
}

auto Membership::ProbeIndirectly(const Endpoint& aEndpoint,
                                 MembershipActions& aActions) -> void
{
  std::vector<Endpoint> helpers;
  for (const auto& [other, view] : members_) {
    if (other != aEndpoint && view.state == MemberState::Alive) {
      helpers.push_back(other);
    }
  }
  std::ranges::sort(helpers);
  std::ranges::shuffle(helpers, random_);
  helpers.resize(std::min(helpers.size(), kIndirectProbes));
  for (const auto& helper : helpers) {
    aActions.probes.push_back({ helper, { ++sequence_, aEndpoint, {} } });
  }
}

auto Membership::ProbeNext(MembershipActions& aActions) -> void
{
  if (probeOrder_.empty()) {
    for (const auto& [endpoint, member] : members_) {
      probeOrder_.push_back(endpoint);
    }
    std::ranges::sort(probeOrder_);
    std::ranges::shuffle(probeOrder_, random_);
  }
  if (probeOrder_.empty()) {
    return;
  }
  const auto target = probeOrder_.back();
  probeOrder_.pop_back();
  const auto found = members_.find(target);
  if (found == members_.end()) {
    return;
  }
  auto& member = found->second;
  member.probing = true;
  member.indirect = false;
  member.probedAt = clock_.Now();
  aActions.probes.push_back(
    { target, { ++sequence_, {}, FactsLocked(kFactsPerMessage) } });
}

auto Membership::Tick() -> MembershipActions
{
  const std::lock_guard lock(mutex_);
  const auto now = clock_.Now();
  MembershipActions actions;
  CountSilent();
  for (const auto& suspect : std::exchange(toVerify_, {})) {
    actions.probes.push_back({ suspect, { ++sequence_, {}, {} } });
    actions.confirm.push_back(suspect);
  }
  std::unordered_map<std::string, std::pair<std::size_t, std::size_t>> domains;
  for (auto& [endpoint, member] : members_) {
    const auto before = member.state;
    TickMember(endpoint, member, actions);
    auto& [dead, all] = domains[member.failureDomain];
    dead += member.state == MemberState::Dead ? 1 : 0;
    ++all;
    const bool fresh =
      member.state == MemberState::Dead && before != MemberState::Dead;
    if (fresh && dead == all && all >= 3 && !member.failureDomain.empty()) {
      facts_.push_front(
        { { {}, Role::Unknown, MemberState::Dead, 0, member.failureDomain },
          0 });
    }
    const bool retry = member.probing && !member.indirect &&
                       now - member.probedAt > kProbeTimeout;
    if (retry) {
      member.indirect = true;
      member.probedAt = now;
      ProbeIndirectly(endpoint, actions);
    }
  }
  if (now >= nextProbe_) {
    nextProbe_ = now + kHeartbeatPeriod;
    ProbeNext(actions);
  }
  return actions;
}

auto Membership::TakeProbe(const Endpoint& aSender, const Probe& aProbe)
  -> MembershipActions
{
  Merge(aProbe.facts);
  const std::lock_guard lock(mutex_);
  MembershipActions actions;
  if (aProbe.target.IsValid() && aProbe.target != init_.self) {
    if (relayed_.size() >= kMaxRelayed) {
      relayed_.clear();
    }
    relayed_[++sequence_] = aSender;
    actions.probes.push_back({ aProbe.target, { sequence_, {}, {} } });
  }
  return actions;
}

auto Membership::TakeAck(const ProbeAck& aAck) -> Endpoint
{
  Merge(aAck.facts);
  const std::lock_guard lock(mutex_);
  const auto relayed = relayed_.find(aAck.sequence);
  if (relayed != relayed_.end()) {
    const auto asker = relayed->second;
    relayed_.erase(relayed);
    return asker;
  }
  const auto found = members_.find(aAck.target);
  if (found == members_.end()) {
    return {};
  }
  // By way of another it proves life, though not a direct path.
  found->second.probing = false;
  found->second.indirectAt = clock_.Now();
  return {};
}

auto Membership::Confirm(const Endpoint& aMember, bool aAccepted, bool aRefused)
  -> void
{
  const std::lock_guard lock(mutex_);
  const auto found = members_.find(aMember);
  if (found == members_.end()) {
    return;
  }
  auto& member = found->second;
  const bool open =
    member.state == MemberState::Suspect || member.state == MemberState::Paused;
  if (!open || clock_.Now() - member.lastHeard < kSuspectAfter) {
    return;
  }
  if (aRefused) {
    member.refused = true;
    Change(aMember, member, MemberState::Dead);
  } else if (aAccepted) {
    Change(aMember, member, MemberState::Paused);
  } else if (member.state == MemberState::Paused) {
    Change(aMember, member, MemberState::Suspect);
  }
}

auto Membership::SetLeaving() -> void
{
  const std::lock_guard lock(mutex_);
  leaving_ = true;
  facts_.push_front({ { init_.self,
                        init_.role,
                        MemberState::Leaving,
                        init_.incarnation,
                        init_.failureDomain },
                      0 });
}

auto Membership::FactsLocked(std::size_t aMost) -> std::vector<MemberFact>
{
  const auto limit = kFactSendsPerLog * (std::bit_width(members_.size()) + 1);
  std::vector<MemberFact> facts;
  const auto count = std::min(aMost, facts_.size());
  for (std::size_t i = 0; i < count; ++i) {
    auto pending = std::move(facts_.front());
    facts_.pop_front();
    facts.push_back(pending.fact);
    if (++pending.sends < limit) {
      facts_.push_back(std::move(pending));
    }
  }
  return facts;
}

auto Membership::TakeFacts(std::size_t aMost) -> std::vector<MemberFact>
{
  const std::lock_guard lock(mutex_);
  return FactsLocked(aMost);
}

auto Membership::TakeChanges() -> std::vector<MemberChange>
{
  const std::lock_guard lock(mutex_);
  return std::exchange(changes_, {});
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
  const bool flapping = member->flaps > kFlapsTolerated &&
                        clock_.Now() - member->lastFlap < kFlapWindow;
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

auto Membership::Known(Role aRole) const -> std::vector<Endpoint>
{
  std::vector<Endpoint> known;
  for (const auto& view : Views()) {
    if (view.role == aRole) {
      known.push_back(view.member);
    }
  }
  return known;
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
