#include "relay/peer_exchange.h"

#include "relay/limits.h"

#include <algorithm>

namespace damaskwalk {

namespace {

// A balancer that sent no periodic heartbeat for this long gets none.
constexpr std::chrono::minutes kBalancerRetention{ 1 };

auto SendToAll(const std::unordered_set<std::uint32_t>& aPeers,
               const PeerMessage& aMessage,
               RelayPort& aPort) -> void
{
  for (const auto ip : aPeers) {
    aPort.SendToPeer(ip, aMessage);
  }
}

} // namespace

PeerExchange::PeerExchange(const HeartbeatPlanInit& aInit,
                           FleetState& aState,
                           PeerTable& aPeers,
                           const Clock& aClock,
                           PeerExchangeHost& aHost)
  : init_(aInit)
  , state_(aState)
  , peers_(aPeers)
  , clock_(aClock)
  , host_(aHost)
  , plan_(aInit)
  , nextHeartbeat_(aClock.Now())
  , nextReport_(aClock.Now())
{
}

auto PeerExchange::SetSeeds(const std::vector<std::uint32_t>& aSeeds) -> void
{
  seeds_ = aSeeds;
}

auto PeerExchange::OnHeartbeat(std::uint32_t aIp,
                               const RelayHeartbeat& aHeartbeat,
                               RelayPort& aPort) -> void
{
  const bool isNew = peers_.OnHeartbeat(aIp, aHeartbeat);
  if (aHeartbeat.role == RelayRole::Balancer) {
    host_.OnBalancer(aIp);
  } else if (isNew) {
    host_.OnAgentStarted(aIp);
  }
  const bool isNear = IsNear(aIp);
  if (isNear && !aHeartbeat.stopping) {
    ObserveAgent(aIp, aHeartbeat);
  }
  if ((isNew && isNear) || aHeartbeat.wantsReply) {
    aPort.SendToPeer(aIp, PeerMessage{ host_.MakeHeartbeat() });
  }
  const auto ageBefore = state_.Age();
  state_.Confirm(aHeartbeat.digest);
  // Far agents answer a balancer's first packets and probes. An agent asks
  // nobody, so what comes from far is an announcement of state.
  const bool isAnnouncement =
    !isNear && init_.role == RelayRole::Agent && !aHeartbeat.wantsReply;
  if (isAnnouncement && ageBefore > kPassOnAge && state_.Age() <= kPassOnAge) {
    PassOnState(aPort);
  }
  if (!aHeartbeat.stopping && aHeartbeat.digest.IsNewerThan(state_.Digest())) {
    OnNewerState(aIp, isNear || isAnnouncement);
  } else if (!aHeartbeat.stopping &&
             (isNear || !state_.History().IsComplete())) {
    PullHistory(aIp, aHeartbeat.digest);
  }
}

auto PeerExchange::ObserveAgent(std::uint32_t aIp,
                                const RelayHeartbeat& aHeartbeat) -> void
{
  if (init_.agentPort == 0 || aHeartbeat.load.empty()) {
    return;
  }
  const auto service = aHeartbeat.load.front().service;
  if (service.IsValid() &&
      state_.ObserveAgent({ aIp, init_.agentPort }, service)) {
    OnStateChanged();
  }
}

auto PeerExchange::PullHistory(std::uint32_t aIp, const StateDigest& aDigest)
  -> void
{
  const auto now = clock_.Now();
  const auto own = state_.Digest();
  if (aDigest.routes == own.routes && aDigest.HasOtherHistoryThan(own) &&
      now >= nextHistoryPull_) {
    nextHistoryPull_ = now + kHistoryPullPeriod;
    host_.PullState(aIp);
  }
}

auto PeerExchange::OnNewerState(std::uint32_t aIp, bool aAnnounced) -> void
{
  const auto now = clock_.Now();
  if (!behindSince_) {
    behindSince_ = now;
  }
  if (aAnnounced || now - *behindSince_ >= kFarPullDelay) {
    host_.PullState(aIp);
  }
}

auto PeerExchange::OnDomainReport(std::uint32_t aIp,
                                  const DomainReport& aReport,
                                  RelayPort& aPort) -> void
{
  const bool isNews = peers_.Reports().OnReport(aReport);
  for (const auto ip : aReport.balancers) {
    peers_.OnBalancerReported(ip);
    host_.OnBalancer(ip);
  }
  // The receiver of a report passes it on; the near peers do not again.
  if (isNews && aIp == aReport.reporter) {
    SendToAll(NearPeers(), PeerMessage{ aReport }, aPort);
  }
}

auto PeerExchange::OnStateChanged() -> void
{
  plan_.Update(state_, peers_);
  peers_.SetFar(plan_.Far(), plan_.FarDomains());
  peers_.SetWatched(plan_.Near());
  behindSince_.reset();
}

auto PeerExchange::OnStatePulled(std::uint32_t aIp, RelayPort& aPort) -> void
{
  if (!IsNear(aIp)) {
    PassOnState(aPort);
  }
}

auto PeerExchange::Tick(RelayPort& aPort) -> void
{
  const auto now = clock_.Now();
  if (now >= nextHeartbeat_) {
    nextHeartbeat_ = now + peers_.HeartbeatPeriod();
    if (plan_.IsOutdated(state_, peers_)) {
      OnStateChanged();
    }
    SendHeartbeats(aPort);
  }
  if (now >= nextReport_) {
    nextReport_ = now + kDomainReportPeriod;
    ReportDomain(aPort);
  }
  if (reannounceUntil_ && now < *reannounceUntil_ && now >= nextReannounce_) {
    nextReannounce_ = now + kReannouncePeriod;
    Reannounce(aPort);
  }
}

auto PeerExchange::Reannounce(RelayPort& aPort) -> void
{
  auto peers = plan_.IsFullMesh() ? KnownPeers() : NearPeers();
  std::erase_if(peers, [this](auto aIp) { return peers_.Find(aIp); });
  SendToAll(peers, PeerMessage{ host_.MakeHeartbeat() }, aPort);
}

auto PeerExchange::SendHeartbeats(RelayPort& aPort) -> void
{
  const auto heard = plan_.IsFullMesh() ? plan_.Agents() : plan_.Near().size();
  peers_.SetHeartbeatPeriod(
    std::max(kRelayHeartbeatPeriod,
             kHeartbeatPeriodPerTarget * static_cast<std::int64_t>(heard)));
  auto peers = NearPeers();
  peers.insert(plan_.Unused().begin(), plan_.Unused().end());
  auto heartbeat = host_.MakeHeartbeat();
  SendToAll(peers, PeerMessage{ heartbeat }, aPort);
  // Balancers at registered addresses hear nothing else that they answer.
  heartbeat.wantsReply = true;
  SendToAll(RegisteredBalancers(), PeerMessage{ heartbeat }, aPort);
  for (const auto ip : plan_.Near()) {
    peers_.ExpectHeartbeats(ip);
  }
  ProbeFar(aPort);
}

auto PeerExchange::ProbeFar(RelayPort& aPort) -> void
{
  const auto& padding = plan_.Padding();
  std::unordered_set<std::uint32_t> probed(padding.begin(), padding.end());
  if (init_.role == RelayRole::Balancer) {
    const auto sample = plan_.SampleFar(kFarProbesPerPeriod);
    probed.insert(sample.begin(), sample.end());
    auto unanswering = peers_.UnansweringFar();
    unanswering.resize(std::min(unanswering.size(), kFarProbesPerPeriod));
    probed.insert(unanswering.begin(), unanswering.end());
  }
  for (const auto ip : plan_.SampleUnheard(kUnheardProbesPerPeriod, peers_)) {
    peers_.OnProbed(ip);
    probed.insert(ip);
  }
  if (probed.empty()) {
    return;
  }
  auto heartbeat = host_.MakeHeartbeat();
  heartbeat.wantsReply = true;
  SendToAll(probed, PeerMessage{ std::move(heartbeat) }, aPort);
}

auto PeerExchange::ReportDomain(RelayPort& aPort) -> void
{
  const auto agents = plan_.SampleDomains(1, peers_);
  if (agents.empty() || !plan_.DrawReporter(CountHeard(NearPeers()) + 1)) {
    return;
  }
  const PeerMessage message{ MakeDomainReport() };
  for (const auto ip : agents) {
    aPort.SendToPeer(ip, message);
  }
}

auto PeerExchange::MakeDomainReport() const -> DomainReport
{
  DomainReport report;
  report.domain = DomainIdOf(init_.failureDomain);
  report.reporter = init_.self;
  for (const auto ip : plan_.Near()) {
    if (peers_.IsSilent(ip)) {
      report.silentAgents.push_back(ip);
    }
  }
  const auto heard = CountHeard(plan_.Near());
  const auto silent = CountHeard(report.silentAgents);
  if (2 * silent > heard) {
    report.silentAgents.clear(); // this process may be the one that is cut off
  }
  if (init_.role == RelayRole::Balancer) {
    report.balancers.push_back(init_.self);
  }
  for (const auto& [ip, peer] : peers_.Peers()) {
    if (peer.role == RelayRole::Balancer && IsNear(ip)) {
      report.balancers.push_back(ip);
    }
  }
  return report;
}

auto PeerExchange::Announce(RelayPort& aPort) -> void
{
  if (!reannounceUntil_) {
    reannounceUntil_ = clock_.Now() + kReannounceTime;
    nextReannounce_ = clock_.Now() + kReannouncePeriod;
  }
  auto peers = plan_.IsFullMesh() ? KnownPeers() : NearPeers();
  const auto far = plan_.SampleDomains(kFarAnnouncements, peers_);
  peers.insert(far.begin(), far.end());
  SendToAll(peers, PeerMessage{ host_.MakeHeartbeat() }, aPort);
}

auto PeerExchange::PassOnState(RelayPort& aPort) -> void
{
  const auto now = clock_.Now();
  if (now - passedOnAt_ < kPassOnAge) {
    return;
  }
  passedOnAt_ = now;
  SendToAll(NearPeers(), PeerMessage{ host_.MakeHeartbeat() }, aPort);
}

auto PeerExchange::AnnounceStop(RelayPort& aPort) -> void
{
  const bool tellsAll = plan_.IsFullMesh() ||
                        (init_.role == RelayRole::Agent &&
                         state_.KnownTargets().size() <= kMaxStopAnnouncements);
  SendToAll(tellsAll ? KnownPeers() : NearPeers(),
            PeerMessage{ host_.MakeHeartbeat() },
            aPort);
}

auto PeerExchange::IsNear(std::uint32_t aIp) const -> bool
{
  if (plan_.IsFullMesh()) {
    return true;
  }
  const auto* peer = peers_.Find(aIp);
  if (!peer || peer->role == RelayRole::Agent) {
    return !peers_.IsFar(aIp);
  }
  return clock_.Now() - peer->lastPeriodicAt <=
         kMaxMissedHeartbeats * peers_.HeartbeatPeriod();
}

auto PeerExchange::NearPeers() const -> std::unordered_set<std::uint32_t>
{
  std::unordered_set<std::uint32_t> peers(plan_.Near().begin(),
                                          plan_.Near().end());
  const auto oldest = clock_.Now() - kBalancerRetention;
  for (const auto& [ip, peer] : peers_.Peers()) {
    if (init_.role == RelayRole::Agent && peer.role == RelayRole::Balancer &&
        peer.lastPeriodicAt >= oldest) {
      peers.insert(ip);
    }
  }
  peers.erase(init_.self);
  return peers;
}

template<class Addresses>
auto PeerExchange::CountHeard(const Addresses& aAddresses) const -> std::size_t
{
  return static_cast<std::size_t>(std::ranges::count_if(
    aAddresses, [this](auto aIp) { return peers_.HasHeard(aIp); }));
}

auto PeerExchange::RegisteredBalancers() const
  -> std::unordered_set<std::uint32_t>
{
  std::unordered_set<std::uint32_t> balancers;
  for (const auto ip : plan_.Near()) {
    const auto* peer = peers_.Find(ip);
    if (peer && peer->role == RelayRole::Balancer) {
      balancers.insert(ip);
    }
  }
  return balancers;
}

auto PeerExchange::KnownPeers() const -> std::unordered_set<std::uint32_t>
{
  std::unordered_set<std::uint32_t> peers;
  for (const auto& known : state_.KnownTargets()) {
    peers.insert(known.target.agent.ip);
  }
  for (const auto& [ip, peer] : peers_.Peers()) {
    peers.insert(ip);
  }
  peers.insert(seeds_.begin(), seeds_.end());
  peers.erase(init_.self);
  return peers;
}

} // namespace damaskwalk
