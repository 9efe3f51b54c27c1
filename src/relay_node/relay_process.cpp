#include "relay_node/relay_process.h"

#include "relay/limits.h"
#include "relay_node/answer_histogram.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <random>

namespace damaskwalk {

namespace asio = boost::asio;

namespace {

// Resolution of first packets that go without an answer.
constexpr Millis kTick{ 25 };
// Tables are swept this often.
constexpr Millis kSweepPeriod{ 500 };
// A stopping balancer goes on forwarding for at least this long: its routers
// look at readiness twice a second and act on the second miss.
constexpr Millis kStopAfterReady{ 1200 };
// ... and until no caller's packet came for this long.
constexpr Millis kStopQuiet{ 300 };
// Ticks later than this are noted: the VM stood still or was busy.
constexpr Millis kLateTick{ 400 };

} // namespace

auto ToText(StateSourceError aError) -> const char*
{
  switch (aError) {
    case StateSourceError::Unreachable:
      return "unreachable";
    case StateSourceError::Refused:
      return "refused";
    default:
      return "bad_answer";
  }
}

RelayProcess::RelayProcess(const RelayProcessInit& aInit)
  : init_(aInit)
  , settings_(aInit.settings)
  , state_(aInit.clock)
  , load_(aInit.clock)
  , schedule_(aInit.clock)
  , pulls_(aInit.clock)
  , incarnation_(std::random_device{}() | (std::uint64_t{ 1 } << 32))
  , packetSocket_(aInit.io, settings_.packets)
  , peerSocket_(aInit.io, settings_.peers)
  , http_(aInit.io, settings_.http)
  , peerAcceptor_(
      aInit.io,
      asio::ip::tcp::endpoint(asio::ip::address_v4(settings_.peers.ip),
                              settings_.peers.port))
  , tickTimer_(aInit.io)
  , signals_(aInit.io, SIGTERM, SIGHUP)
  , nextHeartbeat_(aInit.clock.Now())
  , nextSweep_(aInit.clock.Now())
  , lastCallerPacket_(aInit.clock.Now())
  , lastTick_(aInit.clock.Now())
{
  if (settings_.role == RelayRole::Balancer) {
    const PlacementInit placement{ settings_.failureDomain,
                                   std::random_device{}() };
    placement_ =
      MakePlacementExpectedWait(placement, state_, load_, init_.clock);
    balancer_ = std::make_unique<BalancerRelay>(
      settings_.packets.ip, state_, load_, *placement_, init_.clock, init_.log);
  } else {
    agent_ = std::make_unique<AgentRelay>(
      AgentRelayInit{ settings_.packets, ServiceIdOf(settings_.service) },
      state_,
      load_,
      init_.reader,
      init_.clock,
      init_.log);
    answers_ = std::make_unique<AnswerHistogram>();
    agent_->SetObserver(*answers_);
    outboundSocket_ =
      std::make_unique<DatagramSocket>(init_.io, settings_.outbound);
    backendSocket_ = std::make_unique<DatagramSocket>(
      init_.io, settings_.packets.ip, settings_.backend);
  }
}

RelayProcess::~RelayProcess() = default;

auto RelayProcess::Run() -> int
{
  init_.log.Write(EventLevel::Info,
                  Event("started")
                    .With("role", balancer_ ? "balancer" : "agent")
                    .With("failure_domain", settings_.failureDomain)
                    .With("service", settings_.service)
                    .With("packets", ToText(settings_.packets))
                    .With("version", DAMASKWALK_VERSION)
                    .Text());
  init_.log.Flush();
  const auto flush = [this] { FlushAll(); };
  packetSocket_.Start(
    [this](std::span<char> aBytes, const Endpoint& aFrom) {
      OnPacket(aBytes, aFrom);
    },
    flush);
  peerSocket_.Start(
    [this](std::span<char> aBytes, const Endpoint& aFrom) {
      OnPeerDatagram(aBytes, aFrom);
    },
    flush);
  if (agent_) {
    outboundSocket_->Start(
      [this](std::span<char> aBytes, const Endpoint&) { OnOutbound(aBytes); },
      flush);
    // Nothing is received there but the news that the port is closed.
    backendSocket_->Start([](std::span<char>, const Endpoint&) {}, flush);
  }
  http_.Serve(settings_.readyPath, [this] { return Ready(); });
  http_.Start();
  if (settings_.metrics.IsValid()) {
    metrics_ = std::make_unique<HttpEndpoint>(init_.io, settings_.metrics);
    metrics_->Serve(settings_.metricsPath, [this] {
      return HttpReply{ 200, "text/plain; version=0.0.4", MetricsText() };
    });
    metrics_->Start();
  }
  asio::co_spawn(init_.io, ServePeers(), asio::detached);
  WaitForSignal();
  Tick();
  ScheduleTick();
  init_.io.run();
  init_.log.Write(EventLevel::Info, Event("stopped").Text());
  init_.log.Flush();
  return 0;
}

// Packets.

auto RelayProcess::OnPacket(std::span<char> aBytes, const Endpoint&) -> void
{
  const auto packet = init_.codec.Decode(aBytes, PacketOrigin::Caller);
  if (!packet || packet->returned) {
    ++garbage_;
    return;
  }
  lastCallerPacket_ = init_.clock.Now();
  if (state_.HasState()) {
    Handle(*packet);
    return;
  }
  if (waiting_.size() >= kMaxWaitingPackets) {
    waiting_.pop_front();
  }
  waiting_.push_back(
    { std::string(aBytes.data(), aBytes.size()), init_.clock.Now() });
}

auto RelayProcess::Handle(const Packet& aPacket) -> void
{
  if (balancer_) {
    balancer_->OnCallerPacket(aPacket, *this);
    return;
  }
  agent_->OnCallerPacket(aPacket, *this);
  if (aPacket.opens) {
    if (const auto balancer = agent_->FindBalancer(aPacket.tag.balancer)) {
      ReportLoadTo(*balancer);
    }
  }
}

auto RelayProcess::ReplayWaiting() -> void
{
  auto waiting = std::exchange(waiting_, {});
  const auto now = init_.clock.Now();
  for (auto& entry : waiting) {
    if (now - entry.since > kWaitingPacketRetention) {
      continue;
    }
    if (const auto packet =
          init_.codec.Decode(entry.bytes, PacketOrigin::Caller)) {
      Handle(*packet);
    }
  }
}

auto RelayProcess::OnOutbound(std::span<char> aBytes) -> void
{
  auto packet = init_.codec.Decode(aBytes, PacketOrigin::Backend);
  if (!packet) {
    ++garbage_;
    return;
  }
  if (packet->returned) {
    init_.codec.ClearReturned(aBytes);
  }
  agent_->OnBackendPacket(*packet, *this);
}

auto RelayProcess::FlushAll() -> void
{
  if (agent_) {
    if (backendSocket_->TakeRefused()) {
      agent_->OnBackendDown(*this);
    }
    agent_->Flush(*this);
    backendSocket_->Flush();
    outboundSocket_->Flush();
  }
  packetSocket_.Flush();
  peerSocket_.Flush();
}

auto RelayProcess::SendToAgent(const Endpoint& aAgent, const Packet& aPacket)
  -> void
{
  init_.codec.WriteTag(aPacket.bytes, aPacket.tag);
  packetSocket_.Queue({ aPacket.bytes.data(), aPacket.bytes.size() }, aAgent);
}

auto RelayProcess::SendToBackend(const Packet& aPacket) -> void
{
  init_.codec.WriteTag(aPacket.bytes, aPacket.tag);
  backendSocket_->Queue({ aPacket.bytes.data(), aPacket.bytes.size() },
                        settings_.backend);
}

auto RelayProcess::SendToCaller(const Packet& aPacket) -> void
{
  packetSocket_.Queue({ aPacket.bytes.data(), aPacket.bytes.size() },
                      { aPacket.flow.caller.ip, settings_.callerPort });
}

auto RelayProcess::ResetCaller(const FlowKey& aFlow, std::uint32_t aSequence)
  -> void
{
  packetSocket_.Queue(init_.codec.MakeReset(aFlow, aSequence),
                      { aFlow.caller.ip, settings_.callerPort });
}

// Life.

auto RelayProcess::ScheduleTick() -> void
{
  tickTimer_.expires_after(kTick);
  tickTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Tick();
      ScheduleTick();
    }
  });
}

auto RelayProcess::Tick() -> void
{
  const auto now = init_.clock.Now();
  if (now - lastTick_ > kLateTick) {
    const auto late = std::chrono::duration_cast<Millis>(now - lastTick_);
    init_.log.Write(EventLevel::Warning,
                    Event("pause_noticed").With("ms", late.count()).Text());
  }
  lastTick_ = now;
  if (agent_) {
    agent_->RunTimeouts(*this);
  }
  if (now >= nextSweep_) {
    nextSweep_ = now + kSweepPeriod;
    load_.Tick();
    if (state_.Tick()) {
      OnStateChanged("standing");
    }
    if (agent_) {
      agent_->Tick(*this);
    } else {
      balancer_->Tick();
    }
    if (init_.settingsSource.HasChanged()) {
      Reload("file_changed");
    }
  }
  if (now >= nextHeartbeat_) {
    nextHeartbeat_ = now + load_.HeartbeatPeriod();
    SendHeartbeats();
  }
  const auto rank = ReaderRank(state_, agent_ ? settings_.packets : Endpoint{});
  if (!reading_ && !stopping_ && schedule_.IsDue(rank, state_.Age())) {
    asio::co_spawn(init_.io, ReadStore(), asio::detached);
  }
  if (!state_.HasState() && !settings_.seeds.empty()) {
    std::uniform_int_distribution<std::size_t> pick(0,
                                                    settings_.seeds.size() - 1);
    std::random_device random;
    StartPull(settings_.seeds[pick(random)]);
  }
  if (stopping_) {
    CheckStop();
  }
  FlushAll();
  init_.log.Flush();
}

auto RelayProcess::WaitForSignal() -> void
{
  signals_.async_wait(
    [this](const boost::system::error_code& aError, int aSignal) {
      if (aError) {
        return;
      }
      if (aSignal == SIGHUP) {
        Reload("signal");
      } else {
        BeginStop();
      }
      WaitForSignal();
    });
}

auto RelayProcess::Reload(const char* aCause) -> void
{
  auto fresh = init_.settingsSource.Load();
  init_.log.Write(fresh ? EventLevel::Info : EventLevel::Warning,
                  Event("reloaded")
                    .With("cause", aCause)
                    .With("accepted", bool(fresh))
                    .Text());
  if (fresh) {
    // Addresses and the role stay as they were at the start.
    settings_.seeds = std::move(fresh->seeds);
    settings_.stopWithin = fresh->stopWithin;
  }
}

auto RelayProcess::BeginStop() -> void
{
  if (stopping_) {
    return;
  }
  stopping_ = true;
  stopBegan_ = init_.clock.Now();
  init_.log.Write(
    EventLevel::Info,
    Event("stopping")
      .With("flows", agent_ ? agent_->Flows() : balancer_->Flows())
      .Text());
  CheckStop();
}

auto RelayProcess::CheckStop() -> void
{
  const auto now = init_.clock.Now();
  const bool drained = now - stopBegan_ >= kStopAfterReady &&
                       now - lastCallerPacket_ >= kStopQuiet;
  // An agent has nothing to hand over: the sooner its successor starts, the
  // fewer packets are lost.
  if (agent_ || drained || now - stopBegan_ >= settings_.stopWithin) {
    AnnounceSelf();
    FlushAll();
    init_.io.stop();
  }
}

auto RelayProcess::IsReady() const -> bool
{
  return !stopping_ && state_.HasState();
}

auto RelayProcess::Ready() const -> HttpReply
{
  return IsReady() ? HttpReply{ 200, "text/plain", "ready\n" }
                   : HttpReply{ 503, "text/plain", "not ready\n" };
}

} // namespace damaskwalk
