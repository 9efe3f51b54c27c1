#pragma once

// The directory agent's role: places new flows on owners, relays later packets
// to their owners, and looks up unknown flows at the service's other agents.

#include "agent/board.h"
#include "agent/flows.h"

namespace damaskwalk {

class DirectoryController
{
public:
  DirectoryController(AgentBoard& aBoard, FlowController& aFlows);

  auto OnPacket(const PacketForward& aPacket) -> void;
  auto OnRegister(const Endpoint& aSender, const FlowRegister& aRegister)
    -> void;
  auto OnLookup(const Endpoint& aSender, const FlowLookup& aLookup) -> void;
  auto OnLookupReply(const Endpoint& aSender, const FlowLookupReply& aReply)
    -> void;
  auto Tick() -> void;
  // Registers all flows of this agent again at the next Tick.
  auto RegisterAll() -> void;
  auto OnMembers(const std::vector<MemberChange>& aChanges) -> void;

  auto Status(boost::json::object& aStatus) const -> void;

private:
  // Packets of an unknown flow, held until an agent replies that it owns it.
  struct PendingLookup
  {
    std::vector<PacketForward> heldPackets;
    std::vector<Endpoint> queriedAgents;
    std::unordered_set<Endpoint, KeyHash> repliedAgents;
    std::uint32_t acknowledgement = 0;
    TimePoint since;
    TimePoint lastQueriedAt;
  };

  // Routes a packet of a flow that this agent does not own.
  auto RouteByDirectory(const Frame& aFrame, PacketForward aPacket) -> void;
  auto Relay(const Frame& aFrame, PacketForward aPacket, const Endpoint& aTo)
    -> void;
  // Chooses an owner for a new flow and registers it.
  auto Place(const Frame& aSyn, PacketForward aPacket, std::uint32_t aEpoch)
    -> void;
  auto OpenLocally(const Frame& aSyn, std::uint32_t aEpoch) -> void;
  // Holds the packet and looks the flow up at the service's agents.
  auto Recover(const Frame& aFrame, PacketForward aPacket) -> void;
  auto SendLookups(const FlowKey& aFlow, PendingLookup& aPending) -> void;
  // Resets the flow when no agent owns it; true when it did.
  auto ResetIfUnowned(const FlowKey& aFlow, PendingLookup& aPending) -> bool;
  auto SendReset(const FlowKey& aFlow,
                 std::uint32_t aSequence,
                 const char* aCause) -> void;
  auto SendHint(const PacketForward& aPacket,
                const FlowKey& aFlow,
                const Endpoint& aOwner) -> void;
  auto SendFacts(const std::vector<FlowFact>& aFacts) -> void;
  auto ServiceAgents() const -> std::vector<Endpoint>;

  AgentBoard& board_;
  FlowController& flows_;
  std::mutex pendingMutex_;
  std::unordered_map<FlowKey, PendingLookup, KeyHash> pendingLookups_;
  std::mutex registerMutex_;
  std::vector<FlowKey> toRegister_;
  std::atomic<bool> registerAll_{ false };
  prometheus::Counter& placed_;
  prometheus::Counter& relayed_;
  prometheus::Counter& recovered_;
  prometheus::Counter& resets_;
  prometheus::Counter& wrongService_;
  prometheus::Counter& hints_;
};

} // namespace damaskwalk
