#pragma once

// Who is alive: heartbeats within a service, SWIM-style probing beyond, facts
// merged by incarnation, and the platform's lagging list.

#include "core/clock.h"
#include "core/config.h"
#include "wire/messages.h"

#include <deque>
#include <mutex>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace damaskwalk {

struct MembershipInit
{
  Endpoint self;
  Role role = Role::Unknown;
  std::string failureDomain;
  // Made by StartIncarnation, so that a refutation is told from a restart.
  Incarnation incarnation = 1;
  std::uint64_t seed = 1;
};

// One VM as the platform lists it.
struct ListedVm
{
  Endpoint member;
  Role role = Role::Unknown;
  std::string failureDomain;
  bool leaving = false;
};

// What the driver has to send or try after a tick.
struct MembershipActions
{
  struct ProbeTo
  {
    Endpoint receiver;
    Probe probe;
  };
  std::vector<ProbeTo> probes;
  // Members whose TCP port tells a dead process from a paused one.
  std::vector<Endpoint> portChecks;
};

struct MemberView
{
  Endpoint member;
  Role role = Role::Unknown;
  MemberState state = MemberState::Alive;
  Incarnation incarnation = 0;
  std::string failureDomain;
  TimePoint lastHeard;
};

struct MemberChange
{
  Endpoint member;
  Role role = Role::Unknown;
  MemberState from = MemberState::Alive;
  MemberState to = MemberState::Alive;
  bool restarted = false;
};

auto ToText(MemberState aState) -> const char*;

// Incarnation of a process that starts now; refutations count up in its low
// bits.
auto StartIncarnation(WallTime aNow) -> Incarnation;
// True when the later incarnation belongs to a process started anew.
auto IsRestart(Incarnation aBefore, Incarnation aNow) -> bool;

// Thread safe; one lock.
class Membership
{
public:
  Membership(const MembershipInit& aInit, const Clock& aClock);

  // Any message from a member proves that it runs.
  auto OnMessageFrom(const Endpoint& aMember,
                     Role aRole,
                     Incarnation aIncarnation) -> void;
  auto Merge(const std::vector<MemberFact>& aFacts) -> void;
  // The platform's list. Being listed is not being alive, nor the reverse; a
  // member that is dead and no longer listed is forgotten.
  auto ApplyListing(const std::vector<ListedVm>& aListing) -> void;
  // Members that send heartbeats to this process.
  auto SetPeers(const std::vector<Endpoint>& aPeers) -> void;

  auto Tick() -> MembershipActions;
  auto OnProbe(const Endpoint& aSender, const Probe& aProbe)
    -> MembershipActions;
  // @return whom to pass the acknowledgement on to; invalid: nobody.
  auto OnAck(const ProbeAck& aAck) -> Endpoint;
  // Result of a TCP connection to a suspect.
  auto OnPortCheck(const Endpoint& aMember, bool aAccepted, bool aRefused)
    -> void;
  auto SetLeaving() -> void;

  // Facts to piggyback, least sent first.
  auto TakeFacts(std::size_t aMaxCount) -> std::vector<MemberFact>;
  // State changes since the last call.
  auto TakeChanges() -> std::vector<MemberChange>;

  auto StateOf(const Endpoint& aMember) const -> MemberState;
  // New work may go there.
  auto IsUsable(const Endpoint& aMember) const -> bool;
  auto IsDead(const Endpoint& aMember) const -> bool;
  // True while most others look silent: this process may be the one cut off.
  auto SuspectsSelf() const -> bool;
  // Random members that are not dead, without walking the table.
  auto Sample(std::size_t aMaxCount) -> std::vector<Endpoint>;
  // How many running members of this process's failure domain come before it
  // in rendezvous order for the key.
  auto RankInDomain(std::uint64_t aKey) const -> std::size_t;
  // A copy of the whole table, for status.
  auto Views() const -> std::vector<MemberView>;

  auto SelfIncarnation() const -> Incarnation;
  // The platform lists this process's VM as leaving.
  auto IsSelfListedLeaving() const -> bool;

private:
  struct Member
  {
    Role role = Role::Unknown;
    MemberState state = MemberState::Alive;
    Incarnation incarnation = 0;
    std::string failureDomain;
    TimePoint lastHeard;
    TimePoint suspectSince;
    TimePoint probedAt;
    TimePoint indirectAckAt; // last acknowledgement by way of another member
    bool refused = false;    // its VM said that no process is there
    bool heard = false;
    bool reportedDead = false; // another says that it is dead
    bool listed = false;
    bool peer = false;
    bool probing = false;
    bool probedIndirectly = false;
    std::uint32_t flaps = 0;
    TimePoint lastFlapAt;
  };
  struct PendingFact
  {
    MemberFact fact;
    std::uint32_t sends = 0;
  };

  auto SetState(const Endpoint& aEndpoint, Member& aMember, MemberState aState)
    -> void;
  auto QueueFact(const Endpoint& aEndpoint, const Member& aMember) -> void;
  auto ApplyFact(const MemberFact& aFact) -> void;
  auto RefuteSelf(const MemberFact& aFact) -> void;
  auto SuspectAndCheck(const Endpoint& aEndpoint, Member& aMember) -> void;
  auto ProbeIndirectly(const Endpoint& aEndpoint, MembershipActions& aActions)
    -> void;
  // A whole failure domain is said to be lost: a sample of it is looked at.
  auto StartDomainCheck(const std::string& aDomain) -> void;
  auto FinishDomainChecks() -> void;
  auto MarkDomainDead(const std::string& aDomain) -> void;
  auto QueueLostDomainFact(const std::string& aDomain) -> void;
  auto Watch(const Endpoint& aEndpoint) -> void;
  auto NeedsWatch(const Member& aMember) const -> bool;
  auto TickMember(const Endpoint& aEndpoint,
                  Member& aMember,
                  MembershipActions& aActions) -> void;
  auto ShuffleProbeOrder() -> void;
  auto ProbeNext(MembershipActions& aActions) -> void;
  auto UpdateSuspectsSelf() -> void;
  auto DetectStall(TimePoint aNow) -> void;
  auto HasStalledRecently() const -> bool;
  auto TakeFactsLocked(std::size_t aMaxCount) -> std::vector<MemberFact>;
  auto Find(const Endpoint& aEndpoint) const -> const Member*;

  MembershipInit init_;
  const Clock& clock_;
  mutable std::mutex mutex_;
  std::unordered_map<Endpoint, Member, KeyHash> members_;
  std::deque<PendingFact> pendingFacts_;
  std::vector<MemberChange> changes_;
  std::vector<Endpoint> probeOrder_;
  std::size_t nextProbeIndex_ = 0;
  std::unordered_map<std::uint64_t, Endpoint> relayedProbes_;
  std::vector<Endpoint> pendingPortChecks_;
  // Members with something due: peers, probed ones, suspects.
  std::unordered_set<Endpoint, KeyHash> watched_;
  struct DomainCheck
  {
    std::vector<Endpoint> sample;
    TimePoint since;
  };
  std::unordered_map<std::string, DomainCheck> domainChecks_;
  std::mt19937_64 random_;
  std::uint64_t sequence_ = 0;
  TimePoint nextProbeAt_;
  TimePoint lastTickAt_;
  TimePoint lastStallEndedAt_; // end of the last stall of this process
  bool suspectsSelf_ = false;
  bool leaving_ = false;
  bool listedLeaving_ = false;
};

} // namespace damaskwalk
