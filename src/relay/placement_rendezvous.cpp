#include "core/rendezvous.h"
#include "relay/placement.h"

namespace damaskwalk {

namespace {

class PlacementRendezvous final : public FirstPacketPlacement
{
public:
  explicit PlacementRendezvous(const FleetState& aState)
    : state_(aState)
  {
  }

  auto Choose(ServiceId aService,
              const FlowKey& aFlow,
              const Endpoint& aExcluded) -> PlacementChoice override
  {
    PlacementChoice choice;
    std::uint64_t highest = 0;
    for (const auto index : state_.TargetsOfService(aService)) {
      const auto& known = state_.KnownTargets()[index];
      const auto weight = RendezvousWeight(HashOf(aFlow), known.target.agent);
      if (known.standing == TargetStanding::Open && !known.evacuated &&
          known.target.agent != aExcluded && weight >= highest) {
        highest = weight;
        choice.agent = known.target.agent;
        choice.cause = "rendezvous";
      }
    }
    return choice;
  }

private:
  const FleetState& state_;
};

} // namespace

auto MakePlacementRendezvous(const FleetState& aState)
  -> std::unique_ptr<FirstPacketPlacement>
{
  return std::make_unique<PlacementRendezvous>(aState);
}

} // namespace damaskwalk
