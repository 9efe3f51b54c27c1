#include "relay/peer_table.h"

#include "relay/limits.h"

namespace damaskwalk {

namespace {

constexpr std::chrono::minutes kSilentPeerRetention{ 1 };

auto LeavesFlowsUnanswered(const PeerRecord& aPeer, TimePoint aNow) -> bool
{
  return aPeer.placedSinceReport > 0 &&
         aNow - aPeer.unansweredSince > kLoadReportTimeout;
}

// Agents send their load with each heartbeat.
auto ForgetLoad(PeerRecord& aPeer) -> void
{
  aPeer.hasLoad = false;
  aPeer.load = {};
}

} // namespace

PeerTable::PeerTable(const Clock& aClock)
  : clock_(aClock)
  , reports_(aClock)
  , period_(kRelayHeartbeatPeriod)
{
}

auto PeerTable::SetSelf(std::uint32_t aIp, RelayRole aRole) -> void
{
  self_ = aIp;
  selfRole_ = aRole;
}

auto PeerTable::OnHeartbeat(std::uint32_t aIp, const RelayHeartbeat& aHeartbeat)
  -> bool
{
  const auto now = clock_.Now();
  auto [found, isNew] = peers_.try_emplace(aIp);
  auto& peer = found->second;
  if (peer.formerIncarnation != 0 &&
      peer.formerIncarnation == aHeartbeat.incarnation) {
    return false;
  }
  expected_.erase(aIp);
  probes_.erase(aIp);
  placedAtUnheard_.erase(aIp);
  const bool restarted = !isNew && peer.incarnation != aHeartbeat.incarnation;
  // An older datagram of a stopped process may arrive after its last one.
  peer.stopped = aHeartbeat.stopping || (peer.stopped && !restarted);
  peer.role = aHeartbeat.role;
  if (restarted) {
    peer.formerIncarnation = peer.incarnation;
  }
  peer.incarnation = aHeartbeat.incarnation;
  peer.digest = aHeartbeat.digest;
  peer.lastHeartbeatAt = now;
  peer.heardAt = now;
  if (peer.role != RelayRole::Agent) {
    ForgetLoad(peer);
  }
  if (!aHeartbeat.wantsReply) {
    peer.lastPeriodicAt = now;
  }
  if (!aHeartbeat.load.empty()) {
    peer.hasLoad = true;
    peer.load = aHeartbeat.load.front();
    peer.loadAt = now;
    peer.placedSinceReport = 0;
  }
  return isNew || restarted;
}

auto PeerTable::ExpectHeartbeats(std::uint32_t aIp) -> void
{
  if (!peers_.contains(aIp)) {
    expected_.try_emplace(aIp, clock_.Now());
  }
}

auto PeerTable::OnFlowPlaced(std::uint32_t aIp) -> void
{
  auto found = peers_.find(aIp);
  if (found == peers_.end() && IsFar(aIp)) {
    found = peers_.try_emplace(aIp).first;
    found->second.role = RelayRole::Agent;
    found->second.lastHeartbeatAt = clock_.Now();
  }
  if (found == peers_.end()) {
    auto& placed = placedAtUnheard_[aIp];
    if (placed.count == 0) {
      placed.since = clock_.Now();
    }
    ++placed.count;
    return;
  }
  auto& peer = found->second;
  if (peer.placedSinceReport == 0) {
    peer.unansweredSince = clock_.Now();
  }
  ++peer.placedSinceReport;
}

auto PeerTable::PlacedSinceReport(std::uint32_t aIp) const -> std::uint32_t
{
  if (const auto* peer = Find(aIp)) {
    return peer->placedSinceReport;
  }
  const auto found = placedAtUnheard_.find(aIp);
  return found == placedAtUnheard_.end() ? 0 : found->second.count;
}

auto PeerTable::Find(std::uint32_t aIp) const -> const PeerRecord*
{
  const auto found = peers_.find(aIp);
  return found == peers_.end() ? nullptr : &found->second;
}

auto PeerTable::IsSilent(std::uint32_t aIp) const -> bool
{
  if (IsFar(aIp)) {
    return IsFarSilent(aIp);
  }
  const auto now = clock_.Now();
  const auto* peer = Find(aIp);
  if (!peer) {
    return IsUnheardSilent(aIp);
  }
  const bool missed = IsWatched(aIp) && now - peer->lastHeartbeatAt >
                                          kMaxMissedHeartbeats * period_;
  return peer->stopped || missed || LeavesFlowsUnanswered(*peer, now);
}

auto PeerTable::IsUnheardSilent(std::uint32_t aIp) const -> bool
{
  const auto now = clock_.Now();
  const auto placed = placedAtUnheard_.find(aIp);
  if (placed != placedAtUnheard_.end() &&
      now - placed->second.since > kLoadReportTimeout) {
    return true;
  }
  return IsOverdue(aIp, kMaxMissedHeartbeats * period_);
}

auto PeerTable::IsOverdue(std::uint32_t aIp, Millis aTime) const -> bool
{
  const auto expected = expected_.find(aIp);
  return expected != expected_.end() && IsWatched(aIp) && !IsFar(aIp) &&
         clock_.Now() - expected->second > aTime;
}

auto PeerTable::IsAwaited(std::uint32_t aIp) const -> bool
{
  return aIp != self_ && expected_.contains(aIp) && IsWatched(aIp) &&
         !IsFar(aIp);
}

auto PeerTable::IsUnanswering(std::uint32_t aIp) const -> bool
{
  return aIp != self_ && IsOverdue(aIp, kHeartbeatReplyTimeout);
}

auto PeerTable::IsWatched(std::uint32_t aIp) const -> bool
{
  return !watched_ || watched_->contains(aIp);
}

auto PeerTable::SetWatched(const std::vector<std::uint32_t>& aAgents) -> void
{
  std::unordered_set<std::uint32_t> watched(aAgents.begin(), aAgents.end());
  for (const auto ip : watched) {
    if (IsWatched(ip)) {
      continue;
    }
    // Its periodic heartbeats begin now.
    const auto found = peers_.find(ip);
    if (found != peers_.end()) {
      found->second.lastHeartbeatAt = clock_.Now();
    }
    expected_.erase(ip);
    placedAtUnheard_.erase(ip);
  }
  watched_ = std::move(watched);
}

auto PeerTable::IsFarSilent(std::uint32_t aIp) const -> bool
{
  const auto now = clock_.Now();
  const auto* peer = Find(aIp);
  const bool stopped =
    peer && peer->stopped && now - peer->lastHeartbeatAt < kFarStopLifetime;
  return stopped || (peer && LeavesFlowsUnanswered(*peer, now)) ||
         reports_.IsSilent(aIp);
}

auto PeerTable::SetFar(
  const std::unordered_set<std::uint32_t>& aAgents,
  const std::map<DomainId, std::vector<std::uint32_t>>& aDomains) -> void
{
  for (const auto ip : far_) {
    const auto found = peers_.find(ip);
    if (!aAgents.contains(ip) && found != peers_.end()) {
      // Near from now on: its periodic heartbeats begin.
      found->second.lastHeartbeatAt = clock_.Now();
    }
  }
  far_ = aAgents;
  reports_.SetMembers(aDomains);
}

auto PeerTable::UnansweringFar() const -> std::vector<std::uint32_t>
{
  const auto now = clock_.Now();
  std::vector<std::uint32_t> agents;
  for (const auto& [ip, peer] : peers_) {
    if (IsFar(ip) && LeavesFlowsUnanswered(peer, now)) {
      agents.push_back(ip);
    }
  }
  return agents;
}

auto PeerTable::HasComparableLoad(std::uint32_t aIp) const -> bool
{
  if (!IsFar(aIp)) {
    return true;
  }
  const auto* peer = Find(aIp);
  return peer && peer->hasLoad &&
         clock_.Now() - peer->loadAt <= kFarLoadLifetime;
}

auto PeerTable::HasStoppedWithoutFlows(std::uint32_t aIp,
                                       TimePoint aRegistered) const -> bool
{
  const auto* peer = Find(aIp);
  return peer && peer->stopped && peer->hasLoad && peer->load.noFlows &&
         aRegistered <= peer->loadAt && IsWatched(aIp) && !IsFar(aIp);
}

auto PeerTable::HasHeard(std::uint32_t aIp) const -> bool
{
  if (aIp == self_) {
    return selfRole_ == RelayRole::Agent;
  }
  const auto* peer = Find(aIp);
  return peer && peer->incarnation != 0;
}

auto PeerTable::RunsNoAgent(std::uint32_t aIp, TimePoint aRegistered) const
  -> bool
{
  if (aIp == self_) {
    return selfRole_ != RelayRole::Agent;
  }
  const auto now = clock_.Now();
  const auto* peer = Find(aIp);
  const auto reported = reportedBalancers_.find(aIp);
  if (reported != reportedBalancers_.end() &&
      (!peer || peer->heardAt < reported->second) &&
      (reported->second > aRegistered ||
       now - reported->second <= kDomainReportLifetime)) {
    return true;
  }
  if (!peer || peer->role == RelayRole::Agent) {
    return false;
  }
  const bool isCurrent =
    !peer->stopped && now - peer->heardAt <= kMaxMissedHeartbeats * period_;
  return isCurrent || peer->heardAt > aRegistered;
}

auto PeerTable::OnBalancerReported(std::uint32_t aIp) -> void
{
  reportedBalancers_[aIp] = clock_.Now();
}

auto PeerTable::OnProbed(std::uint32_t aIp) -> void
{
  ++probes_[aIp];
}

auto PeerTable::CountsAsAgent(std::uint32_t aIp, TimePoint aRegistered) const
  -> bool
{
  const auto probed = probes_.find(aIp);
  const bool isUnanswered =
    probed != probes_.end() && probed->second >= kMaxUnansweredProbes;
  return !isUnanswered && !IsVacant(aIp) && !RunsNoAgent(aIp, aRegistered);
}

auto PeerTable::IsVacant(std::uint32_t aIp) const -> bool
{
  return aIp != self_ && IsOverdue(aIp, kVacantAddressTime);
}

auto PeerTable::Tick() -> void
{
  const auto now = clock_.Now();
  const auto isExpected = [this](std::uint32_t aIp) {
    return watched_ && watched_->contains(aIp);
  };
  std::erase_if(peers_, [&](const auto& aEntry) {
    const auto& [ip, peer] = aEntry;
    if (now - peer.lastHeartbeatAt <= kSilentPeerRetention) {
      return false;
    }
    if (isExpected(ip)) {
      // It stays silent until it is heard.
      expected_.try_emplace(ip, peer.lastHeartbeatAt);
    }
    return true;
  });
  std::erase_if(expected_, [&](const auto& aEntry) {
    return !isExpected(aEntry.first) &&
           now - aEntry.second > kSilentPeerRetention;
  });
  std::erase_if(reportedBalancers_, [now](const auto& aEntry) {
    return now - aEntry.second > kSilentPeerRetention;
  });
  std::erase_if(placedAtUnheard_, [now](const auto& aEntry) {
    return now - aEntry.second.since > kSilentPeerRetention;
  });
}

auto PeerTable::MeanServiceTime(ServiceId aService) const
  -> std::chrono::microseconds
{
  std::uint64_t total = 0;
  std::uint64_t count = 0;
  for (const auto& [ip, peer] : peers_) {
    if (peer.hasLoad && peer.load.service == aService &&
        peer.load.serviceMicros > 0) {
      total += peer.load.serviceMicros;
      ++count;
    }
  }
  return count == 0 ? kDefaultServiceTime
                    : std::chrono::microseconds{ static_cast<std::int64_t>(
                        total / count) };
}

} // namespace damaskwalk
