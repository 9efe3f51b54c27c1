#include "relay/evacuations.h"

#include <algorithm>
#include <iterator>

namespace damaskwalk {

auto EvacuationSet::Hash() const -> std::uint64_t
{
  std::uint64_t sum = domains.size();
  for (const auto& domain : domains) {
    sum += HashText(domain);
  }
  return (sum << 1) | 1;
}

auto Evacuations::Update(EvacuationSet aSet, bool aRestored) -> EvacuationChange
{
  EvacuationChange change;
  if (!aSet.revision.IsAfter(set_.revision, aRestored)) {
    return change;
  }
  std::ranges::sort(aSet.domains);
  aSet.domains.erase(std::unique(aSet.domains.begin(), aSet.domains.end()),
                     aSet.domains.end());
  std::ranges::set_difference(
    aSet.domains, set_.domains, std::back_inserter(change.begun));
  std::ranges::set_difference(
    set_.domains, aSet.domains, std::back_inserter(change.ended));
  set_ = std::move(aSet);
  isUsed_ |= !set_.domains.empty();
  hash_ = set_.Hash();
  ids_.clear();
  for (const auto& domain : set_.domains) {
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
