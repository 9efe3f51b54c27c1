#include "relay/read_schedule.h"

#include "relay/limits.h"

#include <algorithm>

namespace damaskwalk {

namespace {

constexpr std::uint64_t kReaderKey = 21;

auto ReaderWeight(const Endpoint& aAgent) -> std::uint64_t
{
  return Mix(HashOf(aAgent), kReaderKey);
}

} // namespace

auto ReaderRank(const FleetState& aState, const Endpoint& aSelf)
  -> std::uint32_t
{
  const auto* own = aSelf.IsValid() ? aState.FindAgent(aSelf) : nullptr;
  if (!own || own->standing != TargetStanding::Open) {
    return kMaxStoreTakeoverRank;
  }
  const auto weight = ReaderWeight(aSelf);
  const auto ahead = std::ranges::count_if(
    aState.KnownTargets(), [weight](const KnownTarget& aKnown) {
      return aKnown.standing == TargetStanding::Open &&
             ReaderWeight(aKnown.target.agent) > weight;
    });
  return static_cast<std::uint32_t>(ahead);
}

ReadSchedule::ReadSchedule(const Clock& aClock)
  : clock_(aClock)
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
    return true;
  }
  const auto steps = std::min(aRank, kMaxStoreTakeoverRank);
  const auto threshold =
    aRank == 0 ? kStoreReadPeriod
               : kStoreTakeoverDelay + steps * kStoreTakeoverDelayPerRank;
  return *aAge >= threshold;
}

auto ReadSchedule::OnReadFinished(bool aSucceeded) -> void
{
  reads_ += aSucceeded ? 1 : 0;
  nextAllowed_ = clock_.Now() + (aSucceeded ? Millis{ 0 } : kStoreRetryDelay);
}

auto ReadSchedule::WantsRoutes() const -> bool
{
  return reads_ % kReadsPerRouteRead == 0;
}

} // namespace damaskwalk
