#include "relay/route_history.h"

#include "relay/fleet_state.h"
#include "relay/limits.h"

#include <algorithm>

namespace damaskwalk {

namespace {

constexpr std::uint64_t kHistoryKey = 31;

} // namespace

RouteHistory::RouteHistory(const Clock& aClock)
  : clock_(aClock)
  , lifetime_(kDefaultMaxFlowLifetime)
  , knownSince_(aClock.Now())
{
}

auto RouteHistory::OnFirstRoutes() -> void
{
  settledAt_ = clock_.Now() + kHistorySettleTime;
}

auto RouteHistory::OnCompletePeer() -> void
{
  if (!IsSettled()) {
    heardComplete_ = true;
    settledAt_ = clock_.Now() + kHistoryPullPeriod;
  }
}

auto RouteHistory::OnIncompletePeer(std::uint32_t aIp) -> void
{
  if (heardComplete_ || IsSettled()) {
    return;
  }
  unknowing_.insert(aIp);
  if (settledAt_ && unknowing_.size() >= kMinUnknowingPeers) {
    settledAt_ = clock_.Now();
    unknowing_.clear();
  }
}

auto RouteHistory::IsSettled() const -> bool
{
  return IsComplete() || (settledAt_ && clock_.Now() >= *settledAt_);
}

auto RouteHistory::OnRoutes(const RouteTable& aFormer, const RouteTable& aNew)
  -> void
{
  std::map<Endpoint, const RelayRoute*> byAddress;
  for (const auto& route : aNew.routes) {
    byAddress[route.address] = &route;
  }
  const auto now = clock_.Now();
  for (const auto& route : aFormer.routes) {
    const auto found = byAddress.find(route.address);
    for (const auto& entry : route.services) {
      if (found == byAddress.end() || !found->second->Allows(entry.service)) {
        former_[{ route.address, entry.service }] = now;
      }
    }
  }
}

auto RouteHistory::Merge(const RouteHistoryReport& aReport, Millis aTook)
  -> bool
{
  const auto now = clock_.Now();
  bool changed = aReport.complete && !IsComplete();
  complete_ |= aReport.complete;
  for (const auto& entry : aReport.former) {
    const auto age = entry.age + aTook;
    if (age >= lifetime_ || age < Millis{ 0 }) {
      continue;
    }
    auto [known, isNew] =
      former_.try_emplace({ entry.address, entry.service }, now - age);
    known->second = std::max(known->second, now - age);
    changed |= isNew;
  }
  return changed;
}

auto RouteHistory::Tick() -> bool
{
  const auto oldest = clock_.Now() - lifetime_;
  const bool wasComplete = complete_;
  complete_ = IsComplete();
  const auto removed = std::erase_if(
    former_, [oldest](const auto& aEntry) { return aEntry.second <= oldest; });
  return removed > 0 || complete_ != wasComplete;
}

auto RouteHistory::IsComplete() const -> bool
{
  return complete_ || clock_.Now() - knownSince_ >= lifetime_;
}

auto RouteHistory::FormerServices(const Endpoint& aAddress) const
  -> std::vector<ServiceId>
{
  std::vector<ServiceId> services;
  for (auto entry = former_.lower_bound({ aAddress, ServiceId{} });
       entry != former_.end() && entry->first.first == aAddress;
       ++entry) {
    services.push_back(entry->first.second);
  }
  return services;
}

auto RouteHistory::Report() const -> RouteHistoryReport
{
  RouteHistoryReport report;
  report.complete = IsComplete();
  const auto now = clock_.Now();
  for (const auto& [key, since] : former_) {
    report.former.push_back(
      { key.first,
        key.second,
        std::chrono::duration_cast<Millis>(now - since) });
  }
  return report;
}

auto RouteHistory::Hash() const -> std::uint64_t
{
  if (former_.empty()) {
    return 0;
  }
  std::uint64_t sum = kHistoryKey;
  for (const auto& [key, since] : former_) {
    sum += Mix(HashOf(key.first), key.second.value);
  }
  return sum | 1;
}

} // namespace damaskwalk
