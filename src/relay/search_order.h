#pragma once

// The order in which agents are searched for a flow whose agent is not known.

#include "relay/fleet_state.h"
#include "relay/peer_table.h"

#include <optional>

namespace damaskwalk {

struct SearchStep
{
  std::optional<Endpoint> agent;
  // A silent agent that may still hold flows was skipped.
  bool skippedSilent = false;
};

// Orders every agent that may hold flows of the route, also of services that
// the route named before or, if these are not known, of all services, by
// rendezvous weight for the flow. Processes with different views thus agree on
// the order of the agents that both know.
class SearchOrder
{
public:
  SearchOrder(const FleetState& aState, const PeerTable& aPeers);

  // False if no agent runs at the address, whatever the registrations say.
  auto IsAgent(const Endpoint& aAgent) const -> bool;
  // False if the registration is known to name no agent: a balancer runs at its
  // address, or nobody.
  auto MayHaveAgent(const KnownTarget& aKnown) const -> bool;
  // The two agents that keep the record of a flow, in order; silent agents come
  // after all others.
  auto DirectoryAgents(const RelayRoute& aRoute, const FlowKey& aFlow) const
    -> std::vector<Endpoint>;
  // The first agent that is not silent.
  auto First(const RelayRoute& aRoute, const FlowKey& aFlow) const
    -> SearchStep;
  // The next agent after the given one that is not silent; none at the end.
  auto Next(const RelayRoute& aRoute,
            const FlowKey& aFlow,
            const Endpoint& aAfter) const -> SearchStep;
  // The next agent that accepts new flows, wrapping around at the end. Near
  // agents whose first heartbeat is awaited come after all others.
  auto NextAccepting(const RelayRoute& aRoute,
                     const FlowKey& aFlow,
                     const Endpoint& aAfter) const -> std::optional<Endpoint>;
  // True if the target may get new flows and its agent is not known to refuse
  // them.
  auto AcceptsNewFlows(const KnownTarget& aKnown) const -> bool;
  // True if the agent has reported another service since the registration was
  // known: the entry is of another program, or of a former server.
  auto ServesOther(const KnownTarget& aKnown) const -> bool;
  // True if so few of the service's open targets accept new flows that failing
  // ones must be used as well.
  auto MustUseFailing(ServiceId aService) const -> bool;
  // Addresses and standings, as text, of at most three silent agents that may
  // hold flows of the route.
  auto SilentAgents(const RelayRoute& aRoute) const -> std::string;
  // Short hash of the agents that may hold flows of the route.
  auto ViewHash(const RelayRoute& aRoute) const -> std::uint8_t;

private:
  // The agent with the highest weight below the given one.
  auto HighestWeightBelow(const RelayRoute& aRoute,
                          const FlowKey& aFlow,
                          std::uint64_t aWeight) const -> SearchStep;

  auto IsSilent(const KnownTarget& aKnown) const -> bool;
  // True if a search that skips the target's silent agent is incomplete. False
  // for gone targets and for agents that stopped without flows.
  auto MayHoldFlows(const KnownTarget& aKnown) const -> bool;

  const FleetState& state_;
  const PeerTable& peers_;
};

} // namespace damaskwalk
