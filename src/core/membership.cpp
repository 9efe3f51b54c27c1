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
constexpr std::size_t kFactsPerMessage = 8;
constexpr std::uint32_t kFlapsTolerated = 3;
constexpr Millis kFlapWindow{ 30000 };
constexpr std::size_t kMaxRelayed = 1024;
constexpr int kRefutationBits = 16;
constexpr std::size_t kHelperTries = 64;
// Longer between two ticks: this process was held up. Five periods of the
// node's timer, and half of what a connection to a suspect may take.
constexpr Millis kStall{ 250 };

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
  member.accused = false;
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
    Watch(peer);
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
  for (const auto& endpoint : watched_) {
    const auto* found = Find(endpoint);
    if (!found) {
      continue;
    }
    const auto& member = *found;
    // A refused connection proves that the path is there.
    if (!member.peer || !member.heard || member.refused) {
      continue;
    }
    const bool quiet = now - member.lastHeard > kSuspectAfter;
    (quiet ? silent : heard) += 1;
  }
  suspectsSelf_ = silent >= 2 && silent > heard;
}

// What this process did not hear while it did not run proves nothing: its
// suspects get their whole time again, and another look.
auto Membership::NoteStall(TimePoint aNow) -> void
{
  const bool stalled = lastTick_ != TimePoint{} && aNow - lastTick_ > kStall;
  lastTick_ = aNow;
  if (!stalled) {
    return;
  }
  awakeSince_ = aNow;
  for (const auto& endpoint : watched_) {
    const auto* member = Find(endpoint);
    if (member && member->state == MemberState::Suspect) {
      toVerify_.push_back(endpoint);
    }
  }
}

// A connection that timed out while this process did not run says nothing
// about the other side.
auto Membership::WasHeldUp() const -> bool
{
  const auto now = clock_.Now();
  const bool lately =
    awakeSince_ != TimePoint{} && now - awakeSince_ < kConfirmWithin;
  return lately || now - lastTick_ > kStall;
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
    const bool expired = !seenByOthers && silence > kDeadAfter &&
                         now - std::max(aMember.suspectSince, awakeSince_) >
                           kDeadAfter - kSuspectAfter;
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
  // Helpers come from the shuffled order of probing, so no walk is needed.
  std::vector<Endpoint> helpers;
  for (std::size_t i = 0; i < probeOrder_.size() && i < kHelperTries; ++i) {
    const auto& other = probeOrder_[random_() % probeOrder_.size()];
    const auto* view = Find(other);
    const bool fits = view && view->state == MemberState::Alive &&
                      other != aEndpoint &&
                      std::ranges::find(helpers, other) == helpers.end();
    if (fits && helpers.size() < kIndirectProbes) {
      helpers.push_back(other);
    }
  }
  for (const auto& helper : helpers) {
    aActions.probes.push_back({ helper, { ++sequence_, aEndpoint, {} } });
  }
}

auto Membership::RefillOrder() -> void
{
  nextInOrder_ = 0;
  probeOrder_.clear();
  for (const auto& [endpoint, member] : members_) {
    probeOrder_.push_back(endpoint);
  }
  std::ranges::sort(probeOrder_);
  std::ranges::shuffle(probeOrder_, random_);
}

auto Membership::ProbeNext(MembershipActions& aActions) -> void
{
  if (nextInOrder_ >= probeOrder_.size()) {
    RefillOrder();
  }
  if (probeOrder_.empty()) {
    return;
  }
  const auto target = probeOrder_[nextInOrder_++];
  const auto found = members_.find(target);
  if (found == members_.end()) {
    return;
  }
  auto& member = found->second;
  member.probing = true;
  member.indirect = false;
  member.probedAt = clock_.Now();
  Watch(target);
  aActions.probes.push_back(
    { target, { ++sequence_, {}, FactsLocked(kFactsPerMessage) } });
}

auto Membership::Tick() -> MembershipActions
{
  const std::lock_guard lock(mutex_);
  const auto now = clock_.Now();
  MembershipActions actions;
  CountSilent();
  NoteStall(now);
  for (const auto& suspect : std::exchange(toVerify_, {})) {
    actions.probes.push_back({ suspect, { ++sequence_, {}, {} } });
    actions.confirm.push_back(suspect);
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
    const bool retry = member.probing && !member.indirect &&
                       now - member.probedAt > kProbeTimeout;
    if (retry) {
      member.indirect = true;
      member.probedAt = now;
      ProbeIndirectly(endpoint, actions);
    }
    if (!NeedsWatch(member)) {
      watched_.erase(endpoint);
    }
  }
  for (const auto& domain : domains) {
    SpreadLostDomain(domain);
  }
  ConcludeDomains();
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
  const bool heardLately = clock_.Now() - member.lastHeard < kSuspectAfter;
  if (!open || (heardLately && !aAccepted)) {
    return;
  }
  if (aRefused) {
    member.refused = true;
    Change(aMember, member, MemberState::Dead);
  } else if (aAccepted) {
    Change(aMember, member, MemberState::Paused);
  } else if (WasHeldUp()) {
    toVerify_.push_back(aMember);
  } else if (member.state == MemberState::Paused) {
    // Two processes that cannot reach it settle the matter.
    const bool agreed = member.accused;
    Change(aMember, member, agreed ? MemberState::Dead : MemberState::Suspect);
    toVerify_.push_back(aMember);
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

auto Membership::Sample(std::size_t aMost) -> std::vector<Endpoint>
{
  const std::lock_guard lock(mutex_);
  if (probeOrder_.size() < members_.size()) {
    RefillOrder();
  }
  std::vector<Endpoint> sample;
  for (std::size_t i = 0; i < probeOrder_.size() && i < kHelperTries; ++i) {
    const auto& other = probeOrder_[random_() % probeOrder_.size()];
    const auto* member = Find(other);
    const bool fits = member && member->state != MemberState::Dead &&
                      std::ranges::find(sample, other) == sample.end();
    if (fits && sample.size() < aMost) {
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
