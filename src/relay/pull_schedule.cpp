#include "relay/pull_schedule.h"

#include "relay/limits.h"

namespace damaskwalk {

PullSchedule::PullSchedule(const Clock& aClock)
  : clock_(aClock)
{
}

auto PullSchedule::Begin(std::uint32_t aPeer, bool aUrgent) -> bool
{
  const auto now = clock_.Now();
  const auto delay = aUrgent ? kNextUrgentPullDelay : kNextPullDelay;
  std::size_t running = 0;
  bool replyPending = false;
  for (const auto& [peer, pull] : running_) {
    if (aUrgent && !pull.urgent) {
      continue;
    }
    ++running;
    replyPending |= now - pull.began < delay;
  }
  if (replyPending || running >= kMaxConcurrentPulls) {
    return false;
  }
  return running_.try_emplace(aPeer, Pull{ now, aUrgent }).second;
}

auto PullSchedule::End(std::uint32_t aPeer) -> void
{
  running_.erase(aPeer);
}

} // namespace damaskwalk
