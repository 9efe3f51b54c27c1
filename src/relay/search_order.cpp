#include "relay/search_order.h"

#include "core/rendezvous.h"
#include "relay/limits.h"

#include <limits>
#include <tuple>

namespace damaskwalk {

SearchOrder::SearchOrder(const FleetState& aState, const PeerTable& aPeers)
  : state_(aState)
  , peers_(aPeers)
{
}

auto SearchOrder::IsAgent(const Endpoint& aAgent) const -> bool
{
  const auto* known = state_.FindAgent(aAgent);
  return !peers_.RunsNoAgent(aAgent.ip, known ? known->since : TimePoint{});
}

auto SearchOrder::MayHaveAgent(const KnownTarget& aKnown) const -> bool
{
  const auto ip = aKnown.target.agent.ip;
  return !peers_.RunsNoAgent(ip, aKnown.since) && !peers_.IsVacant(ip);
}

auto SearchOrder::DirectoryAgents(const RelayRoute& aRoute,
                                  const FlowKey& aFlow) const
  -> std::vector<Endpoint>
{
  struct Rank
  {
    // Agents that answer, then near ones that may, then silent ones.
    int answering = 0;
    std::uint64_t weight = 0;
    Endpoint agent;
  };
  Rank first;
  Rank second;
  const auto key = HashOf(aFlow);
  const auto ranksBefore = [](const Rank& aLeft, const Rank& aRight) {
    return aLeft.answering != aRight.answering
             ? aLeft.answering > aRight.answering
             : aLeft.weight > aRight.weight;
  };
  for (const auto service : state_.ServicesHolding(aRoute)) {
    for (const auto index : state_.TargetsOfService(service)) {
      const auto& known = state_.KnownTargets()[index];
      if (known.standing == TargetStanding::Gone || !MayHaveAgent(known)) {
        continue;
      }
      const auto& agent = known.target.agent;
      const bool isSilent =
        peers_.IsSilent(agent.ip) || peers_.IsUnanswering(agent.ip);
      const Rank rank{ isSilent                     ? 0
                       : peers_.IsAwaited(agent.ip) ? 1
                                                    : 2,
                       RendezvousWeight(key, agent),
                       agent };
      if (!first.agent.IsValid() || ranksBefore(rank, first)) {
        second = first;
        first = rank;
      } else if (!second.agent.IsValid() || ranksBefore(rank, second)) {
        second = rank;
      }
    }
  }
  std::vector<Endpoint> agents;
  if (first.agent.IsValid()) {
    agents.push_back(first.agent);
  }
  if (second.agent.IsValid()) {
    agents.push_back(second.agent);
  }
  return agents;
}

auto SearchOrder::HighestWeightBelow(const RelayRoute& aRoute,
                                     const FlowKey& aFlow,
                                     std::uint64_t aWeight) const -> SearchStep
{
  const auto key = HashOf(aFlow);
  SearchStep step;
  std::uint64_t highestWeight = 0;
  std::uint64_t highestSilentWeight = 0;
  for (const auto service : state_.ServicesToSearch(aRoute)) {
    for (const auto index : state_.TargetsOfService(service)) {
      const auto& known = state_.KnownTargets()[index];
      const auto& agent = known.target.agent;
      const auto weight = RendezvousWeight(key, agent);
      if (weight >= aWeight || !MayHaveAgent(known)) {
        continue;
      }
      if (!IsSilent(known)) {
        if (!step.agent || weight > highestWeight) {
          highestWeight = weight;
          step.agent = agent;
        }
      } else if (MayHoldFlows(known)) {
        highestSilentWeight = std::max(highestSilentWeight, weight);
      }
    }
  }
  step.skippedSilent = highestSilentWeight > highestWeight;
  return step;
}

auto SearchOrder::First(const RelayRoute& aRoute, const FlowKey& aFlow) const
  -> SearchStep
{
  return HighestWeightBelow(
    aRoute, aFlow, std::numeric_limits<std::uint64_t>::max());
}

auto SearchOrder::Next(const RelayRoute& aRoute,
                       const FlowKey& aFlow,
                       const Endpoint& aAfter) const -> SearchStep
{
  return HighestWeightBelow(
    aRoute, aFlow, RendezvousWeight(HashOf(aFlow), aAfter));
}

auto SearchOrder::NextAccepting(const RelayRoute& aRoute,
                                const FlowKey& aFlow,
                                const Endpoint& aAfter) const
  -> std::optional<Endpoint>
{
  const auto key = HashOf(aFlow);
  const auto own = RendezvousWeight(key, aAfter);
  // Compared in this order: not awaited, then below the own weight, where the
  // order goes on, then by weight.
  using Rank = std::tuple<bool, bool, std::uint64_t>;
  Rank best;
  std::optional<Endpoint> next;
  for (const auto& entry : aRoute.services) {
    for (const auto index : state_.TargetsOfService(entry.service)) {
      const auto& known = state_.KnownTargets()[index];
      const auto& agent = known.target.agent;
      if (agent == aAfter || !AcceptsNewFlows(known)) {
        continue;
      }
      const auto weight = RendezvousWeight(key, agent);
      const Rank rank{ !peers_.IsAwaited(agent.ip), weight < own, weight };
      if (!next || rank > best) {
        best = rank;
        next = agent;
      }
    }
  }
  return next;
}

auto SearchOrder::AcceptsNewFlows(const KnownTarget& aKnown) const -> bool
{
  const auto ip = aKnown.target.agent.ip;
  const auto* peer = peers_.Find(ip);
  const bool answering =
    !peer || !peer->hasLoad ||
    (peer->load.acceptsFlows && !peer->load.draining && !peer->load.failing);
  return aKnown.standing == TargetStanding::Open && !aKnown.evacuated &&
         answering && !peers_.IsSilent(ip) && !ServesOther(aKnown) &&
         MayHaveAgent(aKnown);
}

auto SearchOrder::ServesOther(const KnownTarget& aKnown) const -> bool
{
  const auto* peer = peers_.Find(aKnown.target.agent.ip);
  return peer && peer->hasLoad && peer->loadAt > aKnown.since &&
         peer->load.service.IsValid() &&
         peer->load.service != aKnown.target.service;
}

auto SearchOrder::IsSilent(const KnownTarget& aKnown) const -> bool
{
  const auto ip = aKnown.target.agent.ip;
  // Nobody reports on a far agent after its target is gone.
  const bool unwatched =
    aKnown.standing == TargetStanding::Gone && peers_.IsFar(ip);
  return unwatched || peers_.IsSilent(ip) || peers_.IsUnanswering(ip);
}

auto SearchOrder::MayHoldFlows(const KnownTarget& aKnown) const -> bool
{
  return aKnown.standing != TargetStanding::Gone && MayHaveAgent(aKnown) &&
         !peers_.HasStoppedWithoutFlows(aKnown.target.agent.ip, aKnown.since);
}

auto SearchOrder::MustUseFailing(ServiceId aService) const -> bool
{
  std::size_t open = 0;
  std::size_t healthy = 0;
  for (const auto index : state_.TargetsOfService(aService)) {
    const auto& known = state_.KnownTargets()[index];
    open += known.standing == TargetStanding::Open && !known.evacuated &&
                MayHaveAgent(known)
              ? 1
              : 0;
    healthy += AcceptsNewFlows(known) ? 1 : 0;
  }
  return double(healthy) < kMinHealthyShare * double(open);
}

auto SearchOrder::SilentAgents(const RelayRoute& aRoute) const -> std::string
{
  constexpr std::size_t kMaxNamedAgents = 3;
  std::string names;
  std::size_t count = 0;
  for (const auto service : state_.ServicesToSearch(aRoute)) {
    for (const auto index : state_.TargetsOfService(service)) {
      const auto& known = state_.KnownTargets()[index];
      const auto& agent = known.target.agent;
      if (!MayHoldFlows(known) || !peers_.IsSilent(agent.ip) ||
          ++count > kMaxNamedAgents) {
        continue;
      }
      names += (names.empty() ? "" : ",") + ToText(agent) + "/" +
               ToText(known.standing);
    }
  }
  return names;
}

auto SearchOrder::ViewHash(const RelayRoute& aRoute) const -> std::uint8_t
{
  constexpr std::uint64_t kViewMask = 0x1F;
  std::uint64_t sum = 0;
  for (const auto service : state_.ServicesToSearch(aRoute)) {
    for (const auto index : state_.TargetsOfService(service)) {
      const auto& known = state_.KnownTargets()[index];
      if (known.standing != TargetStanding::Gone) {
        sum += Mix(HashOf(known.target.agent), 17);
      }
    }
  }
  return static_cast<std::uint8_t>(sum & kViewMask);
}

} // namespace damaskwalk
