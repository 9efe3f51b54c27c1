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

} // namespace

PeerTable::PeerTable(const Clock& aClock)
  : clock_(aClock)
  , reports_(aClock)
  , period_(kRelayHeartbeatPeriod)
{
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
  placedAtUnknown_.erase(aIp);
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
    ++placedAtUnknown_[aIp];
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
  const auto found = placedAtUnknown_.find(aIp);
  return found == placedAtUnknown_.end() ? 0 : found->second;
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
    const auto expected = expected_.find(aIp);
    return IsWatched(aIp) && expected != expected_.end() &&
           now - expected->second > kMaxMissedHeartbeats * period_;
  }
  const bool missed = IsWatched(aIp) && now - peer->lastHeartbeatAt >
                                          kMaxMissedHeartbeats * period_;
  return peer->stopped || missed || LeavesFlowsUnanswered(*peer, now);
}

auto PeerTable::IsWatched(std::uint32_t aIp) const -> bool
{
  return !watched_ || watched_->contains(aIp);
}

auto PeerTable::SetWatched(const std::vector<std::uint32_t>& aAgents) -> void
{
  std::unordered_set<std::uint32_t> watched(aAgents.begin(), aAgents.end());
  for (const auto ip : watched) {
    const auto found = peers_.find(ip);
    if (found != peers_.end() && !IsWatched(ip)) {
      // Its periodic heartbeats begin now.
      found->second.lastHeartbeatAt = clock_.Now();
    }
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

auto PeerTable::RunsNoAgent(std::uint32_t aIp, TimePoint aRegistered) const
  -> bool
{
  const auto* peer = Find(aIp);
  return peer && peer->role != RelayRole::Agent &&
         peer->lastHeartbeatAt > aRegistered;
}

auto PeerTable::Tick() -> void
{
  const auto now = clock_.Now();
  std::erase_if(peers_, [now](const auto& aEntry) {
    return now - aEntry.second.lastHeartbeatAt > kSilentPeerRetention;
  });
  std::erase_if(expected_, [now](const auto& aEntry) {
    return now - aEntry.second > kSilentPeerRetention;
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
