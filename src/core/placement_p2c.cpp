#include "core/placement.h"

namespace damaskwalk {

namespace {

// Power of two choices: the less loaded of two random candidates.
class PlacementTwoChoices final : public Placement
{
public:
  explicit PlacementTwoChoices(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }

  auto Name() const -> const char* override { return "p2c"; }

  auto PlaceFlow(std::span<const Candidate> aCandidates, std::uint64_t)
    -> std::size_t override
  {
    return Choose(aCandidates, [](const Candidate& aCandidate) {
      return aCandidate.usable && aCandidate.flows < aCandidate.connections
               ? double(aCandidate.flows) / aCandidate.connections
               : -1.0;
    });
  }

  auto PlaceRequest(std::span<const Candidate> aCandidates, std::size_t)
    -> std::size_t override
  {
    return Choose(aCandidates, [](const Candidate& aCandidate) {
      return aCandidate.HasFreeSlot()
               ? double(aCandidate.busy) / aCandidate.limit
               : -1.0;
    });
  }

private:
  // @param aLoad returns a candidate's load from 0 to 1; below 0 when the
  // candidate may not be chosen.
  template<class Load>
  auto Choose(std::span<const Candidate> aCandidates, Load aLoad) -> std::size_t
  {
    std::uniform_int_distribution<std::size_t> pick(0, aCandidates.size() - 1);
    const auto first = pick(random_);
    const auto second = pick(random_);
    const auto firstLoad = aLoad(aCandidates[first]);
    const auto secondLoad = aLoad(aCandidates[second]);
    if (firstLoad < 0) {
      return secondLoad < 0 ? kNone : second;
    }
    return secondLoad >= 0 && secondLoad < firstLoad ? second : first;
  }

  std::mt19937_64 random_;
};

} // namespace

auto MakePlacementTwoChoices(std::uint64_t aSeed) -> std::unique_ptr<Placement>
{
  return std::make_unique<PlacementTwoChoices>(aSeed);
}

} // namespace damaskwalk
