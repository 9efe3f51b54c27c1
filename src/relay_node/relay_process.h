#pragma once

// A process of the pass-through relay. Connects the relay's decisions in
// src/relay to sockets, timers, the store and the exchange of state with peers.

#include "relay/agent_relay.h"
#include "relay/balancer_relay.h"
#include "relay/limits.h"
#include "relay/peer_exchange.h"
#include "relay/pull_schedule.h"
#include "relay/read_schedule.h"
#include "relay/state_transfer.h"
#include "relay_node/bounded_log.h"
#include "relay_node/datagram_socket.h"
#include "relay_node/fault_guard.h"
#include "relay_node/finding_log.h"
#include "relay_node/http_endpoint.h"
#include "relay_node/interfaces.h"
#include "relay_node/peer_traffic.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <set>
#include <unordered_set>

namespace damaskwalk {

struct RelaySettings
{
  std::string node; // name in logs
  RelayRole role = RelayRole::Balancer;
  std::string failureDomain;
  Endpoint packets; // receives packets of callers (balancer) or relays (agent)
  Endpoint peers;   // UDP messages and TCP state exchange between relays
  Endpoint http;    // serves readiness
  Endpoint metrics; // serves metrics; invalid: not served
  std::string readyPath = "/ready";
  std::string metricsPath = "/metrics";
  // Port at a caller's address to which its packets are sent.
  std::uint16_t callerPort = 0;
  // IPs of the VMs to pull the state from while the process has none.
  std::vector<std::uint32_t> seeds;
  // The whole fleet starts for the first time.
  bool firstStart = false;
  // Longest time of a graceful stop.
  Millis stopTimeout{ 5000 };
  // Callers close a flow after this time at the latest.
  Millis maxFlowLifetime{ kDefaultMaxFlowLifetime };

  // Agents only.
  std::string service;
  Endpoint backend;  // the backend server on this VM, for callers' packets
  Endpoint outbound; // receives the backend server's packets
};

// Reloads the settings while the process runs.
class SettingsSource
{
public:
  virtual ~SettingsSource() = default;
  virtual auto HasChanged() -> bool = 0;
  // Nothing if the settings are invalid.
  virtual auto Load() -> std::optional<RelaySettings> = 0;
};

struct RelayProcessInit
{
  RelaySettings settings;
  PacketCodec& codec;
  ContentReader& reader;
  StateSource& source;
  SettingsSource& settingsSource;
  const Clock& clock;
  BoundedLog& log;
  boost::asio::io_context& io;
};

class AnswerHistogram;

class RelayProcess final
  : public RelayPort
  , private PeerExchangeHost
{
public:
  // @throws boost::system::system_error if an address is in use.
  explicit RelayProcess(const RelayProcessInit& aInit);
  ~RelayProcess() override;

  // Serves until SIGTERM and a graceful stop.
  // @return the exit code.
  auto Run() -> int;

  auto SendToAgent(const Endpoint& aAgent, const Packet& aPacket)
    -> void override;
  auto SendToBackend(const Packet& aPacket) -> void override;
  auto SendToCaller(const Packet& aPacket) -> void override;
  auto ResetCaller(const FlowKey& aFlow, std::uint32_t aSequence)
    -> void override;
  auto SendToPeer(std::uint32_t aIp, const PeerMessage& aMessage)
    -> void override;

private:
  using Task = boost::asio::awaitable<void>;

  // A caller's packet that arrived before the process had a state.
  struct WaitingPacket
  {
    std::string bytes;
    TimePoint since;
  };

  // Packets.
  auto OnCallerDatagram(std::span<char> aBytes, const Endpoint& aFrom) -> void;
  auto OnBackendDatagram(std::span<char> aBytes) -> void;
  auto OnCallerPacket(const Packet& aPacket) -> void;
  auto ReplayWaitingPackets() -> void;
  auto FlushAll() -> void;

  // Peers.
  auto OnPeerDatagram(std::span<char> aBytes, const Endpoint& aFrom) -> void;
  // A message that only agents get.
  auto OnAgentMessage(std::uint32_t aFrom, PeerMessage& aMessage) -> void;
  auto MakeHeartbeat() -> RelayHeartbeat override;
  auto PullState(std::uint32_t aIp) -> void override;
  auto OnBalancer(std::uint32_t aIp) -> void override;
  auto OnAgentStarted(std::uint32_t aIp) -> void override;
  auto ReportLoadTo(std::uint32_t aIp) -> void;
  auto AnnounceSelf() -> void;

  // State.
  auto ServePeers() -> Task;
  auto ServePeer(boost::asio::ip::tcp::socket aSocket) -> Task;
  auto PullFrom(std::uint32_t aIp) -> Task;
  // @param aUrgent see PullSchedule::Begin.
  auto StartPull(std::uint32_t aIp, bool aUrgent) -> void;
  auto ReadStore(ReadCause aCause) -> Task;
  // Result of reading a part of the state from the store.
  struct PartRead
  {
    std::optional<StateSourceError> error;
    bool changed = false; // something else came into force
  };
  // A read that ends with an exception failed; the next one follows all the
  // same.
  auto Guarded(boost::asio::awaitable<PartRead> aRead)
    -> boost::asio::awaitable<PartRead>;
  auto ReadTargets() -> boost::asio::awaitable<PartRead>;
  auto ReadOperators() -> boost::asio::awaitable<PartRead>;
  // @return true if other routes or evacuations came into force.
  auto OnOperatorRead(Decoded<OperatorState>& aRead) -> bool;
  auto OnStoreError(const char* aWhat, StateSourceError aError) -> void;
  auto OnStoreReadSucceeded() -> void;
  // Logs when reads begin and cease to be older than the state in force.
  // @param aRevision at which the targets were read.
  auto OnTargetsRead(const StoreRevision& aRevision) -> void;
  // Logs a restore of the store that was noticed since the last call.
  auto LogRestore() -> void;
  auto OnStateChanged(const char* aCause) -> void;
  // Logs evacuations that began or ended since the last call.
  auto LogEvacuations(const char* aCause) -> void;
  auto UpdateFarTargets() -> void;

  // Process lifecycle.
  auto Tick() -> void;
  // Logs the bytes sent and the calls made since the start.
  auto LogTotals() -> void;
  auto ScheduleTick() -> void;
  auto WaitForSignal() -> void;
  auto Reload(const char* aCause) -> void;
  auto BeginStop() -> void;
  auto CheckStop() -> void;
  auto IsReady() const -> bool;
  auto ReadyResponse() const -> HttpResponse;
  auto MetricsText() const -> std::string;

  RelayProcessInit init_;
  RelaySettings settings_;
  FleetState state_;
  PeerTable peers_;
  PeerExchange exchange_;
  ReadSchedule readSchedule_;
  PullSchedule pullSchedule_;
  StateTransfer transfer_;
  FindingLog routeFindings_;
  FindingLog targetFindings_;
  std::unique_ptr<FirstPacketPlacement> placement_;
  std::unique_ptr<BalancerRelay> balancer_;
  std::unique_ptr<AgentRelay> agent_;
  std::unique_ptr<AnswerHistogram> answerHistogram_;
  std::uint64_t incarnation_;

  DatagramSocket packetSocket_;
  DatagramSocket peerSocket_;
  std::unique_ptr<DatagramSocket> outboundSocket_;
  std::unique_ptr<DatagramSocket> backendSocket_;
  HttpEndpoint http_;
  std::unique_ptr<HttpEndpoint> metricsEndpoint_;
  boost::asio::ip::tcp::acceptor peerAcceptor_;
  boost::asio::steady_timer tickTimer_;
  boost::asio::signal_set signals_;

  std::deque<WaitingPacket> waitingPackets_;
  std::set<std::string> evacuated_; // as logged last
  std::unordered_map<std::uint32_t, TimePoint> loadReportedAt_;
  TimePoint nextSweep_;
  TimePoint lastCallerPacket_;
  TimePoint lastTick_;
  std::array<std::uint64_t, kReadCauses> storeCalls_{}; // by cause
  bool readingStore_ = false;
  bool storeLost_ = false;
  std::uint32_t storeEra_ = 0; // as logged last
  std::uint64_t ignoredReads_ = 0;
  bool ignoringReads_ = false;
  bool stopping_ = false;
  TimePoint stopBegan_;
  FaultGuard guard_;
  PeerTraffic traffic_;
  TimePoint nextTrafficLog_;
  std::uint64_t malformedPackets_ = 0;
  std::uint64_t packetsToSelf_ = 0; // dropped
  std::uint64_t malformedPeerMessages_ = 0;
  std::uint64_t unknownPeerMessages_ = 0; // of a kind that a later release has
};

} // namespace damaskwalk
