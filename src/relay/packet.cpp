#include "relay/packet.h"

namespace damaskwalk {

namespace {

// Layout of the 32 bits, from the lowest: balancer 16, hops 7, flags 4, view 5.
constexpr std::uint32_t kHopShift = 16;
constexpr std::uint32_t kHopMask = 0x7F;
constexpr std::uint32_t kHintBit = 1U << 23;
constexpr std::uint32_t kRecordBit = 1U << 24;
constexpr std::uint32_t kSearchingBit = 1U << 25;
constexpr std::uint32_t kCompleteBit = 1U << 26;
constexpr std::uint32_t kViewShift = 27;

} // namespace

auto PackTag(const RelayTag& aTag) -> std::uint32_t
{
  return aTag.balancer | ((aTag.hops & kHopMask) << kHopShift) |
         (aTag.wantsHint ? kHintBit : 0) |
         (aTag.followedRecord ? kRecordBit : 0) |
         (aTag.searching ? kSearchingBit : 0) |
         (aTag.complete ? kCompleteBit : 0) |
         (std::uint32_t{ aTag.view } << kViewShift);
}

auto UnpackTag(std::uint32_t aWord) -> RelayTag
{
  RelayTag tag;
  tag.balancer = static_cast<std::uint16_t>(aWord & 0xFFFF);
  tag.hops = static_cast<std::uint8_t>((aWord >> kHopShift) & kHopMask);
  tag.wantsHint = (aWord & kHintBit) != 0;
  tag.followedRecord = (aWord & kRecordBit) != 0;
  tag.searching = (aWord & kSearchingBit) != 0;
  tag.complete = (aWord & kCompleteBit) != 0;
  tag.view = static_cast<std::uint8_t>(aWord >> kViewShift);
  return tag;
}

auto BalancerTag(std::uint32_t aIp) -> std::uint16_t
{
  return static_cast<std::uint16_t>((Mix(aIp, 5) & 0xFFFF) | 1);
}

} // namespace damaskwalk
