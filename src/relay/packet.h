#pragma once

// A packet of a flow as the relays see it, and the interface through which they
// send. Relays may read payloads but never change them.

#include "core/types.h"

#include <cstddef>
#include <span>
#include <string_view>

namespace damaskwalk {

// Data that relays exchange with a packet, in header bits that neither end of
// the flow reads.
struct RelayTag
{
  // Value of hops in a packet that asks its backend server for the flow, on
  // behalf of another agent.
  static constexpr std::uint8_t kQueryHops = 0x7F;

  // Short id of the balancer that received the packet; 0: unknown.
  std::uint16_t balancer = 0;
  // Number of agents that have forwarded the packet.
  std::uint8_t hops = 0;
  // The balancer does not know the flow's agent and wants its location.
  bool wantsHint = false;
  // The packet was already forwarded by a directory agent's record.
  bool followedRecord = false;
  // The packet visits the agents of the search order, from the first one on.
  bool searching = false;
  // Every agent of the search so far was certain not to have the flow, and had
  // the same view of which agents exist.
  bool complete = false;
  // Short hash of that view; see SearchOrder::ViewHash.
  std::uint8_t view = 0;

  auto operator==(const RelayTag&) const -> bool = default;
};

auto PackTag(const RelayTag& aTag) -> std::uint32_t;
auto UnpackTag(std::uint32_t aWord) -> RelayTag;
// Short id of the balancer at an address; never 0.
auto BalancerTag(std::uint32_t aIp) -> std::uint16_t;

struct Packet
{
  FlowKey flow; // the same in both directions
  bool opens = false;
  bool acknowledges = false;
  bool finishes = false;
  bool resets = false;
  // The backend server refused the packet and returned it unchanged.
  bool returned = false;
  std::uint32_t sequence = 0;
  // In a first packet: the number of earlier transmissions by its caller.
  std::uint32_t acknowledgement = 0;
  RelayTag tag;
  std::string_view payload;
  // The whole datagram. Only the tag in it may be rewritten.
  std::span<char> bytes;
};

struct PeerMessage;

// Output of a relay. Implementations send or drop, and never block.
class RelayPort
{
public:
  virtual ~RelayPort() = default;
  // Forwards a caller's packet to an agent, with the packet's tag.
  virtual auto SendToAgent(const Endpoint& aAgent, const Packet& aPacket)
    -> void = 0;
  // Delivers a caller's packet to this agent's backend server.
  virtual auto SendToBackend(const Packet& aPacket) -> void = 0;
  // Delivers a backend server's packet to its caller.
  virtual auto SendToCaller(const Packet& aPacket) -> void = 0;
  // Sends a reset to the flow's caller.
  // @param aSequence a sequence number that the caller accepts: its last
  // acknowledgement, or any while the flow is not open.
  virtual auto ResetCaller(const FlowKey& aFlow, std::uint32_t aSequence)
    -> void = 0;
  // @param aIp address of the receiving balancer's or agent's VM.
  virtual auto SendToPeer(std::uint32_t aIp, const PeerMessage& aMessage)
    -> void = 0;
};

} // namespace damaskwalk
