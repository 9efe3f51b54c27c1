#include "core/budget.h"

#include <algorithm>

namespace damaskwalk {

namespace {

// Share of the burst that must remain after a message of the class is sent.
constexpr std::array<double, kControlClasses> kReservedShare = { 0,
                                                                 0.1,
                                                                 0.2,
                                                                 0.5 };

} // namespace

ControlBudget::ControlBudget(const BudgetInit& aInit, TimePoint aNow)
  : init_(aInit)
  , tokens_(aInit.burstBytes)
  , lastRefill_(aNow)
{
}

auto ControlBudget::TrySpend(ControlClass aClass,
                             std::size_t aBytes,
                             TimePoint aNow) -> bool
{
  if (aClass == ControlClass::Data) {
    return true;
  }
  const std::lock_guard lock(mutex_);
  const auto index = static_cast<std::size_t>(aClass);
  const auto elapsedSeconds =
    std::chrono::duration<double>(aNow - lastRefill_).count();
  tokens_ = std::min<double>(tokens_ + elapsedSeconds * init_.bytesPerSecond,
                             init_.burstBytes);
  lastRefill_ = aNow;
  auto& usage = usage_[index];
  if (tokens_ - aBytes < kReservedShare[index] * init_.burstBytes) {
    ++usage.refused;
    return false;
  }
  tokens_ -= static_cast<double>(aBytes);
  ++usage.messages;
  usage.bytes += aBytes;
  return true;
}

auto ControlBudget::UsageOf(ControlClass aClass) const -> BudgetUsage
{
  const std::lock_guard lock(mutex_);
  return usage_[static_cast<std::size_t>(aClass)];
}

auto ControlBudget::TotalBytes() const -> std::uint64_t
{
  const std::lock_guard lock(mutex_);
  std::uint64_t total = 0;
  for (const auto& usage : usage_) {
    total += usage.bytes;
  }
  return total;
}

auto ClassOf(const Message& aMessage) -> ControlClass
{
  struct Visitor
  {
    auto operator()(const Heartbeat&) { return ControlClass::Liveness; }
    auto operator()(const Probe&) { return ControlClass::Liveness; }
    auto operator()(const ProbeAck&) { return ControlClass::Liveness; }
    auto operator()(const DocumentAdvert&) { return ControlClass::Document; }
    auto operator()(const DocumentPull&) { return ControlClass::Document; }
    auto operator()(const DocumentReply&) { return ControlClass::Document; }
    auto operator()(const WrongService&) { return ControlClass::Document; }
    auto operator()(const FlowRegister&) { return ControlClass::Directory; }
    auto operator()(const FlowReject&) { return ControlClass::Directory; }
    auto operator()(const FlowLookup&) { return ControlClass::Directory; }
    auto operator()(const FlowLookupReply&) { return ControlClass::Directory; }
    auto operator()(const FlowHint&) { return ControlClass::Hint; }
    // Callers' traffic: packets, requests, idempotency keys and flows that are
    // handed over.
    auto operator()(const PacketForward&) { return ControlClass::Data; }
    auto operator()(const ExecuteRequest&) { return ControlClass::Data; }
    auto operator()(const ExecuteReply&) { return ControlClass::Data; }
    auto operator()(const KeyClaim&) { return ControlClass::Data; }
    auto operator()(const KeyClaimReply&) { return ControlClass::Data; }
    auto operator()(const KeyOutcome&) { return ControlClass::Data; }
    auto operator()(const KeyPull&) { return ControlClass::Data; }
    auto operator()(const KeyPullReply&) { return ControlClass::Data; }
    auto operator()(const KeyResign&) { return ControlClass::Data; }
    auto operator()(const Handover&) { return ControlClass::Data; }
    auto operator()(const HandoverReply&) { return ControlClass::Data; }
    // Operators' queries.
    auto operator()(const StatusQuery&) { return ControlClass::Data; }
    auto operator()(const ExplainQuery&) { return ControlClass::Data; }
    auto operator()(const TextReply&) { return ControlClass::Data; }
  };
  return std::visit(Visitor{}, aMessage);
}

auto ToText(ControlClass aClass) -> const char*
{
  static constexpr std::array<const char*, kControlClasses + 1> kNames = {
    "liveness", "document", "directory", "hint", "data"
  };
  return kNames[static_cast<std::size_t>(aClass)];
}

} // namespace damaskwalk
