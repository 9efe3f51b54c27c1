#pragma once

// A packet on the fabric: the fields of a TCP segment, encoded with cereal in
// one datagram. Only frame.cpp depends on the encoding; another packet source
// replaces that file.

#include "core/types.h"

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>

namespace damaskwalk {

enum class WireError : std::uint8_t
{
  Malformed, // wrong magic number, or bytes after the end
  Truncated, // ends early, or a length exceeds its limit
  UnknownVersion,
  UnknownKind,
};

namespace flag {
constexpr std::uint8_t kFin = 1;
constexpr std::uint8_t kSyn = 2;
constexpr std::uint8_t kRst = 4;
constexpr std::uint8_t kAck = 16;
} // namespace flag

// W3C trace context of a sampled packet; all zero when not sampled.
struct TraceContext
{
  std::uint64_t traceHigh = 0;
  std::uint64_t traceLow = 0;
  std::uint64_t span = 0;

  auto IsSampled() const -> bool { return (traceHigh | traceLow) != 0; }
};

struct Frame
{
  Endpoint source;
  Endpoint destination;
  std::uint8_t flags = 0;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledgement = 0;
  // TCP timestamp option: the sender's value and the echoed one; 0 is absent.
  std::uint32_t timestamp = 0;
  std::uint32_t timestampEcho = 0;
  TraceContext trace;
  std::string payload;

  auto Has(std::uint8_t aFlag) const -> bool { return (flags & aFlag) != 0; }
};

// The flow of a frame that a caller sent.
inline auto FlowOf(const Frame& aFrame) -> FlowKey
{
  return { aFrame.source, aFrame.destination };
}

auto EncodeFrame(const Frame& aFrame) -> std::string;

// True when the bytes start with a frame's magic number. DecodeFrame may still
// fail on them.
auto LooksLikeFrame(std::string_view aBytes) -> bool;

// Fails with WireError::Malformed or WireError::Truncated.
auto DecodeFrame(std::string_view aBytes) -> boost::leaf::result<Frame>;

} // namespace damaskwalk
