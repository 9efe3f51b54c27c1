#include "relay/pull_schedule.h"

#include "relay/limits.h"

#include <algorithm>

namespace damaskwalk {

PullSchedule::PullSchedule(const Clock& aClock)
  : clock_(aClock)
{
}

auto PullSchedule::Begin(std::uint32_t aPeer) -> bool
{
  const auto now = clock_.Now();
  const bool replyPending =
    std::ranges::any_of(running_, [now](const auto& aEntry) {
      return now - aEntry.second < kNextPullDelay;
    });
  if (replyPending || running_.size() >= kMaxConcurrentPulls) {
    return false;
  }
  return running_.try_emplace(aPeer, now).second;
}

auto PullSchedule::End(std::uint32_t aPeer) -> void
{
  running_.erase(aPeer);
}

} // namespace damaskwalk
