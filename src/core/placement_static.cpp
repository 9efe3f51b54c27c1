#include "core/placement.h"
#include "core/rendezvous.h"

namespace damaskwalk {

namespace {

// Policies that ignore load: round robin, random, and hash of the flow. A flow
// goes to the first usable candidate from StartIndex on. A request runs only at
// StartIndex, and waits while that candidate has no free slot.
class PlacementStatic : public Placement
{
public:
  auto PlaceRequest(std::span<const Candidate> aCandidates, std::size_t aOwner)
    -> std::size_t override
  {
    const auto start = StartIndex(aCandidates.size(), aOwner);
    return aCandidates[start].HasFreeSlot() ? start : kNone;
  }

  auto PlaceFlow(std::span<const Candidate> aCandidates, std::uint64_t)
    -> std::size_t override
  {
    const auto start = StartIndex(aCandidates.size(), 0);
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      const auto index = (start + i) % aCandidates.size();
      if (aCandidates[index].usable) {
        return index;
      }
    }
    return kNone;
  }

protected:
  virtual auto StartIndex(std::size_t aCount, std::size_t aOwner)
    -> std::size_t = 0;
};

class PlacementRoundRobin final : public PlacementStatic
{
public:
  auto Name() const -> const char* override { return "round_robin"; }

protected:
  auto StartIndex(std::size_t aCount, std::size_t) -> std::size_t override
  {
    return cursor_++ % aCount;
  }

private:
  std::size_t cursor_ = 0;
};

class PlacementRandom final : public PlacementStatic
{
public:
  explicit PlacementRandom(std::uint64_t aSeed)
    : random_(aSeed)
  {
  }
  auto Name() const -> const char* override { return "random"; }

protected:
  auto StartIndex(std::size_t aCount, std::size_t) -> std::size_t override
  {
    return std::uniform_int_distribution<std::size_t>(0, aCount - 1)(random_);
  }

private:
  std::mt19937_64 random_;
};

// Places flows by rendezvous hash; requests run at the flow's owner.
class PlacementHash final : public PlacementStatic
{
public:
  auto Name() const -> const char* override { return "hash"; }

  auto PlaceFlow(std::span<const Candidate> aCandidates,
                 std::uint64_t aFlowHash) -> std::size_t override
  {
    auto best = kNone;
    std::uint64_t bestWeight = 0;
    for (std::size_t i = 0; i < aCandidates.size(); ++i) {
      const auto weight = RendezvousWeight(aFlowHash, aCandidates[i].agent);
      if (aCandidates[i].usable && (best == kNone || weight > bestWeight)) {
        best = i;
        bestWeight = weight;
      }
    }
    return best;
  }

protected:
  auto StartIndex(std::size_t, std::size_t aOwner) -> std::size_t override
  {
    return aOwner;
  }
};

} // namespace

auto MakePlacementRoundRobin() -> std::unique_ptr<Placement>
{
  return std::make_unique<PlacementRoundRobin>();
}

auto MakePlacementRandom(std::uint64_t aSeed) -> std::unique_ptr<Placement>
{
  return std::make_unique<PlacementRandom>(aSeed);
}

auto MakePlacementHash() -> std::unique_ptr<Placement>
{
  return std::make_unique<PlacementHash>();
}

} // namespace damaskwalk
