#pragma once

// Placement policies: which agent owns a new flow, and which backend server
// runs a request.

#include "core/types.h"
#include "wire/messages.h"

#include <memory>
#include <random>
#include <span>

namespace damaskwalk {

// Last reported state of one agent and its backend server, plus the placements
// that this process has made since that report.
struct Candidate
{
  Endpoint agent;
  std::string failureDomain;
  bool usable = true; // alive, published, not leaving, backend server healthy
  std::uint32_t limit = 1; // slots that may be in use at present
  std::uint32_t busy = 0;  // slots in use
  double utilisation = 0;  // share of slot time in use over the last seconds
  double serviceSeconds = 0.01; // mean time that a request holds a slot
  std::uint32_t flows = 0;
  std::uint32_t connections = 1; // maximum number of flows

  auto HasFreeSlot() const -> bool { return usable && busy < limit; }
};

// A placement policy. Implementations keep no state but a cursor or a random
// generator. Not thread safe: the caller serialises all calls.
class Placement
{
public:
  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

  virtual ~Placement() = default;
  virtual auto Name() const -> const char* = 0;
  // @returns the index of the agent that is to own a new flow; kNone when no
  //          candidate may take it.
  virtual auto PlaceFlow(std::span<const Candidate> aCandidates,
                         std::uint64_t aFlowHash) -> std::size_t = 0;
  // @param aOwner index of the flow's owner.
  // @returns the index of the candidate whose backend server is to run a
  //          request now; kNone when the request has to wait.
  virtual auto PlaceRequest(std::span<const Candidate> aCandidates,
                            std::size_t aOwner) -> std::size_t = 0;
};

enum class PlacementKind : std::uint8_t
{
  Spare,      // by spare capacity as reported; the default
  FlowsOnly,  // flows by spare capacity; requests run at the flow's owner
  TwoChoices, // the less loaded of two random candidates
  RoundRobin,
  Random,
  Hash, // rendezvous hash of the flow over the candidates
};

auto MakePlacement(PlacementKind aKind, std::uint64_t aSeed)
  -> std::unique_ptr<Placement>;

// @param aName "spare", "flows", "p2c", "round_robin", "random" or "hash".
// @returns nothing for any other name.
auto ParsePlacementKind(std::string_view aName) -> std::optional<PlacementKind>;

// @param aPlaceRequests false: requests run at the flow's owner (FlowsOnly).
auto MakePlacementSpare(std::uint64_t aSeed, bool aPlaceRequests)
  -> std::unique_ptr<Placement>;
auto MakePlacementTwoChoices(std::uint64_t aSeed) -> std::unique_ptr<Placement>;
auto MakePlacementRoundRobin() -> std::unique_ptr<Placement>;
auto MakePlacementRandom(std::uint64_t aSeed) -> std::unique_ptr<Placement>;
auto MakePlacementHash() -> std::unique_ptr<Placement>;

} // namespace damaskwalk
