#pragma once

#include <chrono>
#include <ctime>

namespace damaskwalk {

using TimePoint = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;
using Millis = std::chrono::milliseconds;

// Source of time. Decisions never read a clock of their own.
class Clock
{
public:
  virtual ~Clock() = default;
  // Monotonic time; counts while the process is paused.
  virtual auto Now() const -> TimePoint = 0;
  // Wall time, compared with the issue times that callers state.
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

// As SystemClock, but its monotonic time goes on while the VM is suspended, so
// that ages are right after it wakes.
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

// Time that moves only when told to; both times move together.
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
