#pragma once

// The latest events of this process, kept in memory for the `explain` command,
// which shows what was decided and why.

#include "core/clock.h"
#include "core/config.h"

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace damaskwalk {

struct JournalEvent
{
  std::int64_t wallMillis = 0;
  // Text of key=value pairs, as in the log.
  std::string text;
};

// Holds the latest kMaxJournalEvents events. Thread safe.
class Journal
{
public:
  explicit Journal(const Clock& aClock)
    : clock_(aClock)
  {
  }

  auto Add(std::string aText) -> void
  {
    const std::lock_guard lock(mutex_);
    events_.push_back({ WallMillis(clock_.Wall()), std::move(aText) });
    if (events_.size() > kMaxJournalEvents) {
      events_.pop_front();
    }
  }

  // Events whose text contains the substring, oldest first.
  auto Find(const std::string& aSubstring, std::size_t aMaxCount) const
    -> std::vector<JournalEvent>
  {
    const std::lock_guard lock(mutex_);
    std::vector<JournalEvent> found;
    for (const auto& event : events_) {
      if (found.size() < aMaxCount &&
          event.text.find(aSubstring) != std::string::npos) {
        found.push_back(event);
      }
    }
    return found;
  }

private:
  const Clock& clock_;
  mutable std::mutex mutex_;
  std::deque<JournalEvent> events_;
};

} // namespace damaskwalk
