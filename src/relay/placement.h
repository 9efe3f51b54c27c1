#pragma once

// Chooses the agent that gets the first packet of a flow.

#include "relay/fleet_state.h"
#include "relay/peer_table.h"

#include <memory>
#include <random>

namespace damaskwalk {

struct PlacementInit
{
  std::string failureDomain; // of this process
  std::uint64_t seed = 1;
};

struct PlacementChoice
{
  Endpoint agent; // invalid: no target accepts the flow
  std::chrono::microseconds expected{ 0 };
  const char* cause = "no_target";
};

// A placement policy. Single threaded.
class FirstPacketPlacement
{
public:
  virtual ~FirstPacketPlacement() = default;
  // @param aExcluded an agent that must not be chosen; invalid: none.
  virtual auto Choose(ServiceId aService,
                      const FlowKey& aFlow,
                      const Endpoint& aExcluded) -> PlacementChoice = 0;
};

// Chooses the target with the least expected time to the answer, from reported
// load, among a few random candidates in this failure domain and in others.
auto MakePlacementExpectedWait(const PlacementInit& aInit,
                               const FleetState& aState,
                               const PeerTable& aPeers,
                               const Clock& aClock)
  -> std::unique_ptr<FirstPacketPlacement>;

// Rendezvous hashing over the open targets. Needs no load reports; serves as a
// baseline.
auto MakePlacementRendezvous(const FleetState& aState)
  -> std::unique_ptr<FirstPacketPlacement>;

// Expected time from a first packet to the first byte of the answer.
// @param aPlaced first packets sent to the server since the report.
auto ExpectedAnswerTime(const BackendLoad& aLoad,
                        std::uint32_t aPlaced,
                        std::chrono::microseconds aServiceTime)
  -> std::chrono::microseconds;

} // namespace damaskwalk
