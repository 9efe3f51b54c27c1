#include "core/key_home.h"

#include "core/rendezvous.h"

#include <algorithm>

namespace damaskwalk {

namespace {

constexpr std::size_t kMaxSendTimes = 32;
// No role is taken over within this time after its holder's lease ended.
constexpr Millis kTakeoverDelay = kDeadTimeout - kKeyLease;
// Longest wait of a home for the records of its peers.
constexpr Millis kRecordPullTimeout{ 800 };

auto IdOf(const std::string& aCaller, const std::string& aKey) -> std::string
{
  return aCaller + "|" + aKey;
}

} // namespace

KeyHome::KeyHome(const KeyHomeInit& aInit, const Clock& aClock)
  : init_(aInit)
  , clock_(aClock)
  , startedAt_(WallMillis(aClock.Wall()))
{
}

auto KeyHome::HomeOrder(const std::string& aCaller,
                        const std::string& aKey) const -> std::vector<Endpoint>
{
  const std::lock_guard lock(mutex_);
  return RendezvousOrder(HashText(IdOf(aCaller, aKey)), targets_);
}

auto KeyHome::TargetsDigest() const -> std::uint64_t
{
  const std::lock_guard lock(mutex_);
  return targetsDigest_;
}

auto KeyHome::SetTargets(const std::vector<Endpoint>& aTargets) -> void
{
  const std::lock_guard lock(mutex_);
  std::uint64_t digest = 1;
  for (const auto& target : aTargets) {
    digest += Mix(HashOf(target), 7);
  }
  if (digest == targetsDigest_) {
    return;
  }
  const auto now = clock_.Now();
  RefreshLease(now);
  const bool wasTarget =
    std::ranges::find(targets_, init_.self) != targets_.end();
  hadLeaseAtSwitch_ =
    wasTarget && pendingRejoins_.empty() && now <= leaseUntil_ + kTakeoverDelay;
  if (wasTarget) {
    ownRoleSince_ = AllRolesSince();
  } else {
    ForgetRoles();
  }
  formerTargets_ = targets_;
  formerDigest_ = targetsDigest_;
  targets_ = aTargets;
  targetsDigest_ = digest;
  inheritedSince_.clear();
  activeTakeovers_.clear();
  recordedTakeovers_.clear();
  pendingPulls_.clear();
  switchedPeers_.clear();
  resignedPeers_.clear();
  switchedSince_ = 0;
  switchedAt_ = now;
  pendingRejoins_.clear();
  roleReturnedAt_.clear();
  for (const auto& former : formerTargets_) {
    if (former != init_.self) {
      pendingPulls_.insert(former);
    }
  }
  std::erase_if(peers_, [this](const auto& aEntry) {
    return std::ranges::find(targets_, aEntry.first) == targets_.end();
  });
  for (const auto& target : targets_) {
    if (target == init_.self) {
      continue;
    }
    const auto [found, fresh] = peers_.try_emplace(target);
    found->second.ackedUntil = {};
    found->second.heardPeersUntil = {};
    if (fresh) {
      found->second.lastHeartbeatAt = now;
    }
  }
}

// While this process was no target, other homes granted and ended attempts, so
// that neither its records nor its times hold any more.
auto KeyHome::ForgetRoles() -> void
{
  records_.clear();
  evictionOrder_.clear();
  ownRoleSince_ = 0;
  leaseUntil_ = {};
  holdsLease_ = false;
  hasEverHeldLease_ = false;
}

auto KeyHome::AllRolesSince() const -> std::int64_t
{
  // No other home can have granted a claim issued from this time on, since its
  // lease has ended by then.
  const auto withoutRecords = WallMillis(clock_.Wall()) + kKeyLease.count();
  const bool leaseLapsed = clock_.Now() > leaseUntil_ + kTakeoverDelay;
  if (!pendingRejoins_.empty() || leaseLapsed) {
    return withoutRecords;
  }
  auto since = ownRoleSince_;
  for (const auto& former : formerTargets_) {
    if (former == init_.self) {
      continue;
    }
    const auto inherited = inheritedSince_.find(former);
    if (inherited != inheritedSince_.end()) {
      since = std::max(since, inherited->second);
    } else {
      since =
        std::max(since, switchedSince_ != 0 ? switchedSince_ : withoutRecords);
    }
  }
  return since;
}

auto KeyHome::BeginHeartbeat() -> std::uint64_t
{
  const std::lock_guard lock(mutex_);
  RefreshLease(clock_.Now());
  heartbeatSentAt_.push_back(clock_.Now());
  if (heartbeatSentAt_.size() > kMaxSendTimes) {
    heartbeatSentAt_.pop_front();
  }
  return ++sequence_;
}

auto KeyHome::HeardList() -> std::vector<PeerAck>
{
  const std::lock_guard lock(mutex_);
  const auto now = clock_.Now();
  std::vector<PeerAck> heard;
  for (auto& [endpoint, peer] : peers_) {
    const bool silent = resignedPeers_.contains(endpoint) ||
                        now - peer.lastHeartbeatAt > kDeadTimeout;
    if (silent) {
      peer.omitted = true;
      peer.omittedAt = now;
      continue;
    }
    // A peer that was left out is not acknowledged for kKeyLease, so that the
    // vote for its takeover and its lease don't overlap.
    const bool withholdsAck = peer.omitted && now - peer.omittedAt <= kKeyLease;
    peer.omitted = withholdsAck;
    heard.push_back({ endpoint, withholdsAck ? 0 : peer.heardSequence });
  }
  return heard;
}

auto KeyHome::OnHeartbeat(const Endpoint& aPeer,
                          Incarnation aIncarnation,
                          std::uint64_t aSequence,
                          std::uint64_t aTargetsDigest,
                          const std::vector<PeerAck>& aHeard) -> void
{
  const std::lock_guard lock(mutex_);
  const auto found = peers_.find(aPeer);
  if (found == peers_.end()) {
    return;
  }
  const auto now = clock_.Now();
  RefreshLease(now);
  auto& peer = found->second;
  peer.targetsDigest = aTargetsDigest;
  if (aTargetsDigest != targetsDigest_) {
    return;
  }
  switchedPeers_.insert(aPeer);
  if (aIncarnation > peer.incarnation) {
    peer.incarnation = aIncarnation;
    peer.heardSequence = 0;
    resignedPeers_.erase(aPeer);
  }
  const bool outdated =
    aIncarnation < peer.incarnation || aSequence <= peer.heardSequence;
  if (outdated) {
    return;
  }
  peer.lastHeartbeatAt = now;
  peer.heardSequence = aSequence;
  RecordReturn(aPeer, aIncarnation);
  peer.heardPeers.clear();
  for (const auto& entry : aHeard) {
    peer.heardPeers.insert(entry.peer);
    if (entry.peer != init_.self || entry.sequence == 0 ||
        entry.sequence > sequence_) {
      continue;
    }
    const auto age = sequence_ - entry.sequence;
    if (age < heartbeatSentAt_.size()) {
      const auto sent = heartbeatSentAt_[heartbeatSentAt_.size() - 1 - age];
      peer.ackedUntil = std::max(peer.ackedUntil, sent + kKeyLease);
      peer.heardPeersUntil = peer.ackedUntil;
    }
  }
  RefreshLease(now);
}

auto KeyHome::HoldsLeaseLocked(TimePoint aNow) const -> bool
{
  std::size_t votes = 1;
  for (const auto& [endpoint, peer] : peers_) {
    votes += peer.ackedUntil > aNow ? 1 : 0;
  }
  const bool member = std::ranges::find(targets_, init_.self) != targets_.end();
  return member && !hasResigned_ && votes * 2 > targets_.size();
}

auto KeyHome::HoldsLease() const -> bool
{
  const std::lock_guard lock(mutex_);
  return HoldsLeaseLocked(clock_.Now());
}

auto KeyHome::RefreshLease(TimePoint aNow) -> void
{
  const bool holds = HoldsLeaseLocked(aNow);
  const auto wall = WallMillis(clock_.Wall());
  if (holds) {
    // The lease lapsed for so long that a peer may have taken the role over.
    if (!holdsLease_ && aNow > leaseUntil_ + kTakeoverDelay) {
      BeginRejoin(aNow);
    }
    if (switchedSince_ == 0 && HasFormerMajoritySwitched()) {
      switchedSince_ = wall + kKeyLease.count();
    }
    std::vector<TimePoint> ackedUntil;
    for (const auto& [endpoint, peer] : peers_) {
      ackedUntil.push_back(peer.ackedUntil);
    }
    std::ranges::sort(ackedUntil, std::greater{});
    const auto needed = targets_.size() / 2;
    leaseUntil_ = needed == 0 ? aNow + kKeyLease : ackedUntil[needed - 1];
  }
  holdsLease_ = holds;
  const bool rejoinTimedOut =
    !pendingRejoins_.empty() && aNow - rejoinStartedAt_ > kRecordPullTimeout;
  if (holds && rejoinTimedOut) {
    rejoinComplete_ = false;
    pendingRejoins_.clear();
    FinishRejoin();
  }
  RefreshTakeovers(aNow);
}

auto KeyHome::RefreshTakeovers(TimePoint aNow) -> void
{
  for (const auto& target : targets_) {
    if (target == init_.self) {
      continue;
    }
    if (!holdsLease_ || !IsSilent(target, aNow)) {
      activeTakeovers_.erase(target);
      continue;
    }
    const auto resigned = resignedPeers_.find(target);
    const auto since = resigned == resignedPeers_.end()
                         ? WallMillis(clock_.Wall())
                         : resigned->second;
    activeTakeovers_.try_emplace(target, since);
    const auto& peer = peers_.at(target);
    recordedTakeovers_.try_emplace(target,
                                   Takeover{ since, peer.incarnation, 0 });
  }
}

auto KeyHome::IsSilent(const Endpoint& aTarget, TimePoint aNow) const -> bool
{
  const auto found = peers_.find(aTarget);
  if (found == peers_.end()) {
    return false;
  }
  const auto& own = found->second;
  const auto roleReturned = roleReturnedAt_.find(aTarget);
  if (roleReturned != roleReturnedAt_.end() &&
      aNow - roleReturned->second < kDeadTimeout) {
    return false;
  }
  // This process's own vote counts only after it left the target out of a list.
  const bool ownVote = own.omitted && aNow - own.omittedAt < kKeyLease &&
                       (resignedPeers_.contains(aTarget) ||
                        aNow - own.lastHeartbeatAt > kDeadTimeout);
  std::size_t votes = ownVote ? 1 : 0;
  for (const auto& [endpoint, peer] : peers_) {
    const bool valid = peer.heardPeersUntil > aNow && endpoint != aTarget;
    votes += valid && !peer.heardPeers.contains(aTarget) ? 1 : 0;
  }
  return votes * 2 > targets_.size();
}

auto KeyHome::HasFormerMajoritySwitched() const -> bool
{
  std::size_t switched = 0;
  for (const auto& former : formerTargets_) {
    const bool hasSwitched =
      former == init_.self || switchedPeers_.contains(former);
    switched += hasSwitched ? 1 : 0;
  }
  return switched * 2 > formerTargets_.size() || formerTargets_.empty();
}

auto KeyHome::CurrentHome(const std::string& aId) const -> Endpoint
{
  for (const auto& target : RendezvousOrder(HashText(aId), targets_)) {
    if (!activeTakeovers_.contains(target)) {
      return target;
    }
  }
  return {};
}

auto KeyHome::RoleSince(const std::string& aId, TimePoint aNow)
  -> std::optional<std::int64_t>
{
  RefreshLease(aNow);
  if (!holdsLease_ || !pendingRejoins_.empty()) {
    return std::nullopt;
  }
  auto since = ownRoleSince_;
  for (const auto& target : RendezvousOrder(HashText(aId), targets_)) {
    if (target == init_.self) {
      break;
    }
    const auto takeover = activeTakeovers_.find(target);
    if (takeover == activeTakeovers_.end()) {
      return std::nullopt;
    }
    since = std::max(since, takeover->second);
  }
  if (formerTargets_.empty()) {
    return since;
  }
  const auto former = RendezvousOrder(HashText(aId), formerTargets_).front();
  if (former == init_.self) {
    return since;
  }
  const auto inherited = inheritedSince_.find(former);
  if (inherited != inheritedSince_.end()) {
    return std::max(since, inherited->second);
  }
  const bool awaitingPull =
    pendingPulls_.contains(former) && aNow - switchedAt_ < kRecordPullTimeout;
  if (switchedSince_ == 0 || awaitingPull) {
    return std::nullopt;
  }
  return std::max(since, switchedSince_);
}

auto KeyHome::Claim(const KeyClaim& aClaim) -> KeyClaimReply
{
  const std::lock_guard lock(mutex_);
  const auto id = IdOf(aClaim.caller, aClaim.key);
  const auto since = RoleSince(id, clock_.Now());
  if (!since) {
    return { ClaimResult::NotHome, {} };
  }
  const auto found = records_.find(id);
  if (found != records_.end()) {
    auto& record = found->second;
    const bool same = record.attempt == aClaim.attempt;
    if (record.state == RecordState::Answered) {
      return { ClaimResult::Recorded, record.answer };
    }
    if (record.state == RecordState::Running && same) {
      return { ClaimResult::Granted, {} };
    }
    if (record.state == RecordState::NotRun && !same) {
      record.attempt = aClaim.attempt;
      record.state = RecordState::Running;
      return { ClaimResult::Granted, {} };
    }
    return { ClaimResult::Unknown, {} };
  }
  const auto wall = WallMillis(clock_.Wall());
  const auto skew = init_.clockSkew.count();
  const auto oldest = std::max(
    { *since + skew,
      evictedBefore_,
      wall - std::chrono::duration_cast<Millis>(kKeyRetention).count() });
  if (aClaim.issuedMillis < oldest || aClaim.issuedMillis > wall + skew) {
    return { ClaimResult::Unknown, {} };
  }
  Store(id, { aClaim.attempt, RecordState::Running, aClaim.issuedMillis, {} });
  return { ClaimResult::Granted, {} };
}

auto KeyHome::Store(const std::string& aId, Record aRecord) -> void
{
  const auto [found, fresh] =
    records_.insert_or_assign(aId, std::move(aRecord));
  if (fresh) {
    evictionOrder_.push_back(aId);
  }
  EvictRecords();
}

auto KeyHome::EvictRecords() -> void
{
  const auto oldest = WallMillis(clock_.Wall()) -
                      std::chrono::duration_cast<Millis>(kKeyRetention).count();
  while (!evictionOrder_.empty()) {
    const auto found = records_.find(evictionOrder_.front());
    const bool due = found == records_.end() ||
                     found->second.issuedMillis < oldest ||
                     records_.size() > init_.maxRecords;
    if (!due) {
      return;
    }
    if (found != records_.end()) {
      evictedBefore_ = std::max(evictedBefore_, found->second.issuedMillis + 1);
      records_.erase(found);
    }
    evictionOrder_.pop_front();
  }
}

auto KeyHome::OnOutcome(const KeyOutcome& aOutcome) -> void
{
  const std::lock_guard lock(mutex_);
  const auto found = records_.find(IdOf(aOutcome.caller, aOutcome.key));
  if (found == records_.end() || found->second.attempt != aOutcome.attempt ||
      found->second.state != RecordState::Running) {
    return;
  }
  auto& record = found->second;
  switch (aOutcome.outcome) {
    case Outcome::Answered:
      record.state = RecordState::Answered;
      record.answer = aOutcome.answer;
      break;
    case Outcome::NotRun:
      record.state = RecordState::NotRun;
      break;
    default:
      record.state = RecordState::Unknown;
      break;
  }
}

auto KeyHome::RecordCount() const -> std::size_t
{
  const std::lock_guard lock(mutex_);
  return records_.size();
}

} // namespace damaskwalk
