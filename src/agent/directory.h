#pragma once

// The directory agent's part: places first packets, passes later ones on to
// their owners, and asks around for flows that it does not know.

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
  // Owners tell the directory again where their flows are.
  auto RegisterAll() -> void;
  auto OnMembers(const std::vector<MemberChange>& aChanges) -> void;

  auto Status(boost::json::object& aStatus) const -> void;

private:
  struct PendingLookup
  {
    std::vector<PacketForward> heldPackets;
    std::vector<Endpoint> asked;
    std::unordered_set<Endpoint, KeyHash> answered;
    std::uint32_t acknowledgement = 0;
    TimePoint since;
    TimePoint lastAsked;
  };

  auto RouteByDirectory(const Frame& aFrame, PacketForward aPacket) -> void;
  auto Relay(const Frame& aFrame, PacketForward aPacket, const Endpoint& aTo)
    -> void;
  auto Place(const Frame& aSyn, PacketForward aPacket, std::uint32_t aEpoch)
    -> void;
  auto OpenLocally(const Frame& aSyn, std::uint32_t aEpoch) -> void;
  auto Recover(const Frame& aFrame, PacketForward aPacket) -> void;
  auto SendLookups(const FlowKey& aFlow, PendingLookup& aPending) -> void;
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
