#pragma once

// Token bucket for the control traffic of a process.

#include "core/clock.h"
#include "wire/messages.h"

#include <array>
#include <mutex>

namespace damaskwalk {

// Ordered by priority: when tokens run short, the last class is refused first.
enum class ControlClass : std::uint8_t
{
  Liveness,  // probes, heartbeats
  Document,  // adverts, pulls and their replies
  Directory, // registrations and lookups
  Hint,      // hints to balancers
  Data,      // traffic of callers and operators: neither counted nor limited
};

constexpr std::size_t kControlClasses = 4;

struct BudgetInit
{
  std::uint32_t bytesPerSecond = 5000;
  std::uint32_t burstBytes = 65536;
};

// Usage of one class since the process started.
struct BudgetUsage
{
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
  std::uint64_t refused = 0;
};

// A message that finds too few tokens is refused, so the budget is never
// exceeded. Each class leaves a share of the burst to the classes of higher
// priority. Thread safe.
class ControlBudget
{
public:
  ControlBudget(const BudgetInit& aInit, TimePoint aNow);

  // @return false when the message must not be sent.
  auto TrySpend(ControlClass aClass, std::size_t aBytes, TimePoint aNow)
    -> bool;
  auto UsageOf(ControlClass aClass) const -> BudgetUsage;
  auto TotalBytes() const -> std::uint64_t;

private:
  BudgetInit init_;
  mutable std::mutex mutex_;
  double tokens_;
  TimePoint lastRefill_;
  std::array<BudgetUsage, kControlClasses> usage_{};
};

auto ClassOf(const Message& aMessage) -> ControlClass;
auto ToText(ControlClass aClass) -> const char*;

} // namespace damaskwalk
