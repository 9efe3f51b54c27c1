#include "core/placement.h"

#include <algorithm>

namespace damaskwalk {

namespace {

// Flows go where the fewest are held for the capacity that is there; requests
// go to the free slot of the server that has been busy for the least share of
// its time, which evens out utilisation whatever the speeds are.
class PlacementSpare final : public Placement
{
public:
  PlacementSpare(std::uint64_t aSeed, bool aRequests)
    : random_(aSeed)
    , requests_(aRequests)
  {
  }

  auto Name() const -> const char* override
  {
    return requests_ ? "spare" : "flows";
  }

  auto PlaceFlow(std::span<const Candidate> aCandidates, std::uint64_t)
    -> std::size_t override
  {
    auto best = kNone;
    double bestScore = 0;
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      const auto& candidate = aCandidates[i];
      if (!candidate.usable || candidate.flows >= candidate.connections) {
        continue;
      }
      const auto capacity =
        requests_ ? candidate.connections
                  : candidate.limit / std::max(candidate.serviceSeconds, 1e-6);
      const auto score = (candidate.flows + Jitter()) / capacity;
      if (best == kNone || score < bestScore) {
        best = i;
        bestScore = score;
      }
    }
    return best;
  }

  auto PlaceRequest(std::span<const Candidate> aCandidates, std::size_t aHome)
    -> std::size_t override
  {
    if (!requests_) {
      return aCandidates[aHome].HasSlot() ? aHome : kNone;
    }
    auto best = kNone;
    double bestScore = 0;
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      const auto& candidate = aCandidates[i];
      if (!candidate.HasSlot()) {
        continue;
      }
      const auto score = candidate.utilisation + kNoise * Jitter();
      if (best == kNone || score < bestScore) {
        best = i;
        bestScore = score;
      }
    }
    return best;
  }

private:
  // Breaks ties so that several owners do not choose alike.
  static constexpr double kNoise = 0.01;

  auto Jitter() -> double
  {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  std::mt19937_64 random_;
  bool requests_;
};

} // namespace

auto MakePlacementSpare(std::uint64_t aSeed, bool aRequests)
  -> std::unique_ptr<Placement>
{
  return std::make_unique<PlacementSpare>(aSeed, aRequests);
}

} // namespace damaskwalk
