#include "core/placement.h"

#include <algorithm>

namespace damaskwalk {

namespace {

// A flow goes to the candidate with the fewest flows relative to its capacity.
// A request goes to the candidate with a free slot and the lowest utilisation,
// which evens out utilisation between backend servers of different speeds.
class PlacementSpare final : public Placement
{
public:
  PlacementSpare(std::uint64_t aSeed, bool aPlaceRequests)
    : random_(aSeed)
    , placeRequests_(aPlaceRequests)
  {
  }

  auto Name() const -> const char* override
  {
    return placeRequests_ ? "spare" : "flows";
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
        placeRequests_
          ? candidate.connections
          : candidate.limit / std::max(candidate.serviceSeconds, 1e-6);
      const auto score = (candidate.flows + Jitter()) / capacity;
      if (best == kNone || score < bestScore) {
        best = i;
        bestScore = score;
      }
    }
    return best;
  }

  auto PlaceRequest(std::span<const Candidate> aCandidates, std::size_t aOwner)
    -> std::size_t override
  {
    if (!placeRequests_) {
      return aCandidates[aOwner].HasFreeSlot() ? aOwner : kNone;
    }
    auto best = kNone;
    double bestScore = 0;
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      const auto& candidate = aCandidates[i];
      if (!candidate.HasFreeSlot()) {
        continue;
      }
      const auto score = candidate.utilisation + kTieBreakNoise * Jitter();
      if (best == kNone || score < bestScore) {
        best = i;
        bestScore = score;
      }
    }
    return best;
  }

private:
  // Share of utilisation, added at random so that several owners with the same
  // reports do not all choose the same candidate.
  static constexpr double kTieBreakNoise = 0.01;

  auto Jitter() -> double
  {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  std::mt19937_64 random_;
  bool placeRequests_;
};

} // namespace

auto MakePlacementSpare(std::uint64_t aSeed, bool aPlaceRequests)
  -> std::unique_ptr<Placement>
{
  return std::make_unique<PlacementSpare>(aSeed, aPlaceRequests);
}

} // namespace damaskwalk
