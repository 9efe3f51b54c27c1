#include "relay/opening_queue.h"

#include "relay/limits.h"

#include <algorithm>

namespace damaskwalk {

auto OpeningQueue::Add(WaitingOpening aOpening) -> void
{
  const auto found = std::ranges::find_if(
    waiting_, [&](const auto& aEntry) { return aEntry.flow == aOpening.flow; });
  if (found == waiting_.end()) {
    waiting_.push_back(std::move(aOpening));
    return;
  }
  found->bytes = std::move(aOpening.bytes);
  found->tag = aOpening.tag;
}

namespace {

// Openings are taken in this order, and in order of arrival within one rank.
auto RankOf(const WaitingOpening& aOpening,
            TimePoint aNow,
            std::chrono::microseconds aTimeToAnswer)
{
  const bool late = aNow + aTimeToAnswer > aOpening.objectiveDeadline;
  return std::pair(late, aOpening.priority);
}

} // namespace

auto OpeningQueue::CountAhead(const WaitingOpening& aOpening,
                              TimePoint aNow,
                              std::chrono::microseconds aTimeToAnswer) const
  -> std::size_t
{
  const auto own = RankOf(aOpening, aNow, aTimeToAnswer);
  return static_cast<std::size_t>(
    std::ranges::count_if(waiting_, [&](const auto& aEntry) {
      return RankOf(aEntry, aNow, aTimeToAnswer) <= own;
    }));
}

auto OpeningQueue::TakeNext(TimePoint aNow,
                            std::chrono::microseconds aTimeToAnswer)
  -> std::optional<WaitingOpening>
{
  const auto rank = [&](const WaitingOpening& aEntry) {
    return RankOf(aEntry, aNow, aTimeToAnswer);
  };
  const auto best = std::ranges::min_element(waiting_, {}, rank);
  if (best == waiting_.end()) {
    return std::nullopt;
  }
  auto opening = std::move(*best);
  waiting_.erase(best);
  return opening;
}

auto OpeningQueue::TakeExpired(TimePoint aNow,
                               std::chrono::microseconds aTimeToAnswer)
  -> std::vector<WaitingOpening>
{
  const auto expired = std::stable_partition(
    waiting_.begin(), waiting_.end(), [&](const auto& aEntry) {
      return aNow + aTimeToAnswer < aEntry.expiresAt &&
             aNow - aEntry.firstSentAt < kMaxFirstPacketAge;
    });
  std::vector<WaitingOpening> taken(std::make_move_iterator(expired),
                                    std::make_move_iterator(waiting_.end()));
  waiting_.erase(expired, waiting_.end());
  return taken;
}

auto OpeningQueue::Contains(const FlowKey& aFlow) const -> bool
{
  return std::ranges::any_of(
    waiting_, [&](const auto& aEntry) { return aEntry.flow == aFlow; });
}

auto MaxRequestsInFlight(std::uint32_t aSlots,
                         std::chrono::microseconds aServiceTime)
  -> std::uint32_t
{
  const auto most = kMaxRequestsPerSlot * aSlots + kMaxRequestsInTransit;
  const std::chrono::duration<double, std::micro> opening = kFirstRequestDelay;
  const double turns =
    opening.count() / double(std::max<std::int64_t>(aServiceTime.count(), 1));
  const double enough = aSlots * (1.0 + turns) + kMaxRequestsInTransit;
  return static_cast<std::uint32_t>(std::min<double>(most, enough));
}

auto TimeToAnswer(std::size_t aInFlight,
                  std::uint32_t aSlots,
                  std::chrono::microseconds aServiceTime)
  -> std::chrono::microseconds
{
  return kFirstRequestDelay + ExpectedWait(aInFlight, aSlots, aServiceTime);
}

auto ExpectedWait(std::size_t aAhead,
                  std::uint32_t aSlots,
                  std::chrono::microseconds aServiceTime)
  -> std::chrono::microseconds
{
  const auto slots = std::max<std::uint32_t>(aSlots, 1);
  const double turns = std::max(0.0, (double(aAhead) + 1.0) / slots - 1.0);
  return std::chrono::microseconds{ static_cast<std::int64_t>(
    double(aServiceTime.count()) * (turns + 1.0)) };
}

} // namespace damaskwalk
