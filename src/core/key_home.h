#pragma once

// The home of idempotency keys: decides whether an attempt of a request that
// may not be repeated may run.
//
// A key's home is the first of the service's published targets, in rendezvous
// order, that holds the role. A home grants only under a lease: a majority of
// the published targets heard its recent heartbeats. Another target takes the
// role over only when a majority reports silence for longer than that lease.
// A home answers Unknown for requests issued before it took the role, so a
// lost home costs answers and never a second run.

#include "core/clock.h"
#include "core/config.h"
#include "wire/messages.h"

#include <deque>
#include <map>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

namespace damaskwalk {

struct KeyHomeInit
{
  Endpoint self;
  // Largest difference of wall clocks between callers and agents.
  Millis clockSkew{ 250 };
  std::size_t maxRecords = kMaxKeyRecords;
};

class KeyHome
{
public:
  KeyHome(const KeyHomeInit& aInit, const Clock& aClock);

  // The service's published targets changed.
  auto SetTargets(const std::vector<Endpoint>& aTargets) -> void;
  auto TargetsDigest() const -> std::uint64_t;

  // Own heartbeats and those of the peers carry the lease.
  auto BeginHeartbeat() -> std::uint64_t;
  auto HeardList() -> std::vector<PeerAck>;
  auto OnHeartbeat(const Endpoint& aPeer,
                   Incarnation aIncarnation,
                   std::uint64_t aSequence,
                   std::uint64_t aTargetsDigest,
                   const std::vector<PeerAck>& aHeard) -> void;

  // Decides a claim. An equal attempt gets an equal answer.
  auto Claim(const KeyClaim& aClaim) -> KeyClaimReply;
  auto OnOutcome(const KeyOutcome& aOutcome) -> void;

  // Former homes that a new home has to ask, and their answers.
  auto PendingPulls() const -> std::vector<Endpoint>;
  auto OnPull(const Endpoint& aRequester,
              std::uint64_t aTargetsDigest,
              std::uint64_t aFormerDigest) -> KeyPullReply;
  // What a peer gets when this home resigns.
  auto ExportResignation(const Endpoint& aPeer) -> KeyPullReply;
  auto FormerDigest() const -> std::uint64_t;
  auto OnPullReply(const Endpoint& aFrom, const KeyPullReply& aReply) -> void;

  // Peers that a home which regained its lease has to ask before it grants,
  // and their answers. A failed call leaves the reply incomplete.
  auto PendingRejoins() const -> std::vector<Endpoint>;
  auto OnRejoin(const Endpoint& aRequester,
                Incarnation aIncarnation,
                std::uint64_t aTargetsDigest) -> KeyPullReply;
  auto OnRejoinReply(const Endpoint& aFrom, const KeyPullReply& aReply) -> void;

  // Stops granting for good; each peer gets the records it will answer for.
  auto Resign() -> void;
  auto OnResignation(const Endpoint& aFrom,
                     std::uint64_t aTargetsDigest,
                     const KeyPullReply& aRoles) -> void;

  auto HoldsLease() const -> bool;
  auto RecordCount() const -> std::size_t;
  // Targets in the order in which they are the key's home.
  auto HomeOrder(const std::string& aCaller, const std::string& aKey) const
    -> std::vector<Endpoint>;

private:
  enum class RecordState : std::uint8_t
  {
    Running,
    Answered,
    NotRun,
    Unknown,
  };
  struct Record
  {
    AttemptId attempt;
    RecordState state = RecordState::Running;
    std::int64_t issuedMillis = 0;
    std::string answer;
  };
  struct Peer
  {
    Incarnation incarnation = 0;
    std::uint64_t heardSequence = 0;
    TimePoint heardAt;
    bool omitted = false;      // left out of the last heard list
    TimePoint omittedAt;       // last list that left it out
    TimePoint ackedUntil;      // its acknowledgements carry the lease so long
    TimePoint heardPeersUntil; // its heard list is valid so long
    std::unordered_set<Endpoint, KeyHash> heardPeers; // whom it hears
    std::uint64_t targetsDigest = 0;
  };

  auto HoldsLeaseLocked(TimePoint aNow) const -> bool;
  auto IsSilent(const Endpoint& aTarget, TimePoint aNow) const -> bool;
  // Wall time since which this process answers for the key; nothing when it
  // does not hold the role.
  auto RoleSince(const std::string& aId, TimePoint aNow)
    -> std::optional<std::int64_t>;
  auto HasFormerMajoritySwitched() const -> bool;
  auto RefreshLease(TimePoint aNow) -> void;
  auto RefreshTakeovers(TimePoint aNow) -> void;
  auto BeginRejoin(TimePoint aNow) -> void;
  auto FinishRejoin() -> void;
  // Wall time since which this home answers for all of its own keys.
  auto AllRolesSince() const -> std::int64_t;
  auto RecordReturn(const Endpoint& aPeer, Incarnation aIncarnation) -> void;
  auto CurrentHome(const std::string& aId) const -> Endpoint;
  auto Store(const std::string& aId, Record aRecord) -> void;
  auto ExportTo(const Endpoint& aRequester, KeyPullReply& aReply) const -> void;
  auto EvictRecords() -> void;
  auto MergeRecords(const KeyPullReply& aReply) -> void;

  KeyHomeInit init_;
  const Clock& clock_;
  mutable std::mutex mutex_;
  std::vector<Endpoint> targets_;
  std::vector<Endpoint> formerTargets_;
  std::uint64_t targetsDigest_ = 0;
  std::uint64_t formerDigest_ = 0;
  std::unordered_map<Endpoint, Peer, KeyHash> peers_;
  std::deque<TimePoint> heartbeatSentAt_;
  std::uint64_t sequence_ = 0;
  bool hadLease_ = false;
  TimePoint leaseUntil_;
  std::int64_t ownRoleSince_ = 0;  // role by rendezvous alone
  std::int64_t switchedSince_ = 0; // first lease under the present targets
  // Role inherited from former homes, by former home.
  std::unordered_map<Endpoint, std::int64_t, KeyHash> inheritedSince_;
  std::unordered_set<Endpoint, KeyHash> pendingPulls_;
  std::unordered_set<Endpoint, KeyHash> switchedPeers_;
  std::unordered_map<Endpoint, std::int64_t, KeyHash> resignedPeers_;
  TimePoint switchedAt_;
  // Rejoining after a lost lease.
  std::unordered_set<Endpoint, KeyHash> pendingRejoins_;
  std::unordered_map<Endpoint, TimePoint, KeyHash> roleReturnedAt_;
  TimePoint rejoinStartedAt_;
  std::int64_t rejoinSince_ = 0;
  std::int64_t leaseRegainedAt_ = 0;
  bool rejoinComplete_ = false;
  bool hasEverHeldLease_ = false;
  std::int64_t startedAt_ = 0;
  bool hadLeaseAtSwitch_ = false;
  bool hasResigned_ = false;
  // Roles taken over from silent targets, by target.
  std::unordered_map<Endpoint, std::int64_t, KeyHash> activeTakeovers_;
  // Since when this process has recorded what it granted in a target's
  // place; kept until that target asks for it.
  struct Takeover
  {
    std::int64_t since = 0;
    Incarnation silentIncarnation = 0;   // the incarnation that fell silent
    Incarnation returnedIncarnation = 0; // the first one heard after it
  };
  std::unordered_map<Endpoint, Takeover, KeyHash> recordedTakeovers_;
  std::unordered_map<std::string, Record> records_;
  std::deque<std::string> evictionOrder_;
  std::int64_t evictedBefore_ = 0;
};

} // namespace damaskwalk
