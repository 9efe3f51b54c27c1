#include "relay/opening_queue.h"

#include "relay/limits.h"

#include <algorithm>
#include <set>

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

auto IsLate(const WaitingOpening& aOpening,
            TimePoint aNow,
            std::chrono::microseconds aTimeToAnswer) -> bool
{
  return aNow + aTimeToAnswer > aOpening.objectiveDeadline;
}

} // namespace

auto OpeningQueue::RankOf(const WaitingOpening& aOpening,
                          TimePoint aNow,
                          std::chrono::microseconds aTimeToAnswer) const -> Rank
{
  return { IsLate(aOpening, aNow, aTimeToAnswer),
           aOpening.priority,
           shares_.IsAboveShare(aOpening.flow.caller.ip, aNow) };
}

auto OpeningQueue::CountAhead(const WaitingOpening& aOpening,
                              TimePoint aNow,
                              std::chrono::microseconds aTimeToAnswer) const
  -> std::size_t
{
  const auto own = RankOf(aOpening, aNow, aTimeToAnswer);
  std::size_t ahead = 0;
  std::size_t aheadOfKind = 0;
  std::size_t lessUrgent = 0;
  // On-time priorities, counting this opening's.
  std::set<std::uint32_t> kinds{ aOpening.priority };
  for (const auto& entry : waiting_) {
    const auto rank = RankOf(entry, aNow, aTimeToAnswer);
    const bool late = std::get<0>(rank);
    if (!late) {
      kinds.insert(entry.priority);
    }
    if (rank <= own) {
      ++ahead;
      aheadOfKind += !late && entry.priority == aOpening.priority ? 1 : 0;
    } else {
      lessUrgent += !late && entry.priority > aOpening.priority ? 1 : 0;
    }
  }
  if (std::get<0>(own)) {
    return ahead;
  }
  if (aOpening.priority == *kinds.begin()) {
    return ahead + std::min(lessUrgent, ahead / (kAdmissionsPerFloor - 1));
  }
  const auto period = kAdmissionsPerFloor * (kinds.size() - 1);
  return std::min(ahead, (aheadOfKind + 1) * period - 1);
}

auto OpeningQueue::FloorPriority(TimePoint aNow,
                                 std::chrono::microseconds aTimeToAnswer)
  -> std::optional<std::uint32_t>
{
  std::set<std::uint32_t> kinds;
  for (const auto& entry : waiting_) {
    if (!IsLate(entry, aNow, aTimeToAnswer)) {
      kinds.insert(entry.priority);
    }
  }
  if (kinds.size() < 2 || ++sinceFloor_ < kAdmissionsPerFloor) {
    return std::nullopt;
  }
  sinceFloor_ = 0;
  // In turn, so that no priority between the most and the least urgent one is
  // left out.
  kinds.erase(kinds.begin());
  const auto next = kinds.upper_bound(lastFloorPriority_);
  lastFloorPriority_ = next == kinds.end() ? *kinds.begin() : *next;
  return lastFloorPriority_;
}

auto OpeningQueue::TakeNext(TimePoint aNow,
                            std::chrono::microseconds aTimeToAnswer)
  -> std::optional<WaitingOpening>
{
  if (waiting_.empty()) {
    return std::nullopt;
  }
  for (const auto& entry : waiting_) {
    shares_.OnWaiting(entry.flow.caller.ip, aNow);
  }
  const auto floor = FloorPriority(aNow, aTimeToAnswer);
  auto best = waiting_.end();
  Rank bestRank;
  for (auto entry = waiting_.begin(); entry != waiting_.end(); ++entry) {
    const auto rank = RankOf(*entry, aNow, aTimeToAnswer);
    if (floor && (std::get<0>(rank) || entry->priority != *floor)) {
      continue;
    }
    if (best == waiting_.end() || rank < bestRank) {
      best = entry;
      bestRank = rank;
    }
  }
  const bool late = std::get<0>(bestRank);
  for (auto entry = waiting_.begin(); entry != best; ++entry) {
    // Older ones of the same class and priority differ in their share only.
    if (entry->priority == best->priority &&
        IsLate(*entry, aNow, aTimeToAnswer) == late) {
      entry->waitedForShare = true;
    }
  }
  auto opening = std::move(*best);
  opening.takenByFloor = floor.has_value();
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
