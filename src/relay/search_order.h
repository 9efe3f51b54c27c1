#pragma once

// In which order agents are asked for a flow whose agent is not known.

#include "relay/fleet_state.h"
#include "relay/peer_table.h"

#include <optional>

namespace damaskwalk {

struct SearchStep
{
  std::optional<Endpoint> agent;
  // A silent agent that may still hold flows was passed over.
  bool skippedSilent = false;
};

// The order is rendezvous by the flow over every agent that may hold flows of
// the route, so that processes with different views still agree on the order
// of the agents that both know.
class SearchOrder
{
public:
  SearchOrder(const FleetState& aState, const PeerTable& aPeers);

  // The agents that keep the record of a flow, first and second; silent ones
  // come after all others.
  auto DirectoryAgents(const RelayRoute& aRoute, const FlowKey& aFlow) const
    -> std::vector<Endpoint>;
  // The first agent that is heard.
  auto First(const RelayRoute& aRoute, const FlowKey& aFlow) const
    -> SearchStep;
  // The next heard agent after one; none at the end.
  auto Next(const RelayRoute& aRoute,
            const FlowKey& aFlow,
            const Endpoint& aAfter) const -> SearchStep;
  // The next agent that takes new flows, wrapping around at the end.
  auto NextAccepting(const RelayRoute& aRoute,
                     const FlowKey& aFlow,
                     const Endpoint& aAfter) const -> std::optional<Endpoint>;
  // So few of the service's registered targets are fit that those that fail
  // have to be used as well.
  auto MustUseFailing(ServiceId aService) const -> bool;
  // Registered agents of the route that are not heard: their addresses and
  // standings as text, at most three of them.
  auto SilentAgents(const RelayRoute& aRoute) const -> std::string;
  // Short hash of the agents that may hold flows of the route.
  auto ViewHash(const RelayRoute& aRoute) const -> std::uint8_t;

private:
  // The heaviest agent below a weight.
  auto HeaviestBelow(const RelayRoute& aRoute,
                     const FlowKey& aFlow,
                     std::uint64_t aWeight) const -> SearchStep;

  // Its silence leaves a search incomplete.
  auto MayHoldFlows(const KnownTarget& aKnown) const -> bool;
  auto AcceptsNewFlows(const KnownTarget& aKnown) const -> bool;

  const FleetState& state_;
  const PeerTable& peers_;
};

} // namespace damaskwalk
