#pragma once

// Later packets whose search ended without a certain result.
//
// Needed in the first half second after a power failure: processes that have
// just started know different targets, so none can be certain that a flow is
// gone. Their views soon agree, while the caller's own retransmission comes
// later, sometimes after its deadline.

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

// Holds one packet per flow and retries its search a few times. Single
// threaded.
class PostponedSearches
{
public:
  explicit PostponedSearches(const Clock& aClock);

  // @return false if the flow has no retries left or the table is full.
  auto Add(const Packet& aPacket) -> bool;
  auto TakeDue() -> std::vector<std::unique_ptr<OwnedPacket>>;

private:
  struct Entry
  {
    std::unique_ptr<OwnedPacket> packet; // null while its search runs
    TimePoint due;
    TimePoint began;
    std::uint32_t searches = 0;
  };

  const Clock& clock_;
  std::unordered_map<FlowKey, Entry, KeyHash> entries_;
};

} // namespace damaskwalk
