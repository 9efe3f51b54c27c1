#pragma once

// In which order agents are asked for a flow whose agent is not known.

#include "relay/fleet_state.h"
#include "relay/load_board.h"

#include <optional>

namespace damaskwalk {

// The order is rendezvous by the flow over every agent that may hold flows of
// the route, so that processes with different views still agree on the order
// of the agents that both know.
class SearchOrder
{
public:
  SearchOrder(const FleetState& aState, const LoadBoard& aLoad);

  // The agents that keep the record of a flow, first and second; silent ones
  // come after all others.
  auto DirectoryAgents(const RelayRoute& aRoute, const FlowKey& aFlow) const
    -> std::vector<Endpoint>;
  // The next agent after one in the order, wrapping around; nothing when there
  // is no other. Silent agents are passed over.
  auto Next(const RelayRoute& aRoute,
            const FlowKey& aFlow,
            const Endpoint& aAfter) const -> std::optional<Endpoint>;
  // As Next, over the agents that take new flows.
  auto NextOpen(const RelayRoute& aRoute,
                const FlowKey& aFlow,
                const Endpoint& aAfter) const -> std::optional<Endpoint>;
  // How many agents a full search visits.
  auto Length(const RelayRoute& aRoute) const -> std::size_t;

private:
  template<class Accept>
  auto NextOf(const RelayRoute& aRoute,
              const FlowKey& aFlow,
              const Endpoint& aAfter,
              Accept aAccept) const -> std::optional<Endpoint>;

  const FleetState& state_;
  const LoadBoard& load_;
};

} // namespace damaskwalk
