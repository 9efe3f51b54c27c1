#include "relay/read_schedule.h"

#include "relay/limits.h"

#include <algorithm>
#include <unordered_set>

namespace damaskwalk {

namespace {

constexpr std::uint64_t kReaderKey = 21;
constexpr std::uint64_t kStartKey = 27;

auto ReaderWeight(const Endpoint& aAgent) -> std::uint64_t
{
  return Mix(HashOf(aAgent), kReaderKey);
}

} // namespace

auto ReaderRank(const FleetState& aState,
                const PeerTable& aPeers,
                const Endpoint& aSelf) -> std::uint32_t
{
  // An agent may have several registrations.
  const auto weight = ReaderWeight(aSelf);
  std::unordered_set<std::uint64_t> ahead;
  bool isOpen = false;
  for (const auto& known : aState.KnownTargets()) {
    const bool isSelf = known.target.agent == aSelf;
    if (known.standing != TargetStanding::Open ||
        (!isSelf && !aState.IsInUse(known.target.service))) {
      continue;
    }
    const auto other = ReaderWeight(known.target.agent);
    isOpen |= isSelf;
    if (other > weight &&
        aPeers.CountsAsAgent(known.target.agent.ip, known.since)) {
      ahead.insert(other);
    }
  }
  return isOpen ? static_cast<std::uint32_t>(ahead.size())
                : kMaxStoreTakeoverRank;
}

auto StartReadDelay(const StartInit& aInit) -> Millis
{
  const bool isSeed =
    std::ranges::find(aInit.seeds, aInit.self) != aInit.seeds.end();
  if (isSeed || aInit.seeds.empty()) {
    return Millis{ 0 };
  }
  const auto draw = Mix(aInit.self, kStartKey);
  const bool isEarly = draw % kProcessesPerEarlyReader == 0;
  const auto restart = isEarly ? kRestartReadDelay : kLateRestartReadDelay;
  const auto delay = aInit.firstStart ? kFirstStartReadDelay : restart;
  // Spreads the reads of those whose seeds do not answer.
  const auto spread = (draw / kProcessesPerEarlyReader) %
                      static_cast<std::uint64_t>(delay.count());
  return delay + Millis{ static_cast<std::int64_t>(spread) };
}

auto ToText(ReadCause aCause) -> const char*
{
  switch (aCause) {
    case ReadCause::Start:
      return "start";
    case ReadCause::Periodic:
      return "periodic";
    case ReadCause::Takeover:
      return "takeover";
    default:
      return "retry";
  }
}

ReadSchedule::ReadSchedule(const Clock& aClock, Millis aStartDelay)
  : clock_(aClock)
  , startReadAt_(aClock.Now() + aStartDelay)
  , nextAllowed_(aClock.Now())
{
}

auto ReadSchedule::IsDue(std::uint32_t aRank, std::optional<Millis> aAge) const
  -> bool
{
  if (clock_.Now() < nextAllowed_) {
    return false;
  }
  if (!aAge) {
    return clock_.Now() >= startReadAt_;
  }
  const auto steps = std::min(aRank, kMaxStoreTakeoverRank);
  const auto threshold =
    aRank == 0 ? kStoreReadPeriod
               : kStoreTakeoverDelay + steps * kStoreTakeoverDelayPerRank;
  return *aAge >= threshold;
}

auto ReadSchedule::CauseOf(std::uint32_t aRank,
                           std::optional<Millis> aAge) const -> ReadCause
{
  if (failed_) {
    return ReadCause::Retry;
  }
  if (!aAge) {
    return ReadCause::Start;
  }
  return aRank == 0 ? ReadCause::Periodic : ReadCause::Takeover;
}

auto ReadSchedule::OnReadFinished(bool aSucceeded) -> void
{
  failed_ = !aSucceeded;
  ++reads_;
  nextAllowed_ =
    clock_.Now() + (aSucceeded ? kMinStoreReadGap : kStoreRetryDelay);
}

auto ReadSchedule::WantsRoutes() const -> bool
{
  return reads_ % kReadsPerRouteRead == 0;
}

} // namespace damaskwalk
