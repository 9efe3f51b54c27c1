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

  auto TakePacket(const PacketForward& aPacket) -> void;
  auto TakeRegister(const Endpoint& aSender, const FlowRegister& aRegister)
    -> void;
  auto TakeLookup(const Endpoint& aSender, const FlowLookup& aLookup) -> void;
  auto TakeLookupReply(const Endpoint& aSender, const FlowLookupReply& aReply)
    -> void;
  auto Tick() -> void;
  // Owners tell the directory again where their flows are.
  auto RegisterAll() -> void;
  auto OnMembers(const std::vector<MemberChange>& aChanges) -> void;

  auto Status(boost::json::object& aStatus) const -> void;

private:
  struct Pending
  {
    std::vector<PacketForward> held;
    std::vector<Endpoint> asked;
    std::unordered_set<Endpoint, KeyHash> answered;
    std::uint32_t acknowledgement = 0;
    TimePoint since;
    TimePoint lastAsked;
  };

  auto TakeUnknown(const Frame& aFrame, PacketForward aPacket) -> void;
  auto PassOn(const Frame& aFrame, PacketForward aPacket, const Endpoint& aTo)
    -> void;
  auto Place(const Frame& aSyn, PacketForward aPacket, std::uint32_t aEpoch)
    -> void;
  auto OpenHere(const Frame& aSyn, std::uint32_t aEpoch) -> void;
  auto Recover(const Frame& aFrame, PacketForward aPacket) -> void;
  auto Ask(const FlowKey& aFlow, Pending& aPending) -> void;
  auto Conclude(const FlowKey& aFlow, Pending& aPending) -> bool;
  auto Reset(const FlowKey& aFlow, std::uint32_t aSequence, const char* aCause)
    -> void;
  auto Hint(const PacketForward& aPacket,
            const FlowKey& aFlow,
            const Endpoint& aOwner) -> void;
  auto SendFacts(const std::vector<FlowFact>& aFacts) -> void;
  auto ServiceAgents() const -> std::vector<Endpoint>;

  AgentBoard& board_;
  FlowController& flows_;
  std::mutex pendingMutex_;
  std::unordered_map<FlowKey, Pending, KeyHash> pending_;
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
