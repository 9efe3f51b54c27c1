#include "relay/limits.h"
#include "relay/placement.h"
#include "relay/search_order.h"

#include <algorithm>

namespace damaskwalk {

using std::chrono::microseconds;

auto ExpectedAnswerTime(const BackendLoad& aLoad,
                        std::uint32_t aPlaced,
                        microseconds aServiceTime) -> microseconds
{
  const auto slots = std::max<std::uint32_t>(aLoad.slots, 1);
  const double recent = aLoad.meanInFlightHundredths / 100.0;
  const double waiting =
    std::max<double>(aLoad.inFlight, recent) + aPlaced + 1.0;
  // Requests share the slots: even below capacity, a busier server queues more
  // often.
  const double queueing = std::max(1.0, waiting / slots);
  const double contention = 0.3 * std::min(1.0, waiting / slots);
  const double failing = 1.0 + 8.0 * aLoad.failurePerMille / 1000.0;
  return microseconds{ static_cast<std::int64_t>(
    double(aServiceTime.count()) * (queueing + contention) * failing) };
}

namespace {

// Preference class of a target. Load decides only between targets of the same
// class.
enum class Preference : std::uint8_t
{
  Preferred, // registered, not silent, answering
  Doubtful,  // silent or not heard for several flows, lapsed registration, not
             // answering, or failing
  OnTrial,   // ejected for failures; may be tried again
  Never,     // must get no new flows, or has no agent
};

class PlacementExpectedWait final : public FirstPacketPlacement
{
public:
  PlacementExpectedWait(const PlacementInit& aInit,
                        const FleetState& aState,
                        const PeerTable& aPeers,
                        const Clock& aClock)
    : init_(aInit)
    , state_(aState)
    , peers_(aPeers)
    , order_(aState, aPeers)
    , clock_(aClock)
    , random_(aInit.seed)
  {
  }

  auto Choose(ServiceId aService, const FlowKey&, const Endpoint& aExcluded)
    -> PlacementChoice override
  {
    ClassifyTargets(aService, aExcluded);
    if (!onTrial_.empty() && random_() % kFlowsPerTrial == 0) {
      return ChooseAny(onTrial_, "trial");
    }
    if (near_.empty() && far_.empty() && !unknownFar_.empty()) {
      return ChooseAny(unknownFar_, "unknown_load");
    }
    if (near_.empty() && far_.empty()) {
      return doubtful_.empty() ? NoChoice(aService)
                               : ChooseAny(doubtful_, "doubtful");
    }
    const auto mean = peers_.MeanServiceTime(aService);
    PlacementChoice best;
    best.expected = microseconds::max();
    SampleCandidates(
      near_, kMaxNearCandidates, microseconds{ 0 }, mean, "near", best);
    SampleCandidates(
      far_, kMaxFarCandidates, kCrossDomainCost, mean, "far", best);
    return best;
  }

private:
  auto ClassifyTargets(ServiceId aService, const Endpoint& aExcluded) -> void
  {
    near_.clear();
    far_.clear();
    unknownFar_.clear();
    doubtful_.clear();
    onTrial_.clear();
    const bool needsFailing = order_.MustUseFailing(aService);
    // An agent left the first packet unanswered: the next one has been heard.
    maxUnheardPlacements_ = aExcluded.IsValid() ? 0 : kMaxUnheardPlacements;
    for (const auto index : state_.TargetsOfService(aService)) {
      const auto& known = state_.KnownTargets()[index];
      if (known.target.agent == aExcluded) {
        continue;
      }
      switch (PreferenceOf(known, needsFailing)) {
        case Preference::Preferred:
          ListOf(known).push_back(&known);
          break;
        case Preference::Doubtful:
          doubtful_.push_back(&known);
          break;
        case Preference::OnTrial:
          onTrial_.push_back(&known);
          doubtful_.push_back(&known);
          break;
        default:
          break;
      }
    }
  }

  // The list of a preferred target.
  auto ListOf(const KnownTarget& aKnown) -> std::vector<const KnownTarget*>&
  {
    if (aKnown.target.failureDomain == init_.failureDomain) {
      return near_;
    }
    return peers_.HasComparableLoad(aKnown.target.agent.ip) ? far_
                                                            : unknownFar_;
  }

  auto PreferenceOf(const KnownTarget& aKnown, bool aNeedsFailing) const
    -> Preference
  {
    if (aKnown.standing == TargetStanding::Leaving ||
        aKnown.standing == TargetStanding::Gone || aKnown.evacuated) {
      return Preference::Never;
    }
    if (!order_.MayHaveAgent(aKnown)) {
      return Preference::Never;
    }
    const auto ip = aKnown.target.agent.ip;
    const auto* peer = peers_.Find(ip);
    if (aKnown.standing != TargetStanding::Open || peers_.IsSilent(ip) ||
        peers_.IsUnanswering(ip)) {
      return Preference::Doubtful;
    }
    if (!peer || !peer->hasLoad) {
      return peers_.PlacedSinceReport(ip) < maxUnheardPlacements_
               ? Preference::Preferred
               : Preference::Doubtful;
    }
    const auto& load = peer->load;
    if (!load.acceptsFlows || load.draining || order_.ServesOther(aKnown)) {
      return Preference::Doubtful;
    }
    if (!load.failing || aNeedsFailing) {
      return Preference::Preferred;
    }
    return load.onTrial ? Preference::OnTrial : Preference::Doubtful;
  }

  // Compares a few random candidates of the list with the best choice so far.
  auto SampleCandidates(std::vector<const KnownTarget*>& aList,
                        std::size_t aMaxCandidates,
                        microseconds aExtra,
                        microseconds aMean,
                        const char* aCause,
                        PlacementChoice& aBest) -> void
  {
    const auto candidates = std::min(aMaxCandidates, aList.size());
    for (std::size_t i = 0; i < candidates; ++i) {
      std::uniform_int_distribution<std::size_t> pick(i, aList.size() - 1);
      std::swap(aList[i], aList[pick(random_)]);
      const auto expected = ExpectedTime(*aList[i], aMean) + aExtra;
      if (expected < aBest.expected) {
        aBest = { aList[i]->target.agent, expected, aCause };
      }
    }
  }

  auto ExpectedTime(const KnownTarget& aKnown, microseconds aMean) const
    -> microseconds
  {
    const auto* peer = peers_.Find(aKnown.target.agent.ip);
    const auto placed = peers_.PlacedSinceReport(aKnown.target.agent.ip);
    BackendLoad load;
    if (peer && peer->hasLoad) {
      load = peer->load;
    }
    load.slots = aKnown.target.slots;
    auto service =
      load.serviceMicros > 0 ? microseconds{ load.serviceMicros } : aMean;
    if (clock_.Now() < aKnown.coldUntil) {
      service = microseconds{ static_cast<std::int64_t>(
        double(std::max(service, aMean).count()) * kColdFactor) };
    }
    return ExpectedAnswerTime(load, placed, service);
  }

  auto NoChoice(ServiceId aService) const -> PlacementChoice
  {
    PlacementChoice none;
    for (const auto index : state_.TargetsOfService(aService)) {
      const auto& known = state_.KnownTargets()[index];
      if (known.evacuated && known.standing == TargetStanding::Open) {
        none.cause = "evacuated";
      }
    }
    return none;
  }

  auto ChooseAny(const std::vector<const KnownTarget*>& aList,
                 const char* aCause) -> PlacementChoice
  {
    std::uniform_int_distribution<std::size_t> pick(0, aList.size() - 1);
    return { aList[pick(random_)]->target.agent, kDefaultServiceTime, aCause };
  }

  PlacementInit init_;
  const FleetState& state_;
  const PeerTable& peers_;
  SearchOrder order_;
  const Clock& clock_;
  std::mt19937_64 random_;
  std::uint32_t maxUnheardPlacements_ = kMaxUnheardPlacements;
  // Scratch lists; members to save allocations.
  std::vector<const KnownTarget*> near_;
  std::vector<const KnownTarget*> far_;
  std::vector<const KnownTarget*> unknownFar_; // without a recent report
  std::vector<const KnownTarget*> doubtful_;
  std::vector<const KnownTarget*> onTrial_;
};

} // namespace

auto MakePlacementExpectedWait(const PlacementInit& aInit,
                               const FleetState& aState,
                               const PeerTable& aPeers,
                               const Clock& aClock)
  -> std::unique_ptr<FirstPacketPlacement>
{
  return std::make_unique<PlacementExpectedWait>(aInit, aState, aPeers, aClock);
}

} // namespace damaskwalk
