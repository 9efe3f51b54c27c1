#pragma once

// Compressed bytes, with a limit on what they may expand to.

#include <optional>
#include <string>
#include <string_view>

namespace damaskwalk {

auto Pack(std::string_view aBytes) -> std::string;
// @return nothing if the bytes were not packed, or expand beyond kMaxBulkBytes.
auto Unpack(std::string_view aPacked) -> std::optional<std::string>;

} // namespace damaskwalk
