#include "relay/heartbeat_plan.h"

#include "relay/limits.h"

#include <algorithm>

namespace damaskwalk {

namespace {

constexpr std::uint64_t kRingKey = 23;

// Distance from one address to another along the ring of hashes.
auto RingDistance(std::uint32_t aFrom, std::uint32_t aTo) -> std::uint64_t
{
  return Mix(aTo, kRingKey) - Mix(aFrom, kRingKey);
}

// Agents with a registered target of a service in use. After an outage a target
// may be registered anew while its former registration lasts.
auto CountAgents(const FleetState& aState, const PeerTable& aPeers)
  -> std::size_t
{
  std::unordered_set<std::uint32_t> agents;
  for (const auto& known : aState.KnownTargets()) {
    if (known.standing != TargetStanding::Gone &&
        aState.IsInUse(known.target.service) &&
        aPeers.CountsAsAgent(known.target.agent.ip, known.since)) {
      agents.insert(known.target.agent.ip);
    }
  }
  return agents.size();
}

} // namespace

HeartbeatPlan::HeartbeatPlan(const HeartbeatPlanInit& aInit)
  : init_(aInit)
  , random_(aInit.seed)
{
}

auto HeartbeatPlan::IsOutdated(const FleetState& aState,
                               const PeerTable& aPeers) const -> bool
{
  return CountAgents(aState, aPeers) != agents_;
}

auto HeartbeatPlan::Update(const FleetState& aState, const PeerTable& aPeers)
  -> void
{
  near_.clear();
  unused_.clear();
  padding_.clear();
  far_.clear();
  farDomains_.clear();
  agents_ = CountAgents(aState, aPeers);
  fullMesh_ = agents_ <= kFullMeshTargets;
  if (fullMesh_) {
    isSizeCertain_ = false;
    UpdateFullMesh(aState);
  } else {
    UpdateByDomain(aState, aPeers);
  }
}

auto HeartbeatPlan::UpdateFullMesh(const FleetState& aState) -> void
{
  // Searches for a flow visit the agents of every service that its route names
  // or named.
  const auto services = aState.ServicesSharingRoutes(init_.service);
  for (const auto& known : aState.KnownTargets()) {
    const auto& target = known.target;
    const bool concerns =
      init_.role == RelayRole::Balancer || services.contains(target.service);
    if (concerns && target.agent.ip != init_.self) {
      near_.push_back(target.agent.ip);
    }
  }
}

auto HeartbeatPlan::UpdateByDomain(const FleetState& aState,
                                   const PeerTable& aPeers) -> void
{
  for (const auto& known : aState.KnownTargets()) {
    const auto& target = known.target;
    const auto ip = target.agent.ip;
    if (ip == init_.self) {
      continue;
    }
    // Agents without a registration are heard by near processes only.
    const bool isNear = target.failureDomain == init_.failureDomain ||
                        target.failureDomain.empty();
    if (!aState.IsInUse(target.service)) {
      if (isNear) {
        unused_.insert(ip);
      }
      continue;
    }
    if (isNear) {
      near_.push_back(ip);
      continue;
    }
    far_.insert(ip);
    if (known.standing != TargetStanding::Gone) {
      farDomains_[DomainIdOf(target.failureDomain)].push_back(ip);
    }
  }
  LimitNear(aPeers);
  PadNear(aPeers);
}

auto HeartbeatPlan::LimitNear(const PeerTable& aPeers) -> void
{
  if (near_.size() <= kMaxNearAgents) {
    return;
  }
  std::ranges::sort(near_, {}, [&](auto aIp) {
    return std::pair(aPeers.IsVacant(aIp), RingDistance(init_.self, aIp));
  });
  far_.insert(near_.begin() + kMaxNearAgents, near_.end());
  near_.resize(kMaxNearAgents);
}

auto HeartbeatPlan::PadNear(const PeerTable& aPeers) -> void
{
  if (near_.size() >= kMinNearAgents) {
    return;
  }
  std::vector<std::uint32_t> order(far_.begin(), far_.end());
  std::ranges::sort(order, {}, [&](auto aIp) {
    return std::pair(!aPeers.CountsAsAgent(aIp, TimePoint::max()),
                     RingDistance(init_.self, aIp));
  });
  const auto count = std::min(kMinNearAgents - near_.size(), order.size());
  padding_.assign(order.begin(), order.begin() + std::ptrdiff_t(count));
}

auto HeartbeatPlan::SampleDomains(std::size_t aPerDomain,
                                  const PeerTable& aPeers)
  -> std::vector<std::uint32_t>
{
  std::vector<std::uint32_t> sample;
  for (const auto& [domain, members] : farDomains_) {
    std::vector<std::uint32_t> agents;
    std::ranges::copy_if(members, std::back_inserter(agents), [&](auto aIp) {
      return aPeers.CountsAsAgent(aIp, TimePoint::max()) &&
             !aPeers.IsSilent(aIp);
    });
    std::ranges::sample(agents.empty() ? members : agents,
                        std::back_inserter(sample),
                        std::ptrdiff_t(aPerDomain),
                        random_);
  }
  return sample;
}

auto HeartbeatPlan::SampleUnheard(std::size_t aCount, const PeerTable& aPeers)
  -> std::vector<std::uint32_t>
{
  if (isSizeCertain_) {
    return {};
  }
  std::vector<std::uint32_t> unheard;
  const std::unordered_set<std::uint32_t> near(near_.begin(), near_.end());
  const auto isHeard = [&](auto aIp) { return aPeers.HasHeard(aIp); };
  auto heard = std::ranges::count_if(near, isHeard);
  for (const auto ip : far_) {
    if (isHeard(ip)) {
      ++heard;
    } else if (aPeers.CountsAsAgent(ip, TimePoint::max())) {
      unheard.push_back(ip);
    }
  }
  isSizeCertain_ = static_cast<std::size_t>(heard) > kFullMeshTargets;
  std::vector<std::uint32_t> sample;
  if (!isSizeCertain_) {
    std::ranges::sample(
      unheard, std::back_inserter(sample), std::ptrdiff_t(aCount), random_);
  }
  return sample;
}

auto HeartbeatPlan::SampleFar(std::size_t aCount) -> std::vector<std::uint32_t>
{
  std::vector<std::uint32_t> sample;
  std::ranges::sample(
    far_, std::back_inserter(sample), std::ptrdiff_t(aCount), random_);
  return sample;
}

auto HeartbeatPlan::DrawReporter(std::size_t aProcesses) -> bool
{
  const auto share =
    kDomainReporters / double(std::max<std::size_t>(aProcesses, 1));
  return std::bernoulli_distribution(std::min(1.0, share))(random_);
}

} // namespace damaskwalk
