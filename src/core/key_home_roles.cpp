// How key homes pass their roles and records on: after a change of the target
// set, when a home comes back, and when one resigns.

#include "core/key_home.h"

namespace damaskwalk {

// Others may have stood in for this home, and a restarted one has forgotten
// what it granted, so it asks its peers before it grants again.
auto KeyHome::BeginRejoin(TimePoint aNow) -> void
{
  takenOver_.clear();
  rejoins_.clear();
  rejoinBegan_ = aNow;
  rejoinSince_ = 0;
  rejoinWhole_ = true;
  regainedAt_ = WallMillis(clock_.Wall());
  // Others may have stood in for those that resigned, too.
  for (auto& [endpoint, since] : resigned_) {
    since = std::max(since, regainedAt_);
  }
  for (const auto& [endpoint, peer] : peers_) {
    rejoins_.insert(endpoint);
  }
  if (rejoins_.empty()) {
    rejoinWhole_ = false;
    FinishRejoin();
  }
}

auto KeyHome::FinishRejoin() -> void
{
  const auto since = rejoinWhole_ ? rejoinSince_ : regainedAt_;
  ownSince_ = std::max(ownSince_, since);
  everHeld_ = true;
}

auto KeyHome::RejoinsWanted() const -> std::vector<Endpoint>
{
  const std::lock_guard lock(mutex_);
  return { rejoins_.begin(), rejoins_.end() };
}

auto KeyHome::Yield(const Endpoint& aAsker,
                    Incarnation aIncarnation,
                    std::uint64_t aTargetsDigest) -> KeyPullReply
{
  const std::lock_guard lock(mutex_);
  KeyPullReply reply;
  if (aTargetsDigest != digest_) {
    return reply;
  }
  const auto now = clock_.Now();
  RefreshLease(now);
  NoteReturn(aAsker, aIncarnation);
  const auto taken = stoodIn_.find(aAsker);
  const bool tookOver =
    taken != stoodIn_.end() && taken->second.returned == aIncarnation;
  reply.complete = 1;
  reply.tookOver = tookOver ? 1 : 0;
  reply.roleSinceMillis =
    std::max(startedAt_, tookOver ? taken->second.since : 0);
  takenOver_.erase(aAsker);
  stoodIn_.erase(aAsker);
  resigned_.erase(aAsker);
  yielded_[aAsker] = now;
  ExportTo(aAsker, reply);
  return reply;
}

// A stand-in vouches for the first incarnation that comes back; one that came
// back unchanged has granted on and remembers for itself.
auto KeyHome::NoteReturn(const Endpoint& aPeer, Incarnation aIncarnation)
  -> void
{
  const auto found = stoodIn_.find(aPeer);
  if (found == stoodIn_.end()) {
    return;
  }
  if (aIncarnation == found->second.silent) {
    stoodIn_.erase(found);
  } else if (found->second.returned == 0) {
    found->second.returned = aIncarnation;
  }
}

auto KeyHome::ImportRejoin(const Endpoint& aFrom, const KeyPullReply& aReply)
  -> void
{
  const std::lock_guard lock(mutex_);
  if (rejoins_.erase(aFrom) == 0) {
    return;
  }
  Absorb(aReply);
  // Only who stood in knows what a restarted home has forgotten.
  const bool tells =
    aReply.complete != 0 && (everHeld_ || aReply.tookOver != 0);
  rejoinWhole_ = rejoinWhole_ && tells;
  rejoinSince_ = std::max(rejoinSince_, aReply.roleSinceMillis);
  if (rejoins_.empty()) {
    FinishRejoin();
  }
}

auto KeyHome::PullsWanted() const -> std::vector<Endpoint>
{
  const std::lock_guard lock(mutex_);
  return { pulls_.begin(), pulls_.end() };
}

auto KeyHome::Export(const Endpoint& aAsker,
                     std::uint64_t aTargetsDigest,
                     std::uint64_t aFormerDigest) -> KeyPullReply
{
  const std::lock_guard lock(mutex_);
  KeyPullReply reply;
  if (aTargetsDigest != digest_) {
    return reply;
  }
  // Whoever came here from another set speaks of other roles.
  reply.complete = heldAtSwitch_ && aFormerDigest == formerDigest_ ? 1 : 0;
  reply.roleSinceMillis = ownSince_;
  ExportTo(aAsker, reply);
  return reply;
}

auto KeyHome::ExportResignation(const Endpoint& aPeer) -> KeyPullReply
{
  const std::lock_guard lock(mutex_);
  KeyPullReply reply;
  reply.complete = heldAtSwitch_ ? 1 : 0;
  reply.roleSinceMillis = WholeSince();
  ExportTo(aPeer, reply);
  return reply;
}

auto KeyHome::FormerDigest() const -> std::uint64_t
{
  const std::lock_guard lock(mutex_);
  return formerDigest_;
}

auto KeyHome::ExportTo(const Endpoint& aAsker, KeyPullReply& aReply) const
  -> void
{
  for (const auto& [id, record] : records_) {
    // Whoever stands in for a home that resigned needs all that it had.
    if (resignedSelf_ || FirstHolder(id) == aAsker) {
      aReply.records.push_back({ id,
                                 record.attempt,
                                 static_cast<std::uint8_t>(record.state),
                                 record.issuedMillis,
                                 record.answer });
    }
  }
}

auto KeyHome::Absorb(const KeyPullReply& aReply) -> void
{
  for (const auto& text : aReply.records) {
    if (text.state > static_cast<std::uint8_t>(RecordState::Unknown) ||
        records_.contains(text.key)) {
      continue;
    }
    Store(text.key,
          { text.attempt,
            static_cast<RecordState>(text.state),
            text.issuedMillis,
            text.answer });
  }
}

auto KeyHome::Import(const Endpoint& aFrom, const KeyPullReply& aReply) -> void
{
  const std::lock_guard lock(mutex_);
  if (!pulls_.contains(aFrom)) {
    return;
  }
  Absorb(aReply);
  pulls_.erase(aFrom);
  switched_.insert(aFrom);
  if (aReply.complete != 0) {
    inherited_[aFrom] = aReply.roleSinceMillis;
  }
}

auto KeyHome::Resign() -> void
{
  const std::lock_guard lock(mutex_);
  RefreshLease(clock_.Now());
  heldAtSwitch_ = held_ && rejoins_.empty();
  resignedSelf_ = true;
}

auto KeyHome::TakeResignation(const Endpoint& aFrom,
                              std::uint64_t aTargetsDigest,
                              const KeyPullReply& aRoles) -> void
{
  const std::lock_guard lock(mutex_);
  const auto found = peers_.find(aFrom);
  if (found == peers_.end() || aTargetsDigest != digest_) {
    return;
  }
  Absorb(aRoles);
  if (aRoles.complete == 0) {
    return;
  }
  resigned_[aFrom] = aRoles.roleSinceMillis;
  found->second.omitted = true;
  found->second.omittedAt = clock_.Now();
}

} // namespace damaskwalk
