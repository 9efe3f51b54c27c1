#pragma once

// Later packets whose search ended without a verdict.
//
// Answers the first half second after a power failure: processes that have just
// started differ in which targets they know, so nobody can say that a flow is
// gone. Their views agree soon; the caller's own retransmission comes later, at
// times after its deadline.

#include "core/clock.h"
#include "relay/packet.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace damaskwalk {

// A packet with its own copy of the datagram.
class OwnedPacket
{
public:
  explicit OwnedPacket(const Packet& aPacket);
  OwnedPacket(const OwnedPacket&) = delete;
  auto operator=(const OwnedPacket&) -> OwnedPacket& = delete;

  auto Get() -> Packet& { return packet_; }

private:
  std::string bytes_;
  Packet packet_;
};

// One packet a flow, a few times each. Single threaded.
class PostponedSearches
{
public:
  explicit PostponedSearches(const Clock& aClock);

  // @return false: the flow's searches are used up, or there is no room.
  auto Add(const Packet& aPacket) -> bool;
  auto TakeDue() -> std::vector<std::unique_ptr<OwnedPacket>>;

private:
  struct Entry
  {
    std::unique_ptr<OwnedPacket> packet; // none while its search runs
    TimePoint due;
    TimePoint began;
    std::uint32_t searches = 0;
  };

  const Clock& clock_;
  std::unordered_map<FlowKey, Entry, KeyHash> entries_;
};

} // namespace damaskwalk
