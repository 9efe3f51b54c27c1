#pragma once

#include <cstdint>

namespace damaskwalk {

// True when the left sequence number lies at or after the right one, modulo
// 2^32.
inline auto AtOrAfter(std::uint32_t aLeft, std::uint32_t aRight) -> bool
{
  return static_cast<std::int32_t>(aLeft - aRight) >= 0;
}

} // namespace damaskwalk
