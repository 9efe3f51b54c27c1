#include "relay/packet.h"

namespace damaskwalk {

namespace {

constexpr std::uint32_t kHopShift = 16;
constexpr std::uint32_t kHintBit = 1U << 24;
constexpr std::uint32_t kRecordBit = 1U << 25;

} // namespace

auto PackTag(const RelayTag& aTag) -> std::uint32_t
{
  return aTag.balancer | (std::uint32_t{ aTag.hops } << kHopShift) |
         (aTag.wantsHint ? kHintBit : 0) |
         (aTag.followedRecord ? kRecordBit : 0);
}

auto UnpackTag(std::uint32_t aWord) -> RelayTag
{
  return { static_cast<std::uint16_t>(aWord & 0xFFFF),
           static_cast<std::uint8_t>((aWord >> kHopShift) & 0xFF),
           (aWord & kHintBit) != 0,
           (aWord & kRecordBit) != 0 };
}

auto BalancerTag(std::uint32_t aIp) -> std::uint16_t
{
  return static_cast<std::uint16_t>((Mix(aIp, 5) & 0xFFFF) | 1);
}

} // namespace damaskwalk
