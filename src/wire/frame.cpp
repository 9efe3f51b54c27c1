#include "wire/frame.h"

#include "wire/codec.h"

namespace damaskwalk {

namespace {

constexpr std::uint16_t kFrameMagic = 0xDA01;

template<class Archive>
auto Fields(Archive& aArchive, Frame& aFrame) -> void
{
  aArchive(aFrame.source,
           aFrame.destination,
           aFrame.flags,
           aFrame.sequence,
           aFrame.acknowledgement,
           aFrame.timestamp,
           aFrame.timestampEcho,
           aFrame.trace.traceHigh,
           aFrame.trace.traceLow,
           aFrame.trace.span,
           Bounded<kMaxSegmentBytes>(aFrame.payload));
}

} // namespace

auto EncodeFrame(const Frame& aFrame) -> std::string
{
  std::string bytes;
  bytes.reserve(96 + aFrame.payload.size());
  StringBuffer buffer(bytes);
  std::ostream stream(&buffer);
  OutArchive archive(stream);
  archive(kFrameMagic);
  Fields(archive, const_cast<Frame&>(aFrame));
  return bytes;
}

auto LooksLikeFrame(std::string_view aBytes) -> bool
{
  // cereal writes one byte that states the byte order, then the magic number,
  // here with the low byte first.
  return aBytes.size() > 3 &&
         static_cast<std::uint8_t>(aBytes[1]) == (kFrameMagic & 0xFF) &&
         static_cast<std::uint8_t>(aBytes[2]) == (kFrameMagic >> 8);
}

auto DecodeFrame(std::string_view aBytes) -> boost::leaf::result<Frame>
{
  try {
    MemoryBuffer buffer(aBytes.data(), aBytes.size());
    std::istream stream(&buffer);
    InArchive archive(stream);
    std::uint16_t magic = 0;
    archive(magic);
    if (magic != kFrameMagic) {
      return boost::leaf::new_error(WireError::Malformed);
    }
    Frame frame;
    Fields(archive, frame);
    return frame;
  } catch (const cereal::Exception&) {
    return boost::leaf::new_error(WireError::Truncated);
  }
}

} // namespace damaskwalk
