#pragma once

// Which agent gets a new flow, and which backend server runs a request.

#include "core/types.h"
#include "wire/messages.h"

#include <memory>
#include <random>
#include <span>

namespace damaskwalk {

// What is known about one candidate, corrected by this process's own choices
// since the candidate's last report.
struct Candidate
{
  Endpoint agent;
  std::string failureDomain;
  bool usable = true;      // alive, published, not leaving, backend server fit
  std::uint32_t limit = 1; // slots that may be used now
  std::uint32_t busy = 0;  // slots in use
  double utilisation = 0;  // busy share over the last seconds
  double serviceSeconds = 0.01; // mean slot time of a request
  std::uint32_t flows = 0;
  std::uint32_t connections = 1; // most flows that it may hold

  auto HasFreeSlot() const -> bool { return usable && busy < limit; }
};

// A policy. Implementations are stateless but for a cursor and thread safe
// only under the owner's lock.
class Placement
{
public:
  static constexpr std::size_t kNone = static_cast<std::size_t>(-1);

  virtual ~Placement() = default;
  virtual auto Name() const -> const char* = 0;
  // Index of the agent that shall own a new flow; kNone when none may.
  virtual auto PlaceFlow(std::span<const Candidate> aCandidates,
                         std::uint64_t aFlowHash) -> std::size_t = 0;
  // Index of the server that shall run a request now; kNone to wait.
  // @param aOwner the index of the flow's owner.
  virtual auto PlaceRequest(std::span<const Candidate> aCandidates,
                            std::size_t aOwner) -> std::size_t = 0;
};

enum class PlacementKind : std::uint8_t
{
  Spare,      // measured spare capacity: the product's policy
  FlowsOnly,  // spare capacity for flows; requests stay at the owner
  TwoChoices, // least loaded of two random ones
  RoundRobin,
  Random,
  Hash, // rendezvous over the candidates
};

auto MakePlacement(PlacementKind aKind, std::uint64_t aSeed)
  -> std::unique_ptr<Placement>;

// "spare", "flows", "p2c", "round_robin", "random", "hash".
auto ParsePlacementKind(std::string_view aName) -> std::optional<PlacementKind>;

auto MakePlacementSpare(std::uint64_t aSeed, bool aPlaceRequests)
  -> std::unique_ptr<Placement>;
auto MakePlacementTwoChoices(std::uint64_t aSeed) -> std::unique_ptr<Placement>;
auto MakePlacementRoundRobin() -> std::unique_ptr<Placement>;
auto MakePlacementRandom(std::uint64_t aSeed) -> std::unique_ptr<Placement>;
auto MakePlacementHash() -> std::unique_ptr<Placement>;

} // namespace damaskwalk
