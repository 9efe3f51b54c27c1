#pragma once

// Messages and bytes that a process sends to peers, by what they carry and by
// whether they leave its failure domain.

#include "relay/peer_messages.h"

#include <array>
#include <unordered_map>
#include <unordered_set>

namespace damaskwalk {

enum class TrafficKind : std::uint8_t
{
  Heartbeat,
  Location,
  Registration,
  Report,
  Query,
  Answer,
  State,  // requests and replies over TCP
  Packet, // callers' packets for other relays
};

constexpr std::size_t kTrafficKinds = 8;

auto ToText(TrafficKind aKind) -> const char*;
auto TrafficKindOf(const PeerMessage& aMessage) -> TrafficKind;

// Single threaded.
class PeerTraffic
{
public:
  struct Amount
  {
    std::uint64_t messages = 0;
    std::uint64_t near = 0; // bytes within the failure domain, as far as known
    std::uint64_t far = 0;  // bytes out of it
  };

  // Sets the targets' VMs in other failure domains.
  auto SetFar(std::unordered_set<std::uint32_t> aIps) -> void;
  auto Add(TrafficKind aKind, std::uint32_t aTo, std::size_t aBytes) -> void;
  auto Sent(TrafficKind aKind) const -> const Amount&;
  // One key=value line with the totals.
  auto Summary() const -> std::string;

private:
  std::unordered_set<std::uint32_t> far_;
  std::array<Amount, kTrafficKinds> sent_;
};

} // namespace damaskwalk
