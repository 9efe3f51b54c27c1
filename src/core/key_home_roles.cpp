// Transfer of roles and records between key homes: after a change of the
// targets, when a home rejoins, and when one resigns.

#include "core/key_home.h"

namespace damaskwalk {

// Peers may have taken this home's role over, and a restarted home has lost its
// records, so it asks its peers before it grants again.
auto KeyHome::BeginRejoin(TimePoint aNow) -> void
{
  activeTakeovers_.clear();
  pendingRejoins_.clear();
  rejoinStartedAt_ = aNow;
  rejoinSince_ = 0;
  rejoinComplete_ = true;
  leaseRegainedAt_ = WallMillis(clock_.Wall());
  // Peers may also have taken over the roles of those that resigned.
  for (auto& [endpoint, since] : resignedPeers_) {
    since = std::max(since, leaseRegainedAt_);
  }
  for (const auto& [endpoint, peer] : peers_) {
    pendingRejoins_.insert(endpoint);
  }
  if (pendingRejoins_.empty()) {
    rejoinComplete_ = false;
    FinishRejoin();
  }
}

auto KeyHome::FinishRejoin() -> void
{
  const auto since = rejoinComplete_ ? rejoinSince_ : leaseRegainedAt_;
  ownRoleSince_ = std::max(ownRoleSince_, since);
  hasEverHeldLease_ = true;
}

auto KeyHome::PendingRejoins() const -> std::vector<Endpoint>
{
  const std::lock_guard lock(mutex_);
  return { pendingRejoins_.begin(), pendingRejoins_.end() };
}

auto KeyHome::OnRejoin(const Endpoint& aRequester,
                       Incarnation aIncarnation,
                       std::uint64_t aTargetsDigest) -> KeyPullReply
{
  const std::lock_guard lock(mutex_);
  KeyPullReply reply;
  if (aTargetsDigest != targetsDigest_) {
    return reply;
  }
  const auto now = clock_.Now();
  RefreshLease(now);
  RecordReturn(aRequester, aIncarnation);
  const auto takeover = recordedTakeovers_.find(aRequester);
  const bool tookOver = takeover != recordedTakeovers_.end() &&
                        takeover->second.returnedIncarnation == aIncarnation;
  reply.complete = 1;
  reply.tookOver = tookOver ? 1 : 0;
  reply.roleSinceMillis =
    std::max(startedAt_, tookOver ? takeover->second.since : 0);
  activeTakeovers_.erase(aRequester);
  recordedTakeovers_.erase(aRequester);
  resignedPeers_.erase(aRequester);
  roleReturnedAt_[aRequester] = now;
  ExportTo(aRequester, reply);
  return reply;
}

// The records of a takeover serve the first new incarnation that returns. An
// unchanged incarnation kept its own records and may have granted meanwhile, so
// the takeover is dropped.
auto KeyHome::RecordReturn(const Endpoint& aPeer, Incarnation aIncarnation)
  -> void
{
  const auto found = recordedTakeovers_.find(aPeer);
  if (found == recordedTakeovers_.end()) {
    return;
  }
  if (aIncarnation == found->second.silentIncarnation) {
    recordedTakeovers_.erase(found);
  } else if (found->second.returnedIncarnation == 0) {
    found->second.returnedIncarnation = aIncarnation;
  }
}

auto KeyHome::OnRejoinReply(const Endpoint& aFrom, const KeyPullReply& aReply)
  -> void
{
  const std::lock_guard lock(mutex_);
  if (pendingRejoins_.erase(aFrom) == 0) {
    return;
  }
  MergeRecords(aReply);
  // Only a peer that took the role over has the records that a restarted home
  // lost.
  const bool isAuthoritative =
    aReply.complete != 0 && (hasEverHeldLease_ || aReply.tookOver != 0);
  rejoinComplete_ = rejoinComplete_ && isAuthoritative;
  rejoinSince_ = std::max(rejoinSince_, aReply.roleSinceMillis);
  if (pendingRejoins_.empty()) {
    FinishRejoin();
  }
}

auto KeyHome::PendingPulls() const -> std::vector<Endpoint>
{
  const std::lock_guard lock(mutex_);
  return { pendingPulls_.begin(), pendingPulls_.end() };
}

auto KeyHome::OnPull(const Endpoint& aRequester,
                     std::uint64_t aTargetsDigest,
                     std::uint64_t aFormerDigest) -> KeyPullReply
{
  const std::lock_guard lock(mutex_);
  KeyPullReply reply;
  if (aTargetsDigest != targetsDigest_) {
    reply.roleSinceMillis = KeyPullReply::kOtherTargets;
    return reply;
  }
  // A requester with other former targets asks for other roles than those that
  // this home held, so the reply is incomplete.
  reply.complete = hadLeaseAtSwitch_ && aFormerDigest == formerDigest_ ? 1 : 0;
  reply.roleSinceMillis = ownRoleSince_;
  ExportTo(aRequester, reply);
  return reply;
}

auto KeyHome::ExportResignation(const Endpoint& aPeer) -> KeyPullReply
{
  const std::lock_guard lock(mutex_);
  KeyPullReply reply;
  reply.complete = hadLeaseAtSwitch_ ? 1 : 0;
  reply.roleSinceMillis = AllRolesSince();
  ExportTo(aPeer, reply);
  return reply;
}

auto KeyHome::FormerDigest() const -> std::uint64_t
{
  const std::lock_guard lock(mutex_);
  return formerDigest_;
}

auto KeyHome::ExportTo(const Endpoint& aRequester, KeyPullReply& aReply) const
  -> void
{
  for (const auto& [id, record] : records_) {
    // Any peer may take over the role of a home that resigned, so each gets all
    // records.
    if (hasResigned_ || CurrentHome(id) == aRequester) {
      aReply.records.push_back({ id,
                                 record.attempt,
                                 static_cast<std::uint8_t>(record.state),
                                 record.issuedMillis,
                                 record.answer });
    }
  }
}

auto KeyHome::MergeRecords(const KeyPullReply& aReply) -> void
{
  for (const auto& record : aReply.records) {
    if (record.state > static_cast<std::uint8_t>(RecordState::Unknown) ||
        records_.contains(record.key)) {
      continue;
    }
    Store(record.key,
          { record.attempt,
            static_cast<RecordState>(record.state),
            record.issuedMillis,
            record.answer });
  }
}

auto KeyHome::OnPullReply(const Endpoint& aFrom, const KeyPullReply& aReply)
  -> void
{
  const std::lock_guard lock(mutex_);
  // A peer that still uses other targets may hold a lease under them and go on
  // granting; it is asked again.
  if (!pendingPulls_.contains(aFrom) ||
      aReply.roleSinceMillis == KeyPullReply::kOtherTargets) {
    return;
  }
  MergeRecords(aReply);
  pendingPulls_.erase(aFrom);
  switchedPeers_.insert(aFrom);
  if (aReply.complete != 0) {
    inheritedSince_[aFrom] = aReply.roleSinceMillis;
  }
}

auto KeyHome::Resign() -> void
{
  const std::lock_guard lock(mutex_);
  RefreshLease(clock_.Now());
  hadLeaseAtSwitch_ = holdsLease_ && pendingRejoins_.empty();
  hasResigned_ = true;
}

auto KeyHome::OnResignation(const Endpoint& aFrom,
                            std::uint64_t aTargetsDigest,
                            const KeyPullReply& aRoles) -> void
{
  const std::lock_guard lock(mutex_);
  const auto found = peers_.find(aFrom);
  if (found == peers_.end() || aTargetsDigest != targetsDigest_) {
    return;
  }
  MergeRecords(aRoles);
  if (aRoles.complete == 0) {
    return;
  }
  resignedPeers_[aFrom] = aRoles.roleSinceMillis;
  found->second.omitted = true;
  found->second.omittedAt = clock_.Now();
}

} // namespace damaskwalk
