// How members' states change and spread, and what others' words are worth.

#include "core/membership.h"

#include <algorithm>
#include <bit>

namespace damaskwalk {

namespace {

constexpr std::uint32_t kFactSendsPerLog = 3;
constexpr Millis kFlapWindow{ 30000 };
constexpr std::size_t kMaxPendingFacts = 1024;
constexpr std::size_t kDomainSample = 6;
constexpr std::size_t kSmallestDomain = 3;
constexpr Millis kDomainCheckWithin{ 3000 };

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
  Watch(aEndpoint);
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

auto Membership::CheckDomain(const std::string& aDomain) -> void
{
  if (domainChecks_.contains(aDomain)) {
    return;
  }
  DomainCheck check;
  check.since = clock_.Now();
  for (auto& [endpoint, member] : members_) {
    const bool mine =
      member.failureDomain == aDomain && member.state != MemberState::Dead;
    if (mine && check.sample.size() < kDomainSample) {
      check.sample.push_back(endpoint);
      Verify(endpoint, member);
    }
  }
  if (!check.sample.empty()) {
    domainChecks_[aDomain] = std::move(check);
  }
}

auto Membership::ConcludeDomains() -> void
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
    const bool over =
      alive || clock_.Now() - entry->second.since > kDomainCheckWithin;
    if (lost) {
      KillDomain(entry->first);
      SpreadLostDomain(entry->first);
    }
    entry = lost || over ? domainChecks_.erase(entry) : std::next(entry);
  }
}

auto Membership::SpreadLostDomain(const std::string& aDomain) -> void
{
  std::size_t all = 0;
  for (const auto& [endpoint, member] : members_) {
    if (member.failureDomain == aDomain) {
      if (member.state != MemberState::Dead) {
        return;
      }
      ++all;
    }
  }
  const bool told = std::ranges::any_of(facts_, [&](const auto& aPending) {
    return !aPending.fact.member.IsValid() &&
           aPending.fact.failureDomain == aDomain;
  });
  if (all >= kSmallestDomain && !told) {
    // One fact in place of one for each member.
    std::erase_if(facts_, [&](const auto& aPending) {
      return aPending.fact.failureDomain == aDomain &&
             aPending.fact.state == MemberState::Dead;
    });
    facts_.push_front(
      { { {}, Role::Unknown, MemberState::Dead, 0, aDomain }, 0 });
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
      CheckDomain(aFact.failureDomain);
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
  const bool portAccepts = member.state == MemberState::Paused && !restarted;
  if (accused && portAccepts) {
    member.accused = aFact.state == MemberState::Dead;
    toVerify_.push_back(aFact.member);
    return;
  }
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

} // namespace damaskwalk
