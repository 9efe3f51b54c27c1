#pragma once

// Positions in the store's history.

#include <cstdint>
#include <tuple>

namespace damaskwalk {

// The store's revision rises with each change. When the store is restored from
// an earlier copy, it gives out the revisions after the copy again, in a higher
// era.
struct StoreRevision
{
  std::uint64_t number = 0; // 0: nothing was read
  std::uint32_t era = 0;    // 0: unknown, as in messages of earlier releases

  constexpr StoreRevision() = default;
  constexpr StoreRevision(std::uint64_t aNumber, std::uint32_t aEra = 0)
    : number(aNumber)
    , era(aEra)
  {
  }

  auto operator==(const StoreRevision&) const -> bool = default;

  // @param aRestored the store was restored since the fleet started. Then what
  // was read in an unknown era may be lost, and a known era goes first.
  auto IsAfter(const StoreRevision& aOther, bool aRestored) const -> bool
  {
    const bool bothKnown = era != 0 && aOther.era != 0;
    if (bothKnown || aRestored) {
      return std::tie(era, number) > std::tie(aOther.era, aOther.number);
    }
    return number > aOther.number;
  }
};

} // namespace damaskwalk
