// Counts the flows that designs without a directory break on target changes:
// hash only, and hash with chaining to the previous target set. A flow breaks
// when its packets do not reach its owner, or when its owner leaves without
// handover. The scenarios named in the table apply the same target changes to
// this load balancer.

#include "core/rendezvous.h"

#include <cstdio>
#include <string>
#include <vector>

namespace damaskwalk {
namespace {

constexpr std::uint32_t kFlows = 20000;

using Targets = std::vector<Endpoint>;

auto MakeTarget(std::uint16_t aNumber) -> Endpoint
{
  return { 1, aNumber };
}

auto Owner(std::uint32_t aFlow, const Targets& aTargets) -> Endpoint
{
  Endpoint best;
  std::uint64_t bestWeight = 0;
  for (const auto& target : aTargets) {
    const auto weight = RendezvousWeight(Mix(aFlow, 17), target);
    if (!best.IsValid() || weight > bestWeight) {
      best = target;
      bestWeight = weight;
    }
  }
  return best;
}

auto Contains(const Targets& aTargets, const Endpoint& aTarget) -> bool
{
  return std::ranges::find(aTargets, aTarget) != aTargets.end();
}

struct Broken
{
  std::size_t hashOnly = 0;
  std::size_t chaining = 0;
};

// Each flow opens under the first set and stays open through all others.
auto CountBrokenFlows(const std::vector<Targets>& aSets) -> Broken
{
  Broken broken;
  for (std::uint32_t flow = 0; flow < kFlows; ++flow) {
    const auto owner = Owner(flow, aSets.front());
    bool hashBreaks = false;
    bool chainingBreaks = false;
    for (std::size_t i = 1; i < aSets.size(); ++i) {
      const bool ownerLeft = !Contains(aSets[i], owner);
      const bool hashedNow = Owner(flow, aSets[i]) == owner;
      const bool hashedBefore = Owner(flow, aSets[i - 1]) == owner;
      hashBreaks = hashBreaks || ownerLeft || !hashedNow;
      chainingBreaks =
        chainingBreaks || ownerLeft || (!hashedNow && !hashedBefore);
    }
    broken.hashOnly += hashBreaks ? 1 : 0;
    broken.chaining += chainingBreaks ? 1 : 0;
  }
  return broken;
}

auto MakeTargets(std::initializer_list<std::uint16_t> aNumbers) -> Targets
{
  Targets targets;
  for (const auto number : aNumbers) {
    targets.push_back(MakeTarget(number));
  }
  return targets;
}

} // namespace
} // namespace damaskwalk

auto main() -> int
{
  using namespace damaskwalk;
  struct Case
  {
    const char* scenario;
    std::vector<Targets> sets;
  };
  const auto all = MakeTargets({ 1, 2, 3, 4, 5, 6, 7 });
  const std::vector<Case> cases = {
    { "planned-drain-document", { all, MakeTargets({ 1, 3, 4, 5, 6, 7 }) } },
    { "planned-agent-restart",
      { all, MakeTargets({ 2, 3, 4, 5, 6, 7 }), all } },
    { "planned-remove-add",
      { MakeTargets({ 1, 2, 3, 4, 5, 6 }),
        MakeTargets({ 2, 3, 4, 5, 6 }),
        MakeTargets({ 2, 3, 4, 5, 6, 7 }),
        MakeTargets({ 1, 3, 4, 5, 6, 7 }),
        MakeTargets({ 1, 2, 4, 5, 6, 7 }) } },
    { "planned-grow-twice",
      { MakeTargets({ 1, 2, 3, 4, 5 }),
        MakeTargets({ 1, 2, 3, 4, 5, 6 }),
        all } },
  };
  std::printf("%-24s %10s %10s   of %u flows\n",
              "scenario",
              "hash only",
              "chaining",
              kFlows);
  for (const auto& [scenario, sets] : cases) {
    const auto broken = CountBrokenFlows(sets);
    std::printf(
      "%-24s %10zu %10zu\n", scenario, broken.hashOnly, broken.chaining);
  }
  return 0;
}
