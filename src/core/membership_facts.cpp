// State changes, their spread by gossip, and the evaluation of facts reported
// by other members.

#include "core/membership.h"

#include <algorithm>
#include <bit>

namespace damaskwalk {

namespace {

// A fact is sent this many times the binary logarithm of the member count.
constexpr std::uint32_t kFactRetransmitMultiplier = 3;
constexpr Millis kFlapWindow{ 30000 };
constexpr std::size_t kMaxPendingFacts = 1024;
constexpr std::size_t kDomainSampleSize = 6;
// Least number of members of a domain whose loss is reported by a single fact.
constexpr std::size_t kMinDomainMembers = 3;
constexpr Millis kDomainCheckTimeout{ 3000 };

// A newer incarnation wins; within one incarnation the more severe state does.
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

auto Membership::SetState(const Endpoint& aEndpoint,
                          Member& aMember,
                          MemberState aState) -> void
{
  const auto now = clock_.Now();
  if (aMember.state == aState) {
    return;
  }
  const bool wasDead = aMember.state == MemberState::Dead;
  if (wasDead) {
    aMember.flaps =
      now - aMember.lastFlapAt < kFlapWindow ? aMember.flaps + 1 : 1;
    aMember.lastFlapAt = now;
  }
  if (aState == MemberState::Suspect || aState == MemberState::Paused) {
    aMember.suspectSince = now;
  }
  if (aState == MemberState::Paused) {
    aMember.portCheckedAt = now;
  }
  changes_.push_back({ aEndpoint, aMember.role, aMember.state, aState, false });
  aMember.state = aState;
  Watch(aEndpoint);
  QueueFact(aEndpoint, aMember);
}

auto Membership::QueueFact(const Endpoint& aEndpoint, const Member& aMember)
  -> void
{
  std::erase_if(pendingFacts_, [&aEndpoint](const auto& aPending) {
    return aPending.fact.member == aEndpoint;
  });
  if (pendingFacts_.size() >= kMaxPendingFacts) {
    pendingFacts_.pop_back();
  }
  pendingFacts_.push_front({ { aEndpoint,
                               aMember.role,
                               aMember.state,
                               aMember.incarnation,
                               aMember.failureDomain },
                             0 });
}

auto Membership::RefuteSelf(const MemberFact& aFact) -> void
{
  if (aFact.state == MemberState::Leaving) {
    // Another process saw this VM leaving in the platform's list.
    listedLeaving_ = listedLeaving_ || aFact.incarnation == init_.incarnation;
    return;
  }
  const bool reportedDown = aFact.state != MemberState::Alive;
  if (reportedDown && aFact.incarnation >= init_.incarnation) {
    init_.incarnation = aFact.incarnation + 1;
  }
}

auto Membership::Watch(const Endpoint& aEndpoint) -> void
{
  watched_.insert(aEndpoint);
}

auto Membership::NeedsWatch(const Member& aMember) const -> bool
{
  return aMember.peer || aMember.probing ||
         aMember.state == MemberState::Suspect ||
         aMember.state == MemberState::Paused;
}

auto Membership::StartDomainCheck(const std::string& aDomain) -> void
{
  if (domainChecks_.contains(aDomain)) {
    return;
  }
  DomainCheck check;
  check.since = clock_.Now();
  for (auto& [endpoint, member] : members_) {
    const bool inDomain =
      member.failureDomain == aDomain && member.state != MemberState::Dead;
    if (inDomain && check.sample.size() < kDomainSampleSize) {
      check.sample.push_back(endpoint);
      SuspectAndCheck(endpoint, member);
    }
  }
  if (!check.sample.empty()) {
    domainChecks_[aDomain] = std::move(check);
  }
}

auto Membership::FinishDomainChecks() -> void
{
  for (auto entry = domainChecks_.begin(); entry != domainChecks_.end();) {
    std::size_t dead = 0;
    bool alive = false;
    for (const auto& endpoint : entry->second.sample) {
      const auto* member = Find(endpoint);
      dead += !member || member->state == MemberState::Dead ? 1 : 0;
      alive = alive || (member && member->state == MemberState::Alive);
    }
    const bool lost = dead == entry->second.sample.size();
    const bool finished =
      alive || clock_.Now() - entry->second.since > kDomainCheckTimeout;
    if (lost) {
      MarkDomainDead(entry->first);
      QueueLostDomainFact(entry->first);
    }
    entry = lost || finished ? domainChecks_.erase(entry) : std::next(entry);
  }
}

auto Membership::QueueLostDomainFact(const std::string& aDomain) -> void
{
  std::size_t memberCount = 0;
  for (const auto& [endpoint, member] : members_) {
    if (member.failureDomain == aDomain) {
      if (member.state != MemberState::Dead) {
        return;
      }
      ++memberCount;
    }
  }
  const bool alreadyQueued =
    std::ranges::any_of(pendingFacts_, [&](const auto& aPending) {
      return !aPending.fact.member.IsValid() &&
             aPending.fact.failureDomain == aDomain;
    });
  if (memberCount >= kMinDomainMembers && !alreadyQueued) {
    // One fact for the domain replaces those of its members.
    std::erase_if(pendingFacts_, [&](const auto& aPending) {
      return aPending.fact.failureDomain == aDomain &&
             aPending.fact.state == MemberState::Dead;
    });
    pendingFacts_.push_front(
      { { {}, Role::Unknown, MemberState::Dead, 0, aDomain }, 0 });
  }
}

auto Membership::MarkDomainDead(const std::string& aDomain) -> void
{
  for (auto& [endpoint, member] : members_) {
    const bool silent = clock_.Now() - member.lastHeard > kSuspectTimeout;
    if (member.failureDomain == aDomain && silent) {
      SetState(endpoint, member, MemberState::Dead);
    }
  }
}

auto Membership::ApplyFact(const MemberFact& aFact) -> void
{
  if (!aFact.member.IsValid()) {
    if (aFact.state == MemberState::Dead && !aFact.failureDomain.empty() &&
        aFact.failureDomain != init_.failureDomain) {
      StartDomainCheck(aFact.failureDomain);
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
  const bool reportsFailure = aFact.state == MemberState::Suspect ||
                              aFact.state == MemberState::Paused ||
                              aFact.state == MemberState::Dead;
  member.incarnation = aFact.incarnation;
  const bool portAccepts = member.state == MemberState::Paused && !restarted;
  if (reportsFailure && portAccepts) {
    member.reportedDead = aFact.state == MemberState::Dead;
    pendingPortChecks_.push_back(aFact.member);
    return;
  }
  if (reportsFailure && running && !fresh) {
    SuspectAndCheck(aFact.member, member);
    return;
  }
  // The port may have accepted before the member died.
  if (aFact.state == MemberState::Paused &&
      member.state == MemberState::Suspect) {
    pendingPortChecks_.push_back(aFact.member);
    return;
  }
  // A report does not override the silence that this process observes.
  const bool silentHere =
    member.peer && clock_.Now() - member.lastHeard > kSuspectTimeout;
  if (!reportsFailure && !running && silentHere && !restarted) {
    return;
  }
  if (member.state != aFact.state) {
    SetState(aFact.member, member, aFact.state);
    changes_.back().restarted = restarted;
  } else if (fresh) {
    QueueFact(aFact.member, member);
  }
}

// Others reported a failure: this process checks the member itself, since a
// partition may lie only between the member and them.
auto Membership::SuspectAndCheck(const Endpoint& aEndpoint, Member& aMember)
  -> void
{
  if (clock_.Now() - aMember.lastHeard < kHeartbeatPeriod) {
    return;
  }
  SetState(aEndpoint, aMember, MemberState::Suspect);
  pendingPortChecks_.push_back(aEndpoint);
}

auto Membership::Merge(const std::vector<MemberFact>& aFacts) -> void
{
  const std::lock_guard lock(mutex_);
  for (const auto& fact : aFacts) {
    ApplyFact(fact);
  }
}

auto Membership::SetLeaving() -> void
{
  const std::lock_guard lock(mutex_);
  leaving_ = true;
  pendingFacts_.push_front({ { init_.self,
                               init_.role,
                               MemberState::Leaving,
                               init_.incarnation,
                               init_.failureDomain },
                             0 });
}

auto Membership::TakeFactsLocked(std::size_t aMaxCount)
  -> std::vector<MemberFact>
{
  const auto limit =
    kFactRetransmitMultiplier * (std::bit_width(members_.size()) + 1);
  std::vector<MemberFact> facts;
  const auto count = std::min(aMaxCount, pendingFacts_.size());
  for (std::size_t i = 0; i < count; ++i) {
    auto pending = std::move(pendingFacts_.front());
    pendingFacts_.pop_front();
    facts.push_back(pending.fact);
    if (++pending.sends < limit) {
      pendingFacts_.push_back(std::move(pending));
    }
  }
  return facts;
}

auto Membership::TakeFacts(std::size_t aMaxCount) -> std::vector<MemberFact>
{
  const std::lock_guard lock(mutex_);
  return TakeFactsLocked(aMaxCount);
}

auto Membership::TakeChanges() -> std::vector<MemberChange>
{
  const std::lock_guard lock(mutex_);
  return std::exchange(changes_, {});
}

} // namespace damaskwalk
