#include "relay/evacuations.h"

#include "relay/limits.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace damaskwalk {

auto EvacuationSet::Hash() const -> std::uint64_t
{
  std::uint64_t sum = domains.size();
  for (const auto& domain : domains) {
    sum += HashText(domain);
  }
  return (sum << 1) | 1;
}

Evacuations::Evacuations(const Clock& aClock)
  : clock_(aClock)
{
}

auto Evacuations::Update(EvacuationSet aSet, bool aRestored) -> EvacuationChange
{
  if (!aSet.revision.IsAfter(set_.revision, aRestored)) {
    return {};
  }
  std::ranges::sort(aSet.domains);
  aSet.domains.erase(std::unique(aSet.domains.begin(), aSet.domains.end()),
                     aSet.domains.end());
  const bool isOtherEra = set_.revision.number > 0 && aRestored &&
                          aSet.revision.era != set_.revision.era;
  // A domain that the new era has listed once is no longer held.
  const auto before = isOtherEra ? inForce_ : std::exchange(lost_, {});
  lost_.clear();
  std::ranges::set_difference(before, aSet.domains, std::back_inserter(lost_));
  if (isOtherEra) {
    lostUntil_ = clock_.Now() + kLostEvacuationHold;
  }
  set_ = std::move(aSet);
  isUsed_ |= !set_.domains.empty();
  hash_ = set_.Hash();
  return Apply();
}

auto Evacuations::Tick() -> EvacuationChange
{
  if (lost_.empty() || clock_.Now() < lostUntil_) {
    return {};
  }
  lost_.clear();
  return Apply();
}

auto Evacuations::Apply() -> EvacuationChange
{
  std::vector<std::string> domains;
  std::ranges::set_union(set_.domains, lost_, std::back_inserter(domains));
  EvacuationChange change;
  std::ranges::set_difference(
    domains, inForce_, std::back_inserter(change.begun));
  std::ranges::set_difference(
    inForce_, domains, std::back_inserter(change.ended));
  inForce_ = std::move(domains);
  ids_.clear();
  for (const auto& domain : inForce_) {
    ids_.push_back(DomainIdOf(domain));
  }
  return change;
}

auto Evacuations::Confirm(const StoreRevision& aRevision,
                          std::uint64_t aDigest,
                          bool aRestored) -> void
{
  isUsed_ |= aDigest != 0;
  if (aDigest == hash_ && set_.revision.number > 0 &&
      aRevision.IsAfter(set_.revision, aRestored)) {
    set_.revision = aRevision;
  }
}

auto Evacuations::Digest() const -> std::uint64_t
{
  return isUsed_ ? hash_ : 0;
}

auto Evacuations::Contains(DomainId aDomain) const -> bool
{
  return std::ranges::find(ids_, aDomain) != ids_.end();
}

} // namespace damaskwalk
