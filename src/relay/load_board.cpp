#include "relay/load_board.h"

#include "relay/limits.h"

namespace damaskwalk {

namespace {

constexpr std::chrono::minutes kSilentPeerKept{ 1 };

} // namespace

LoadBoard::LoadBoard(const Clock& aClock)
  : clock_(aClock)
  , period_(kRelayHeartbeat)
{
}

auto LoadBoard::Hear(std::uint32_t aIp, const RelayHeartbeat& aHeartbeat)
  -> bool
{
  const auto now = clock_.Now();
  expected_.erase(aIp);
  placedUnheard_.erase(aIp);
  auto [found, isNew] = peers_.try_emplace(aIp);
  auto& peer = found->second;
  const bool restarted = !isNew && peer.incarnation != aHeartbeat.incarnation;
  // An older datagram of a stopped process may come after its last one.
  peer.stopped = aHeartbeat.stopping || (peer.stopped && !restarted);
  peer.role = aHeartbeat.role;
  peer.incarnation = aHeartbeat.incarnation;
  peer.digest = aHeartbeat.digest;
  peer.heardAt = now;
  if (!aHeartbeat.load.empty()) {
    peer.hasLoad = true;
    peer.load = aHeartbeat.load.front();
    peer.loadAt = now;
    peer.placedSince = 0;
  }
  return isNew || restarted;
}

auto LoadBoard::Expect(std::uint32_t aIp) -> void
{
  if (!peers_.contains(aIp)) {
    expected_.try_emplace(aIp, clock_.Now());
  }
}

auto LoadBoard::NotePlaced(std::uint32_t aIp) -> void
{
  const auto found = peers_.find(aIp);
  if (found == peers_.end()) {
    ++placedUnheard_[aIp];
    return;
  }
  auto& peer = found->second;
  if (peer.placedSince == 0) {
    peer.unansweredSince = clock_.Now();
  }
  ++peer.placedSince;
}

auto LoadBoard::PlacedSince(std::uint32_t aIp) const -> std::uint32_t
{
  if (const auto* peer = Find(aIp)) {
    return peer->placedSince;
  }
  const auto found = placedUnheard_.find(aIp);
  return found == placedUnheard_.end() ? 0 : found->second;
}

auto LoadBoard::Find(std::uint32_t aIp) const -> const PeerView*
{
  const auto found = peers_.find(aIp);
  return found == peers_.end() ? nullptr : &found->second;
}

auto LoadBoard::IsSilent(std::uint32_t aIp) const -> bool
{
  const auto now = clock_.Now();
  const auto* peer = Find(aIp);
  if (!peer) {
    const auto expected = expected_.find(aIp);
    return expected != expected_.end() &&
           now - expected->second > kSilentHeartbeats * period_;
  }
  return peer->stopped || now - peer->heardAt > kSilentHeartbeats * period_ ||
         (peer->placedSince > 0 && now - peer->unansweredSince > kReportWithin);
}

auto LoadBoard::StoppedEmpty(std::uint32_t aIp) const -> bool
{
  const auto* peer = Find(aIp);
  return peer && peer->stopped && peer->hasLoad && peer->load.empty;
}

auto LoadBoard::Tick() -> void
{
  const auto now = clock_.Now();
  std::erase_if(peers_, [now](const auto& aEntry) {
    return now - aEntry.second.heardAt > kSilentPeerKept;
  });
  std::erase_if(expected_, [now](const auto& aEntry) {
    return now - aEntry.second > kSilentPeerKept;
  });
}

auto LoadBoard::MeanServiceTime(ServiceId aService) const
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
