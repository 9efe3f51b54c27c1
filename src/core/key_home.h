#pragma once

// Home of idempotency keys: decides whether an attempt of a non-repeatable
// request may run, so that no key runs twice.
//
// A key's home is the first of the service's published targets, in rendezvous
// order, that holds the role. A home grants claims only under a lease: a
// majority of the published targets has acknowledged its recent heartbeats.
// Another target takes the role over only after a majority reports the home
// silent for longer than that lease. A home answers Unknown for requests issued
// before it got the role, so the loss of a home can cost answers but never
// causes a second run.

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

// Thread safe; one lock. Wall times are milliseconds in std::int64_t.
class KeyHome
{
public:
  KeyHome(const KeyHomeInit& aInit, const Clock& aClock);

  // Sets the service's published targets. If they changed, the roles of the
  // former targets are pulled from them (PendingPulls).
  auto SetTargets(const std::vector<Endpoint>& aTargets) -> void;
  auto TargetsDigest() const -> std::uint64_t;

  // Heartbeats carry the lease. BeginHeartbeat returns the sequence number to
  // send, HeardList the acknowledgements to send with it. Peers that are silent
  // or have resigned are left out of the list, which is a vote for their
  // takeover.
  auto BeginHeartbeat() -> std::uint64_t;
  auto HeardList() -> std::vector<PeerAck>;
  auto OnHeartbeat(const Endpoint& aPeer,
                   Incarnation aIncarnation,
                   std::uint64_t aSequence,
                   std::uint64_t aTargetsDigest,
                   const std::vector<PeerAck>& aHeard) -> void;

  // Decides a claim. A repeated claim of the running attempt is granted again.
  auto Claim(const KeyClaim& aClaim) -> KeyClaimReply;
  // Records the outcome of a granted attempt; ignored for any other attempt.
  auto OnOutcome(const KeyOutcome& aOutcome) -> void;

  // After a change of the targets: the former targets that still have to be
  // asked for their records, and the two sides of that exchange.
  auto PendingPulls() const -> std::vector<Endpoint>;
  auto OnPull(const Endpoint& aRequester,
              std::uint64_t aTargetsDigest,
              std::uint64_t aFormerDigest) -> KeyPullReply;
  // Records to send to a peer when this home resigns.
  auto ExportResignation(const Endpoint& aPeer) -> KeyPullReply;
  auto FormerDigest() const -> std::uint64_t;
  auto OnPullReply(const Endpoint& aFrom, const KeyPullReply& aReply) -> void;

  // After a lease was gained anew: the peers that still have to be asked before
  // this home grants, and the two sides of that exchange. Pass a default reply,
  // which is incomplete, for a failed call.
  auto PendingRejoins() const -> std::vector<Endpoint>;
  auto OnRejoin(const Endpoint& aRequester,
                Incarnation aIncarnation,
                std::uint64_t aTargetsDigest) -> KeyPullReply;
  auto OnRejoinReply(const Endpoint& aFrom, const KeyPullReply& aReply) -> void;

  // Stops granting for good. The caller then sends ExportResignation to each
  // peer.
  auto Resign() -> void;
  auto OnResignation(const Endpoint& aFrom,
                     std::uint64_t aTargetsDigest,
                     const KeyPullReply& aRoles) -> void;

  auto HoldsLease() const -> bool;
  auto RecordCount() const -> std::size_t;
  // Targets in the order in which they become the key's home.
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
    TimePoint lastHeartbeatAt;
    bool omitted = false; // left out of this process's last heard list
    TimePoint omittedAt;  // time of the last list that left it out
    TimePoint ackedUntil; // until when its acknowledgements carry the lease
    TimePoint heardPeersUntil; // until when heardPeers counts
    std::unordered_set<Endpoint, KeyHash> heardPeers; // its last heard list
    std::uint64_t targetsDigest = 0;
  };

  auto ForgetRoles() -> void;
  auto HoldsLeaseLocked(TimePoint aNow) const -> bool;
  // True if a majority of the targets has omitted it from their heard lists.
  // False for kDeadTimeout after this process handed the role back to it.
  auto IsSilent(const Endpoint& aTarget, TimePoint aNow) const -> bool;
  // Time since which this process answers for the key; nullopt if it does not
  // hold the role.
  auto RoleSince(const std::string& aId, TimePoint aNow)
    -> std::optional<std::int64_t>;
  auto HasFormerMajoritySwitched() const -> bool;
  auto RefreshLease(TimePoint aNow) -> void;
  auto RefreshTakeovers(TimePoint aNow) -> void;
  auto BeginRejoin(TimePoint aNow) -> void;
  auto FinishRejoin() -> void;
  // Time since which this home answers for all keys of which it is the first
  // target.
  auto AllRolesSince() const -> std::int64_t;
  // Records the incarnation under which a peer returns whose role this process
  // took over.
  auto RecordReturn(const Endpoint& aPeer, Incarnation aIncarnation) -> void;
  // First target in the key's order whose role is not taken over.
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
  bool holdsLease_ = false;
  TimePoint leaseUntil_;
  std::int64_t ownRoleSince_ = 0; // role as first target
  // Time at which all leases under the former targets have ended; 0: unknown.
  std::int64_t switchedSince_ = 0;
  // Start of the roles inherited from former targets, by former target.
  std::unordered_map<Endpoint, std::int64_t, KeyHash> inheritedSince_;
  std::unordered_set<Endpoint, KeyHash> pendingPulls_;
  // Peers that sent a heartbeat, or replied to a pull, under the present
  // targets.
  std::unordered_set<Endpoint, KeyHash> switchedPeers_;
  // Start of the role of each peer that resigned.
  std::unordered_map<Endpoint, std::int64_t, KeyHash> resignedPeers_;
  TimePoint switchedAt_;
  // Rejoin after a lost lease, or after a start.
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
  // Start of the roles taken over from silent targets, by target.
  std::unordered_map<Endpoint, std::int64_t, KeyHash> activeTakeovers_;
  // Period for which this process has records of what it granted in a target's
  // place. Kept until that target rejoins or is heard again under an unchanged
  // incarnation, or until the targets change.
  struct Takeover
  {
    std::int64_t since = 0;
    Incarnation silentIncarnation = 0;   // incarnation that fell silent
    Incarnation returnedIncarnation = 0; // first one heard after that
  };
  std::unordered_map<Endpoint, Takeover, KeyHash> recordedTakeovers_;
  std::unordered_map<std::string, Record> records_;
  std::deque<std::string> evictionOrder_;
  // Keys issued before this time may have had a record that was evicted.
  std::int64_t evictedBefore_ = 0;
};

} // namespace damaskwalk
