#include "relay_node/relay_process.h"

#include "relay/limits.h"
#include "relay_node/answer_histogram.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <random>

namespace damaskwalk {

namespace asio = boost::asio;

namespace {

// Resolution of the timeouts of unanswered first packets.
constexpr Millis kTickPeriod{ 25 };
// Time between checks for expired table entries and for changed settings.
constexpr Millis kSweepPeriod{ 500 };
// A stopping balancer continues to forward for at least this long: its routers
// check readiness twice a second and act on the second failed check.
constexpr Millis kMinStopDelay{ 1200 };
// After that it continues until no caller's packet arrived for this long.
constexpr Millis kStopQuietWindow{ 300 };
constexpr std::chrono::seconds kTrafficLogPeriod{ 10 };
// A longer time between two ticks is logged: the VM was paused or overloaded.
constexpr Millis kLateTickThreshold{ 400 };

} // namespace

auto ToText(StateSourceError aError) -> const char*
{
  switch (aError) {
    case StateSourceError::Unreachable:
      return "unreachable";
    case StateSourceError::NoAnswer:
      return "no_answer";
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
  , peers_(aInit.clock)
  , exchange_({ aInit.settings.peers.ip,
                aInit.settings.role,
                aInit.settings.failureDomain,
                ServiceIdOf(aInit.settings.service),
                std::random_device{}(),
                aInit.settings.packets.port },
              state_,
              peers_,
              aInit.clock,
              *this)
  , readSchedule_(aInit.clock,
                  StartReadDelay({ aInit.settings.peers.ip,
                                   aInit.settings.seeds,
                                   aInit.settings.firstStart }))
  , pullSchedule_(aInit.clock)
  , transfer_(state_)
  , routeFindings_("routes", aInit.log)
  , targetFindings_("targets", aInit.log)
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
  , nextSweep_(aInit.clock.Now())
  , lastCallerPacket_(aInit.clock.Now())
  , lastTick_(aInit.clock.Now())
  , guard_(aInit.log)
  , nextTrafficLog_(aInit.clock.Now() + kTrafficLogPeriod)
{
  exchange_.SetSeeds(settings_.seeds);
  state_.History().SetMaxFlowLifetime(settings_.maxFlowLifetime);
  if (settings_.firstStart) {
    state_.History().SetComplete();
  }
  if (settings_.role == RelayRole::Balancer) {
    const PlacementInit placement{ settings_.failureDomain,
                                   std::random_device{}() };
    placement_ =
      MakePlacementExpectedWait(placement, state_, peers_, init_.clock);
    balancer_ = std::make_unique<BalancerRelay>(settings_.packets.ip,
                                                state_,
                                                peers_,
                                                *placement_,
                                                init_.clock,
                                                init_.log);
  } else {
    agent_ = std::make_unique<AgentRelay>(
      AgentRelayInit{ settings_.packets,
                      ServiceIdOf(settings_.service),
                      settings_.backend.port,
                      settings_.failureDomain },
      state_,
      peers_,
      init_.reader,
      init_.clock,
      init_.log);
    answerHistogram_ = std::make_unique<AnswerHistogram>();
    agent_->SetObserver(*answerHistogram_);
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
  const auto flush = [this] { guard_.Run([this] { FlushAll(); }); };
  packetSocket_.Start(
    [this](std::span<char> aBytes, const Endpoint& aFrom) {
      guard_.Run([&] { OnCallerDatagram(aBytes, aFrom); });
    },
    flush);
  peerSocket_.Start(
    [this](std::span<char> aBytes, const Endpoint& aFrom) {
      guard_.Run([&] { OnPeerDatagram(aBytes, aFrom); });
    },
    flush);
  if (agent_) {
    outboundSocket_->Start(
      [this](std::span<char> aBytes, const Endpoint&) {
        guard_.Run([&] { OnBackendDatagram(aBytes); });
      },
      flush);
    // Sends only; reading reports a closed port of the backend server.
    backendSocket_->Start([](std::span<char>, const Endpoint&) {}, flush);
  }
  http_.Serve(settings_.readyPath, [this] { return ReadyResponse(); });
  http_.Start();
  if (settings_.metrics.IsValid()) {
    metricsEndpoint_ =
      std::make_unique<HttpEndpoint>(init_.io, settings_.metrics);
    metricsEndpoint_->Serve(settings_.metricsPath, [this] {
      return HttpResponse{ 200, "text/plain; version=0.0.4", MetricsText() };
    });
    metricsEndpoint_->Start();
  }
  asio::co_spawn(init_.io, ServePeers(), asio::detached);
  WaitForSignal();
  ScheduleTick();
  guard_.Run([this] { Tick(); });
  init_.io.run();
  init_.log.Write(EventLevel::Info, Event("stopped").Text());
  init_.log.Flush();
  return 0;
}

// Packets.

auto RelayProcess::OnCallerDatagram(std::span<char> aBytes,
                                    const Endpoint& aFrom) -> void
{
  const auto packet = init_.codec.Decode(aBytes, PacketOrigin::Caller);
  if (!packet || packet->returned) {
    ++malformedPackets_;
    return;
  }
  if (balancer_ && packet->tag != RelayTag{} && peers_.HasHeard(aFrom.ip)) {
    ReportLoadTo(aFrom.ip); // the relay takes this process for an agent
  }
  lastCallerPacket_ = init_.clock.Now();
  if (state_.HasState()) {
    OnCallerPacket(*packet);
    return;
  }
  if (waitingPackets_.size() >= kMaxWaitingPackets) {
    waitingPackets_.pop_front();
  }
  waitingPackets_.push_back(
    { std::string(aBytes.data(), aBytes.size()), init_.clock.Now() });
}

auto RelayProcess::OnCallerPacket(const Packet& aPacket) -> void
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

auto RelayProcess::ReplayWaitingPackets() -> void
{
  auto waiting = std::exchange(waitingPackets_, {});
  const auto now = init_.clock.Now();
  for (auto& entry : waiting) {
    if (now - entry.since > kWaitingPacketRetention) {
      continue;
    }
    if (const auto packet =
          init_.codec.Decode(entry.bytes, PacketOrigin::Caller)) {
      OnCallerPacket(*packet);
    }
  }
}

auto RelayProcess::OnBackendDatagram(std::span<char> aBytes) -> void
{
  auto packet = init_.codec.Decode(aBytes, PacketOrigin::Backend);
  if (!packet) {
    ++malformedPackets_;
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
  if (aAgent.ip == settings_.packets.ip) {
    ++packetsToSelf_; // would circulate
    return;
  }
  init_.codec.WriteTag(aPacket.bytes, aPacket.tag);
  traffic_.Add(TrafficKind::Packet, aAgent.ip, aPacket.bytes.size());
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

// Process lifecycle.

auto RelayProcess::ScheduleTick() -> void
{
  tickTimer_.expires_after(kTickPeriod);
  tickTimer_.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      ScheduleTick();
      guard_.Run([this] { Tick(); });
    }
  });
}

auto RelayProcess::Tick() -> void
{
  const auto now = init_.clock.Now();
  if (now - lastTick_ > kLateTickThreshold) {
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
    peers_.Tick();
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
  LogRestore();
  exchange_.Tick(*this);
  if (now >= nextTrafficLog_) {
    nextTrafficLog_ = now + kTrafficLogPeriod;
    LogTotals();
  }
  const auto rank =
    ReaderRank(state_, peers_, agent_ ? settings_.packets : Endpoint{});
  if (!readingStore_ && !stopping_ && readSchedule_.IsDue(rank, state_.Age())) {
    const auto cause = readSchedule_.CauseOf(rank, state_.Age());
    asio::co_spawn(init_.io, ReadStore(cause), asio::detached);
  }
  if (!state_.HasState() && !settings_.seeds.empty()) {
    std::uniform_int_distribution<std::size_t> pick(0,
                                                    settings_.seeds.size() - 1);
    std::random_device random;
    StartPull(settings_.seeds[pick(random)], true);
  }
  if (stopping_) {
    CheckStop();
  }
  FlushAll();
  init_.log.Flush();
}

auto RelayProcess::LogTotals() -> void
{
  init_.log.Write(EventLevel::Info, traffic_.Summary());
  Event calls("store_calls");
  for (std::size_t i = 0; i < kReadCauses; ++i) {
    calls.With(ToText(static_cast<ReadCause>(i)), storeCalls_.at(i));
  }
  init_.log.Write(EventLevel::Info, calls.Text());
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
  auto reloaded = init_.settingsSource.Load();
  init_.log.Write(reloaded ? EventLevel::Info : EventLevel::Warning,
                  Event("reloaded")
                    .With("cause", aCause)
                    .With("accepted", bool(reloaded))
                    .Text());
  if (reloaded) {
    // Addresses and the role change only with a restart.
    settings_.seeds = std::move(reloaded->seeds);
    exchange_.SetSeeds(settings_.seeds);
    settings_.stopTimeout = reloaded->stopTimeout;
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
  if (agent_) {
    agent_->OnStop(*this);
  }
  CheckStop();
}

auto RelayProcess::CheckStop() -> void
{
  const auto now = init_.clock.Now();
  const bool drained = now - stopBegan_ >= kMinStopDelay &&
                       now - lastCallerPacket_ >= kStopQuietWindow;
  // An agent stops at once, as it has nothing to hand over: the sooner its
  // successor starts, the fewer packets are lost.
  if (agent_ || drained || now - stopBegan_ >= settings_.stopTimeout) {
    exchange_.AnnounceStop(*this);
    FlushAll();
    init_.io.stop();
  }
}

auto RelayProcess::IsReady() const -> bool
{
  return !stopping_ && state_.HasState();
}

auto RelayProcess::ReadyResponse() const -> HttpResponse
{
  return IsReady() ? HttpResponse{ 200, "text/plain", "ready\n" }
                   : HttpResponse{ 503, "text/plain", "not ready\n" };
}

} // namespace damaskwalk
