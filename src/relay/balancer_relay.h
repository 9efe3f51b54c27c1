#pragma once

// The balancer's part of the pass-through relay: selects the agent for each
// packet from a caller.

#include "core/event.h"
#include "relay/packet.h"
#include "relay/peer_messages.h"
#include "relay/placement.h"
#include "relay/search_order.h"

#include <boost/unordered/unordered_flat_map.hpp>

namespace damaskwalk {

struct BalancerCounters
{
  std::uint64_t packets = 0;
  std::uint64_t placed = 0;      // first packets
  std::uint64_t placedAgain = 0; // retransmissions sent to another agent
  std::uint64_t direct = 0;      // later packets of a known flow
  std::uint64_t searched = 0;    // later packets sent to a directory agent
  std::uint64_t located = 0;     // locations received from agents
  std::uint64_t resets = 0;
  std::uint64_t noRoute = 0;
  std::uint64_t noAgent = 0;
  std::uint64_t strayed =
    0; // packets of relays that took this one for an agent
};

// Single threaded; no sockets, all time from the clock.
class BalancerRelay
{
public:
  BalancerRelay(std::uint32_t aIp,
                const FleetState& aState,
                PeerTable& aPeers,
                FirstPacketPlacement& aPlacement,
                const Clock& aClock,
                EventSink& aLog);

  // @param aPacket from a caller, or from a relay that took this process for an
  // agent; the latter has a tag.
  auto OnCallerPacket(Packet aPacket, RelayPort& aPort) -> void;
  auto OnFlowLocation(const FlowLocation& aLocation) -> void;
  // Drops entries of finished and idle flows.
  auto Tick() -> void;

  auto Flows() const -> std::size_t { return flows_.size(); }
  auto Counters() const -> const BalancerCounters& { return counters_; }

private:
  struct Entry
  {
    Endpoint agent;
    TimePoint lastPacket;
    bool finished = false;
    // Later packets were sent to the agent: the caller accepted a server.
    bool inUse = false;
  };

  // Passes on first packets only, and each a limited number of times: a caller
  // retransmits the others, and by then the relay knows this process.
  auto OnStrayPacket(const RelayRoute& aRoute,
                     Packet& aPacket,
                     RelayPort& aPort) -> void;
  auto PlaceFlow(const RelayRoute& aRoute, Packet& aPacket, RelayPort& aPort)
    -> void;
  // Chooses the agent of a first packet and sends it there.
  // @param aExcluded an agent that must not be chosen; invalid: none.
  auto PlaceAtOther(const RelayRoute& aRoute,
                    Packet& aPacket,
                    const Endpoint& aExcluded,
                    RelayPort& aPort) -> void;
  // The table's agent of the flow; null if there is none, or no agent runs at
  // its address.
  auto FindFlow(const FlowKey& aFlow) -> Entry*;
  auto ForwardLaterPacket(const RelayRoute& aRoute,
                          Packet& aPacket,
                          RelayPort& aPort) -> void;
  auto Refuse(const Packet& aPacket, const char* aCause, RelayPort& aPort)
    -> void;
  auto StoreAgent(const FlowKey& aFlow, const Endpoint& aAgent) -> void;

  std::uint32_t ip_;
  std::uint16_t tag_;
  const FleetState& state_;
  PeerTable& peers_;
  FirstPacketPlacement& placement_;
  SearchOrder order_;
  const Clock& clock_;
  EventSink& log_;
  boost::unordered_flat_map<FlowKey, Entry, KeyHash> flows_;
  BalancerCounters counters_;
};

} // namespace damaskwalk
