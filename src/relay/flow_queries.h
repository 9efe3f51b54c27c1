#pragma once

// Asks all agents at once for a flow that nobody is known to have.
//
// Answers the loss of power of a whole fleet: thousands of callers send packets
// on flows that died, and each has to hear so before it opens a new one. A
// packet that walks along a hundred agents is slow, crosses failure domains at
// each step, and has no result if one view on its way differs. Here the asking
// agent compares the answers with its own view, keeps them while it asks the
// rest again, and has one agent of each other domain ask the agents there.

#include "relay/packet.h"
#include "relay/postponed_searches.h"
#include "relay/search_order.h"

#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace damaskwalk {

// Single threaded.
class FlowQueries
{
public:
  // @param aDomain of this agent; empty: that of its registration.
  FlowQueries(const Endpoint& aSelf,
              std::string aDomain,
              const FleetState& aState,
              const PeerTable& aPeers,
              const Clock& aClock);

  // True if the route has more agents than a packet should walk along, or if it
  // is not known which agents may hold its flows.
  auto Covers(const RelayRoute& aRoute) const -> bool;
  // Asks for the packet's flow on behalf of this agent, which is certain not to
  // have it. Ignored if it is being asked for, or if too many are.
  auto Begin(const Packet& aPacket, const RelayRoute& aRoute, RelayPort& aPort)
    -> void;
  // Asks the agents of this domain on behalf of another agent.
  // @param aAsker address of the agent that gets the answer.
  auto BeginDomain(std::uint32_t aAsker,
                   const Packet& aPacket,
                   const RelayRoute& aRoute,
                   RelayPort& aPort) -> void;
  auto OnAnswer(const FlowAnswer& aAnswer, RelayPort& aPort) -> void;
  // Asks an agent that has just started for all flows that this agent asks for
  // and that it has not answered. It received no earlier query.
  auto OnAgentStarted(std::uint32_t aIp, RelayPort& aPort) -> void;
  // A flow that no agent has. Every agent that may have it has answered.
  struct Lost
  {
    std::unique_ptr<OwnedPacket> packet;
    Millis took{ 0 };
    std::uint32_t rounds = 0;
  };
  auto TakeLost() -> std::vector<Lost>;
  // Flows that were given up, with the agents that had not answered.
  struct Undecided
  {
    FlowKey flow;
    std::vector<Endpoint> missing;
  };
  auto TakeUndecided() -> std::vector<Undecided>;
  // Asks again those that have not answered, calls the flows lost that nobody
  // can have any more, and answers for the domain. To be called every few tens
  // of milliseconds.
  auto Tick(RelayPort& aPort) -> void;

  auto Size() const -> std::size_t { return own_.size() + onBehalf_.size(); }

private:
  struct Query
  {
    std::unique_ptr<OwnedPacket> packet;
    std::uint32_t asker = 0; // 0: this agent
    std::set<std::uint32_t> certain;
    // An agent that was missing at the last check. While it is, the others need
    // no check.
    Endpoint waitsFor;
    TimePoint began;
    TimePoint nextRound;
    std::uint32_t rounds = 0; // of asking again
  };
  using Table = std::unordered_map<FlowKey, Query, KeyHash>;

  auto MakeQuery(const Packet& aPacket, std::uint32_t aAsker) const -> Query;
  // Agents of the route that have not answered and could have the flow.
  auto Missing(const Query& aQuery, const RelayRoute& aRoute) const
    -> std::vector<const KnownTarget*>;
  // True if the agent is one of the missing ones.
  auto IsMissing(const Endpoint& aAgent,
                 const Query& aQuery,
                 const RelayRoute& aRoute) const -> bool;
  // True if any agent is missing. Checks all only if the one that it found last
  // is no longer missing.
  auto IsAnyMissing(Query& aQuery, const RelayRoute& aRoute) const -> bool;
  auto Ask(Query& aQuery, const RelayRoute& aRoute, RelayPort& aPort) -> void;
  // Answers for the addresses of the domain at which no agent runs. Only the
  // processes of the domain can know of them.
  auto InsertAbsent(Query& aQuery,
                    const RelayRoute& aRoute,
                    const std::string& aDomain) const -> void;
  auto AskAgent(std::uint32_t aIp,
                bool aWholeDomain,
                const Query& aQuery,
                RelayPort& aPort) const -> void;
  auto GiveUp(const FlowKey& aFlow, const Query& aQuery) -> void;
  // Moves the query to the lost flows if nobody is missing.
  auto Conclude(Table::iterator aQuery) -> bool;
  auto AnswerForDomain(const FlowKey& aFlow,
                       const Query& aQuery,
                       const Endpoint& aHolder,
                       RelayPort& aPort) const -> void;
  auto OwnDomain() const -> std::string;

  Endpoint self_;
  std::string domain_;
  const FleetState& state_;
  const PeerTable& peers_;
  const Clock& clock_;
  std::mt19937_64 random_;
  Table own_;
  Table onBehalf_; // asked for other domains' agents
  std::vector<Lost> lost_;
  std::vector<Undecided> undecided_;
};

} // namespace damaskwalk
