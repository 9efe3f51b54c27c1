#pragma once

// Rendezvous (highest random weight) hashing over endpoints.

#include "core/types.h"

#include <algorithm>
#include <vector>

namespace damaskwalk {

inline auto RendezvousWeight(std::uint64_t aKey, const Endpoint& aCandidate)
  -> std::uint64_t
{
  return Mix(aKey, HashOf(aCandidate));
}

// Returns the candidates sorted by their weight for the key, highest first.
inline auto RendezvousOrder(std::uint64_t aKey,
                            std::vector<Endpoint> aCandidates)
  -> std::vector<Endpoint>
{
  std::ranges::sort(aCandidates, [aKey](const auto& aLeft, const auto& aRight) {
    return RendezvousWeight(aKey, aLeft) > RendezvousWeight(aKey, aRight);
  });
  return aCandidates;
}

// Token by which an owner is recognised, in the low 16 bits of the timestamps
// that it sends. Never 0, which would mean an absent timestamp.
inline auto OwnerToken(const Endpoint& aOwner) -> std::uint32_t
{
  return static_cast<std::uint32_t>(Mix(HashOf(aOwner), 3) & 0xFFFF) | 1;
}

} // namespace damaskwalk
