#include "relay/opening_mover.h"

#include "relay/limits.h"
#include "relay/placement.h"

#include <algorithm>
#include <array>

namespace damaskwalk {

using std::chrono::duration_cast;
using std::chrono::microseconds;

namespace {

auto IsInRange(const BackendLoad& aLoad) -> bool
{
  constexpr std::uint32_t kHundredths = 100;
  return aLoad.slots > 0 && aLoad.serviceMicros > 0 &&
         microseconds{ aLoad.serviceMicros } <= kMaxReportedServiceTime &&
         aLoad.inFlight <= kMaxReportedInFlight &&
         aLoad.meanInFlightHundredths <= kMaxReportedInFlight * kHundredths &&
         aLoad.failurePerMille <= kMaxReportedPerMille;
}

} // namespace

OpeningMover::OpeningMover(const Endpoint& aSelf,
                           const FleetState& aState,
                           const PeerTable& aPeers,
                           const Clock& aClock)
  : self_(aSelf)
  , state_(aState)
  , peers_(aPeers)
  , order_(aState, aPeers)
  , clock_(aClock)
  , random_(HashOf(aSelf))
{
}

auto OpeningMover::Choose(const WaitingOpening& aOpening,
                          ServiceId aService,
                          microseconds aWaitHere) -> std::optional<Endpoint>
{
  const auto now = clock_.Now();
  const auto left =
    duration_cast<microseconds>(aOpening.objectiveDeadline - now) -
    kFirstRequestDelay;
  if (aOpening.tag.hops != 0 || aWaitHere <= left) {
    return std::nullopt;
  }
  ForgetOldMoves();
  const auto* self = FindSelf(aService);
  const auto& targets = state_.TargetsOfService(aService);
  if (!self || targets.empty() || moves_.size() >= kMaxRememberedMoves) {
    return std::nullopt;
  }
  const auto objective = duration_cast<microseconds>(
    aOpening.objectiveDeadline - aOpening.firstSentAt);
  // An answer is expected within this time, or the move is not worth it.
  const auto limit =
    std::min<microseconds>(aWaitHere - objective / kMinMoveGainDivisor, left);
  if (limit <= microseconds{ 0 }) {
    return std::nullopt;
  }
  const auto last = lastChoice_.find(aOpening.flow);
  std::array<std::size_t, 2 * kMaxMoveCandidates> compared{};
  std::size_t near = 0;
  std::size_t far = 0;
  std::optional<Endpoint> best;
  auto least = limit;
  std::uniform_int_distribution<std::size_t> pick(0, targets.size() - 1);
  for (std::size_t i = 0; i < kMaxMoveDraws && near < kMaxMoveCandidates; ++i) {
    const auto index = targets[pick(random_)];
    const auto& known = state_.KnownTargets()[index];
    const auto& agent = known.target.agent;
    const bool isNear =
      known.target.failureDomain == self->target.failureDomain;
    const auto end = compared.begin() + static_cast<std::ptrdiff_t>(near + far);
    if (agent == self_ || (!isNear && far >= kMaxMoveCandidates) ||
        (last != lastChoice_.end() && last->second == agent.ip) ||
        std::find(compared.begin(), end, index) != end) {
      continue;
    }
    const auto* peer = UsableReport(known, aService);
    if (!peer) {
      continue;
    }
    compared[near + far] = index;
    ++(isNear ? near : far);
    const auto expected = ExpectedTime(known, *peer) +
                          (isNear ? microseconds{ 0 } : kCrossDomainCost);
    if (expected < least || (!best && expected == limit)) {
      least = expected;
      best = agent;
    }
  }
  return best;
}

auto OpeningMover::FindSelf(ServiceId aService) const -> const KnownTarget*
{
  for (const auto index : state_.TargetsAt(self_)) {
    const auto& known = state_.KnownTargets()[index];
    if (known.target.service == aService) {
      return &known;
    }
  }
  return nullptr;
}

auto OpeningMover::OnMoved(const FlowKey& aFlow, const Endpoint& aAgent) -> void
{
  const auto now = clock_.Now();
  moves_.push_back({ now, aFlow, aAgent.ip });
  movedTo_[aAgent.ip].push_back(now);
  lastChoice_[aFlow] = aAgent.ip;
}

auto OpeningMover::ForgetOldMoves() -> void
{
  const auto now = clock_.Now();
  while (!moves_.empty() && now - moves_.front().at > kMaxFirstPacketAge) {
    const auto& move = moves_.front();
    const auto moved = movedTo_.find(move.agentIp);
    moved->second.pop_front();
    if (moved->second.empty()) {
      movedTo_.erase(moved);
    }
    const auto last = lastChoice_.find(move.flow);
    if (last != lastChoice_.end() && last->second == move.agentIp) {
      lastChoice_.erase(last);
    }
    moves_.pop_front();
  }
}

auto OpeningMover::UsableReport(const KnownTarget& aKnown,
                                ServiceId aService) const -> const PeerRecord*
{
  const auto* peer = peers_.Find(aKnown.target.agent.ip);
  if (!peer || !peer->hasLoad ||
      clock_.Now() - peer->loadAt > kMaxMoveReportAge ||
      peer->load.service != aService || !IsInRange(peer->load)) {
    return nullptr;
  }
  // A cold server with a limit reports little load although it takes few flows.
  const auto* limits = state_.LimitsOf(aService);
  if (limits && limits->coldFlowsPerSecond > 0 &&
      clock_.Now() < aKnown.coldUntil) {
    return nullptr;
  }
  return order_.AcceptsNewFlows(aKnown) ? peer : nullptr;
}

auto OpeningMover::ExpectedTime(const KnownTarget& aKnown,
                                const PeerRecord& aPeer) const -> microseconds
{
  microseconds service{ aPeer.load.serviceMicros };
  if (clock_.Now() < aKnown.coldUntil) {
    service = microseconds{ static_cast<std::int64_t>(double(service.count()) *
                                                      kColdFactor) };
  }
  auto load = aPeer.load;
  load.slots = aKnown.target.slots;
  return ExpectedAnswerTime(
    load, MovedSince(aKnown.target.agent.ip, aPeer.loadAt), service);
}

auto OpeningMover::MovedSince(std::uint32_t aIp, TimePoint aReportedAt) const
  -> std::uint32_t
{
  const auto found = movedTo_.find(aIp);
  if (found == movedTo_.end()) {
    return 0;
  }
  const auto& moves = found->second;
  const auto first =
    std::ranges::upper_bound(moves, aReportedAt - kMoveReportDelay);
  return static_cast<std::uint32_t>(moves.end() - first);
}

} // namespace damaskwalk
