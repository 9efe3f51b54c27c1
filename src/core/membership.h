#pragma once

// Failure detection and membership. Peers (agents of the same service) send
// heartbeats; all other members are probed as in SWIM. Facts about members
// spread by gossip and are merged by incarnation. The platform's VM list adds
// members, but it lags and is no proof that a member runs.

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
  // From StartIncarnation, so that others can tell a refutation from a restart.
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

// Probes to send and connections to open, for the caller to carry out.
struct MembershipActions
{
  struct ProbeTo
  {
    Endpoint receiver;
    Probe probe;
  };
  std::vector<ProbeTo> probes;
  // Members to open a TCP connection to; report each result to OnPortCheck. A
  // dead process's VM refuses it, a paused process's kernel accepts it.
  std::vector<Endpoint> portChecks;
};

// Copy of one entry of the member table.
struct MemberView
{
  Endpoint member;
  Role role = Role::Unknown;
  MemberState state = MemberState::Alive;
  Incarnation incarnation = 0;
  std::string failureDomain;
  TimePoint lastHeard;
};

// A state change, a restart or both; a restart alone has `from` equal to `to`.
struct MemberChange
{
  Endpoint member;
  Role role = Role::Unknown;
  MemberState from = MemberState::Alive;
  MemberState to = MemberState::Alive;
  bool restarted = false;
};

auto ToText(MemberState aState) -> const char*;

// Incarnation of a process that starts now: wall time in milliseconds above 16
// low bits, which count the refutations.
auto StartIncarnation(WallTime aNow) -> Incarnation;
// True if aNow belongs to a later process start than aBefore.
auto IsRestart(Incarnation aBefore, Incarnation aNow) -> bool;

// Thread safe; one lock.
class Membership
{
public:
  Membership(const MembershipInit& aInit, const Clock& aClock);

  // Call for every message: it proves that the member runs. Messages of an
  // older incarnation are ignored.
  auto OnMessageFrom(const Endpoint& aMember,
                     Role aRole,
                     Incarnation aIncarnation) -> void;
  // Applies gossiped facts. A reported failure of a running member is checked
  // here before it is adopted.
  auto Merge(const std::vector<MemberFact>& aFacts) -> void;
  // Applies the platform's VM list. It neither declares a member dead nor
  // revives one, but can mark one as leaving. A dead member that is no longer
  // listed is removed.
  auto ApplyListing(const std::vector<ListedVm>& aListing) -> void;
  // Members that send heartbeats to this process.
  auto SetPeers(const std::vector<Endpoint>& aPeers) -> void;

  // Call periodically. A gap longer than kStallThreshold (membership.cpp)
  // counts as a stall of this process.
  auto Tick() -> MembershipActions;
  // @return the probe to relay if it asks about another member; otherwise
  // empty, and the caller must send a ProbeAck.
  auto OnProbe(const Endpoint& aSender, const Probe& aProbe)
    -> MembershipActions;
  // @return the requester to which the acknowledgement of a relayed probe must
  // be forwarded; invalid if there is none.
  auto OnAck(const ProbeAck& aAck) -> Endpoint;
  // Result of a port check. Neither accepted nor refused means a timeout.
  auto OnPortCheck(const Endpoint& aMember, bool aAccepted, bool aRefused)
    -> void;
  // This process shuts down. Queues a fact by which others give it no new work.
  auto SetLeaving() -> void;

  // Facts to piggyback on a message, least sent first. Each fact is dropped
  // after O(log n) sends.
  auto TakeFacts(std::size_t aMaxCount) -> std::vector<MemberFact>;
  // State changes since the last call.
  auto TakeChanges() -> std::vector<MemberChange>;

  auto StateOf(const Endpoint& aMember) const -> MemberState;
  // True if new work may be assigned to the member: known, alive and not
  // flapping.
  auto IsUsable(const Endpoint& aMember) const -> bool;
  auto IsDead(const Endpoint& aMember) const -> bool;
  // True while at least two peers, and more than half of them, are silent: this
  // process may be the partitioned one. Meanwhile silence alone makes no
  // suspect dead.
  auto SuspectsSelf() const -> bool;
  // Random members that are not dead. Draws from the probe order instead of
  // scanning the table, so it can return fewer than are there.
  auto Sample(std::size_t aMaxCount) -> std::vector<Endpoint>;
  // Number of members of this process's failure domain, neither dead nor
  // paused, that precede it in rendezvous order for the key.
  auto RankInDomain(std::uint64_t aKey) const -> std::size_t;
  // Copy of the member table, sorted by endpoint.
  auto Views() const -> std::vector<MemberView>;

  auto SelfIncarnation() const -> Incarnation;
  // True if the platform lists this process's VM as leaving.
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
    TimePoint portCheckedAt; // last port check of a paused member
    TimePoint indirectAckAt; // last acknowledgement through another member
    bool refused = false;    // its VM refused a port check
    bool heard = false;
    bool reportedDead = false; // another member reported it dead
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
  // A failure domain was reported lost: checks a sample of its members.
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
  // Members that Tick visits: peers, and probed, suspected and paused members.
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
  TimePoint lastStallEndedAt_; // of this process
  bool suspectsSelf_ = false;
  bool leaving_ = false;
  bool listedLeaving_ = false;
};

} // namespace damaskwalk
