#pragma once

#include <chrono>
#include <ctime>

namespace damaskwalk {

using TimePoint = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Millis = std::chrono::milliseconds;

// Source of time. Code that decides by time takes a Clock instead of reading
// the system's, so that tests can set the time.
class Clock
{
public:
  virtual ~Clock() = default;
  // Monotonic time; advances while the process is paused.
  virtual auto Now() const -> TimePoint = 0;
  // Wall-clock time, compared with the issue times in callers' requests.
  virtual auto Wall() const -> WallTime = 0;
};

class SystemClock final : public Clock
{
public:
  auto Now() const -> TimePoint override
  {
    return std::chrono::steady_clock::now();
  }
  auto Wall() const -> WallTime override
  {
    return std::chrono::system_clock::now();
  }
};

// As SystemClock, but its monotonic time advances while the VM is suspended, so
// that ages are correct after it resumes.
class BootClock final : public Clock
{
public:
  auto Now() const -> TimePoint override
  {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint{ std::chrono::seconds{ now.tv_sec } +
                      std::chrono::nanoseconds{ now.tv_nsec } };
  }
  auto Wall() const -> WallTime override
  {
    return std::chrono::system_clock::now();
  }
};

// Test clock: both times advance only by Advance.
class ManualClock final : public Clock
{
public:
  auto Now() const -> TimePoint override { return TimePoint{ offset_ }; }
  auto Wall() const -> WallTime override { return WallTime{ offset_ }; }
  auto Advance(Millis aStep) -> void { offset_ += aStep; }

private:
  Millis offset_{ 1000000 };
};

inline auto WallMillis(WallTime aTime) -> std::int64_t
{
  return std::chrono::duration_cast<Millis>(aTime.time_since_epoch()).count();
}

} // namespace damaskwalk
