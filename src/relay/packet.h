#pragma once

// A packet of a flow as relays see it, and the interface through which relays
// act on it. Relays read contents and never change them.

#include "core/types.h"

#include <cstddef>
#include <span>
#include <string_view>

namespace damaskwalk {

// What relays tell each other about a packet, in header bits that neither end
// of the flow reads.
struct RelayTag
{
  // Short id of the balancer that took the packet in; 0: unknown.
  std::uint16_t balancer = 0;
  // Agents that have passed the packet on so far.
  std::uint8_t hops = 0;
  // The balancer did not know the flow's agent; the agent shall tell it.
  bool wantsHint = false;
  // A directory agent's record was followed already.
  bool followedRecord = false;
  // The packet goes down the whole search order from its top.
  bool searching = false;
  // Every agent so far was certain not to have the flow, and shared the view of
  // which agents there are.
  bool complete = false;
  // Short hash of that view.
  std::uint8_t view = 0;

  auto operator==(const RelayTag&) const -> bool = default;
};

auto PackTag(const RelayTag& aTag) -> std::uint32_t;
auto UnpackTag(std::uint32_t aWord) -> RelayTag;
// Short id of the balancer at an address; never 0.
auto BalancerTag(std::uint32_t aIp) -> std::uint16_t;

struct Packet
{
  FlowKey flow; // whichever way the packet goes
  bool opens = false;
  bool acknowledges = false;
  bool finishes = false;
  bool resets = false;
  // The backend server refused the packet and handed it back unchanged.
  bool returned = false;
  std::uint32_t sequence = 0;
  // Of a first packet: how many copies its caller sent before.
  std::uint32_t acknowledgement = 0;
  RelayTag tag;
  std::string_view payload;
  // The whole datagram. Only the tag in it may be rewritten.
  std::span<char> bytes;
};

struct PeerMessage;

// The way out of a relay. Implementations send or drop, and never block.
class RelayPort
{
public:
  virtual ~RelayPort() = default;
  // Passes a caller's packet on to an agent, with the packet's tag.
  virtual auto SendToAgent(const Endpoint& aAgent, const Packet& aPacket)
    -> void = 0;
  // Hands a caller's packet to the backend server beside this agent.
  virtual auto SendToBackend(const Packet& aPacket) -> void = 0;
  // Hands a backend server's packet to its caller.
  virtual auto SendToCaller(const Packet& aPacket) -> void = 0;
  // Resets a flow towards its caller.
  // @param aSequence a number that the caller accepts: its last
  // acknowledgement, or any while the flow is not open.
  virtual auto ResetCaller(const FlowKey& aFlow, std::uint32_t aSequence)
    -> void = 0;
  // @param aIp the VM of the receiving balancer or agent.
  virtual auto SendToPeer(std::uint32_t aIp, const PeerMessage& aMessage)
    -> void = 0;
};

} // namespace damaskwalk
