#pragma once

// One token bucket for all control bytes of a process.

#include "core/clock.h"
#include "wire/messages.h"

#include <array>
#include <mutex>

namespace damaskwalk {

// In the order in which they give way: the last is dropped first.
enum class ControlClass : std::uint8_t
{
  Liveness,  // probes, heartbeats
  Document,  // adverts and pulls
  Directory, // registrations and look-ups
  Hint,      // hints to balancers
  Data,      // callers' packets and requests: not counted
};

constexpr std::size_t kControlClasses = 4;

struct BudgetInit
{
  std::uint32_t bytesPerSecond = 5000;
  std::uint32_t burstBytes = 65536;
};

// What one class has spent.
struct BudgetUsage
{
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  std::uint64_t refused = 0;
};

// A send that finds no tokens is refused, so an overrun cannot happen. Each
// class leaves a reserve to those before it. Thread safe.
class ControlBudget
{
public:
  ControlBudget(const BudgetInit& aInit, TimePoint aNow);

  auto TrySpend(ControlClass aClass, std::size_t aBytes, TimePoint aNow)
    -> bool;
  auto UsageOf(ControlClass aClass) const -> BudgetUsage;
  auto TotalBytes() const -> std::uint64_t;

private:
  BudgetInit init_;
  mutable std::mutex mutex_;
  double tokens_;
  TimePoint lastRefill_;
  std::array<BudgetUsage, kControlClasses> use_{};
};

auto ClassOf(const Message& aMessage) -> ControlClass;
auto ToText(ControlClass aClass) -> const char*;

} // namespace damaskwalk
