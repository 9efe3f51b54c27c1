#include "relay/state_transfer.h"

#include <algorithm>

namespace damaskwalk {

namespace {

constexpr std::size_t kMaxPackedStates = 3;

// Revision of targets in a reply. A packed set may be older than the revision
// that confirmed it, which the digest has.
auto RevisionOf(const StoreRevision& aSet, const StateDigest& aDigest)
  -> StoreRevision
{
  return aDigest.targets.era != 0 || aDigest.targets.number > aSet.number
           ? aDigest.targets
           : aSet;
}

auto CountPorts(const TargetSet& aSet) -> std::size_t
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aSet.targets, &RelayTarget::backendPort));
}

// True if some of the ports came from a peer that does not send them.
auto LacksPorts(const TargetSet& aSet) -> bool
{
  const auto known = CountPorts(aSet);
  return known > 0 && known < aSet.targets.size();
}

} // namespace

StateTransfer::StateTransfer(FleetState& aState)
  : state_(aState)
{
}

auto StateTransfer::MakeRequest() const -> StateRequest
{
  StateRequest request{ state_.Digest(), true, true };
  if (wantsWhole_ || LacksPorts(state_.Targets())) {
    request.have.targets = {};
    request.have.targetsHash = 0;
  }
  return request;
}

auto StateTransfer::OnTargetsChanged() -> void
{
  log_.Add(state_.Targets());
}

auto StateTransfer::MakeReply(const StateRequest& aRequest) -> StateReply
{
  StateReply reply;
  reply.digest = state_.Digest();
  if (!aRequest.acceptsOperations) {
    reply.digest.targets.era = 0;
    reply.digest.evacuations.era = 0;
  }
  if (!state_.HasState()) {
    return reply;
  }
  if (reply.digest.routes > aRequest.have.routes) {
    reply.routes.push_back(state_.Routes());
  }
  if (reply.digest.HasNewerTargetsThan(aRequest.have)) {
    AddTargets(aRequest, reply);
  }
  if (aRequest.acceptsOperations) {
    AddOperations(aRequest, reply);
  }
  if (aRequest.acceptsCompact) {
    PackReply(reply);
  }
  return reply;
}

auto StateTransfer::AddTargets(const StateRequest& aRequest, StateReply& aReply)
  -> void
{
  auto delta = aRequest.acceptsCompact ? log_.Since(aRequest.have.targetsHash)
                                       : std::nullopt;
  if (delta) {
    ++counts_.deltasSent;
    delta->revision = aReply.digest.targets;
    aReply.deltas.push_back(std::move(*delta));
  } else {
    ++counts_.wholeSent;
    aReply.targets.push_back(state_.Targets());
  }
}

auto StateTransfer::AddOperations(const StateRequest& aRequest,
                                  StateReply& aReply) const -> void
{
  const auto& digest = aReply.digest;
  const auto& have = aRequest.have;
  if (digest.HasNewerEvacuationsThan(have)) {
    aReply.evacuations.push_back(state_.CurrentEvacuations());
  }
  if (!aReply.routes.empty()) {
    aReply.limits.push_back(state_.Routes().limits);
  }
  if (!aReply.routes.empty() || digest.HasOtherHistoryThan(have)) {
    aReply.history.push_back(state_.History().Report());
  }
}

auto StateTransfer::PackReply(StateReply& aReply) -> void
{
  if (aReply.routes.empty() && aReply.targets.empty()) {
    return;
  }
  StateDigest of;
  of.routes = aReply.routes.empty() ? 0 : aReply.digest.routes;
  of.targetsHash = aReply.targets.empty() ? 0 : aReply.digest.targetsHash;
  const auto ports =
    aReply.targets.empty() ? 0 : CountPorts(aReply.targets.front());
  const auto isSame = [&](const PackedState& aPacked) {
    return aPacked.of.routes == of.routes &&
           aPacked.of.targetsHash == of.targetsHash && aPacked.ports == ports;
  };
  auto found = std::ranges::find_if(packed_, isSame);
  if (found == packed_.end()) {
    packed_.insert(packed_.begin(),
                   { of, ports, PackState(aReply.routes, aReply.targets) });
    packed_.resize(std::min(packed_.size(), kMaxPackedStates));
    found = packed_.begin();
  }
  aReply.packed = found->bytes;
  aReply.routes.clear();
  aReply.targets.clear();
}

auto StateTransfer::Apply(StateReply aReply, Millis aTook) -> bool
{
  bool changed = false;
  for (auto& table : aReply.routes) {
    if (!aReply.limits.empty()) {
      table.limits = aReply.limits.front();
    }
    changed |= state_.UpdateRoutes(std::move(table));
  }
  for (const auto& history : aReply.history) {
    changed |= state_.History().Merge(history, aReply.digest.routes, aTook);
  }
  for (auto& set : aReply.evacuations) {
    set.revision.era = aReply.digest.evacuations.era;
    changed |= !state_.UpdateEvacuations(std::move(set)).IsEmpty();
  }
  const auto age = aReply.digest.age + aTook;
  for (auto& set : aReply.targets) {
    wantsWhole_ = false;
    set.revision = RevisionOf(set.revision, aReply.digest);
    changed |= state_.UpdateTargets(set, age);
  }
  for (const auto& delta : aReply.deltas) {
    if (delta.toHash == state_.Digest().targetsHash) {
      continue; // another peer was faster
    }
    if (auto set = ApplyDelta(state_.Targets(), delta)) {
      set->revision = RevisionOf(set->revision, aReply.digest);
      changed |= state_.UpdateTargets(*set, age);
    } else {
      ++counts_.deltasRefused;
      wantsWhole_ = true;
    }
  }
  return changed;
}

} // namespace damaskwalk
