#include "relay/state_transfer.h"

namespace damaskwalk {

StateTransfer::StateTransfer(FleetState& aState)
  : state_(aState)
{
}

auto StateTransfer::MakeRequest() const -> StateRequest
{
  StateRequest request{ state_.Digest(), true };
  if (wantsWhole_) {
    request.have.targets = 0;
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
  if (!state_.HasState()) {
    return reply;
  }
  if (reply.digest.routes > aRequest.have.routes) {
    reply.routes.push_back(state_.Routes());
  }
  const bool hasNewerTargets =
    reply.digest.targets > aRequest.have.targets &&
    reply.digest.targetsHash != aRequest.have.targetsHash;
  if (!hasNewerTargets) {
    return reply;
  }
  auto delta = aRequest.acceptsDeltas ? log_.Since(aRequest.have.targetsHash)
                                      : std::nullopt;
  if (delta) {
    ++counts_.deltasSent;
    delta->revision = reply.digest.targets;
    reply.deltas.push_back(std::move(*delta));
  } else {
    ++counts_.wholeSent;
    reply.targets.push_back(state_.Targets());
  }
  return reply;
}

auto StateTransfer::Apply(StateReply aReply, Millis aTook) -> bool
{
  bool changed = false;
  for (auto& table : aReply.routes) {
    changed |= state_.UpdateRoutes(std::move(table));
  }
  const auto age = aReply.digest.age + aTook;
  for (const auto& set : aReply.targets) {
    wantsWhole_ = false;
    changed |= state_.UpdateTargets(set, age);
  }
  for (const auto& delta : aReply.deltas) {
    if (delta.toHash == state_.Digest().targetsHash) {
      continue; // another peer was faster
    }
    if (const auto set = ApplyDelta(state_.Targets(), delta)) {
      changed |= state_.UpdateTargets(*set, age);
    } else {
      ++counts_.deltasRefused;
      wantsWhole_ = true;
    }
  }
  return changed;
}

} // namespace damaskwalk
