#include "core/placement.h"

namespace damaskwalk {

auto MakePlacement(PlacementKind aKind, std::uint64_t aSeed)
  -> std::unique_ptr<Placement>
{
  switch (aKind) {
    case PlacementKind::FlowsOnly:
      return MakePlacementSpare(aSeed, false);
    case PlacementKind::TwoChoices:
      return MakePlacementTwoChoices(aSeed);
    case PlacementKind::RoundRobin:
      return MakePlacementRoundRobin();
    case PlacementKind::Random:
      return MakePlacementRandom(aSeed);
    case PlacementKind::Hash:
      return MakePlacementHash();
    default:
      return MakePlacementSpare(aSeed, true);
  }
}

auto ParsePlacementKind(std::string_view aName) -> std::optional<PlacementKind>
{
  struct Named
  {
    std::string_view name;
    PlacementKind kind;
  };
  static constexpr Named kNames[] = {
    { "spare", PlacementKind::Spare },
    { "flows", PlacementKind::FlowsOnly },
    { "p2c", PlacementKind::TwoChoices },
    { "round_robin", PlacementKind::RoundRobin },
    { "random", PlacementKind::Random },
    { "hash", PlacementKind::Hash },
  };
  for (const auto& [name, kind] : kNames) {
    if (name == aName) {
      return kind;
    }
  }
  return std::nullopt;
}

} // namespace damaskwalk
