#include "wire/packed.h"

#include "core/config.h"

#include <zlib.h>

namespace damaskwalk {

namespace {

constexpr std::size_t kStepBytes = 65536;

// zlib takes a pointer to bytes that it does not change.
auto InputOf(std::string_view aBytes) -> Bytef*
{
  return reinterpret_cast<Bytef*>(const_cast<char*>(aBytes.data()));
}

} // namespace

auto Pack(std::string_view aBytes) -> std::string
{
  auto size = compressBound(static_cast<uLong>(aBytes.size()));
  std::string packed(size, '\0');
  const auto result = compress2(reinterpret_cast<Bytef*>(packed.data()),
                                &size,
                                InputOf(aBytes),
                                static_cast<uLong>(aBytes.size()),
                                Z_BEST_SPEED);
  packed.resize(result == Z_OK ? size : 0);
  return packed;
}

auto Unpack(std::string_view aPacked) -> std::optional<std::string>
{
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return std::nullopt;
  }
  stream.next_in = InputOf(aPacked);
  stream.avail_in = static_cast<uInt>(aPacked.size());
  std::string bytes;
  int result = Z_OK;
  while (result == Z_OK && bytes.size() <= kMaxBulkBytes) {
    const auto offset = bytes.size();
    bytes.resize(offset + kStepBytes);
    stream.next_out = reinterpret_cast<Bytef*>(bytes.data()) + offset;
    stream.avail_out = kStepBytes;
    result = inflate(&stream, Z_NO_FLUSH);
    bytes.resize(offset + kStepBytes - stream.avail_out);
  }
  inflateEnd(&stream);
  return result == Z_STREAM_END ? std::optional(std::move(bytes))
                                : std::nullopt;
}

} // namespace damaskwalk
