#pragma once

// One process of the fleet: its sockets and threads, the blackboard that its
// controllers share, and the messages that every role processes in the same
// way.

#include "core/budget.h"
#include "core/document_store.h"
#include "core/journal.h"
#include "core/membership.h"
#include "runtime/bulk.h"
#include "runtime/metrics.h"
#include "runtime/platform_client.h"
#include "runtime/settings.h"
#include "runtime/tracer.h"
#include "runtime/transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace damaskwalk {

template<class T>
using Task = boost::asio::awaitable<T>;

// The state that the controllers of a process share. Each member has a lock of
// its own.
struct Blackboard
{
  Blackboard(const NodeSettings& aSettings, Role aRole, const Clock& aClock);

  const Clock& clock;
  DocumentStore documents;
  Membership members;
  ControlBudget budget;
  Journal journal;
};

// Functions that a role implements for its node. Called from several threads.
class NodeRole
{
public:
  virtual ~NodeRole() = default;
  // A caller's packet from the fabric.
  virtual auto OnFrame(std::string_view aBytes) -> void = 0;
  // A datagram from another process.
  virtual auto OnMessage(const ReceivedMessage& aReceived) -> void = 0;
  // A request over TCP; returns the reply.
  virtual auto OnCall(ReceivedMessage aReceived) -> Task<Message> = 0;
  // Every kTickPeriod, from one thread at a time.
  virtual auto OnTick() -> void = 0;
  // Another version of the document is in force.
  virtual auto OnDocument(DocumentPtr aBefore, DocumentPtr aNow) -> void = 0;
  virtual auto OnMembers(const std::vector<MemberChange>& aChanges) -> void = 0;
  // The role's part of the reply to StatusQuery.
  virtual auto Status() const -> boost::json::object = 0;
  virtual auto Explain(const ExplainQuery& aQuery) const
    -> boost::json::object = 0;
  // Shuts the role down without breaking flows or requests; returns when done.
  virtual auto Drain() -> Task<void> = 0;
};

constexpr Millis kTickPeriod{ 10 };

struct CallOutcome
{
  CallStatus status = CallStatus::NotSent;
  Message message;
};

// Adds the CPU time that the thread uses during the timer's lifetime to a
// total, in nanoseconds.
class CpuTimer
{
public:
  explicit CpuTimer(std::atomic<std::int64_t>& aTotal);
  ~CpuTimer();
  CpuTimer(const CpuTimer&) = delete;
  auto operator=(const CpuTimer&) -> CpuTimer& = delete;

private:
  std::atomic<std::int64_t>& total_;
  std::int64_t start_;
};

class Node
{
public:
  Node(const NodeSettings& aSettings, Role aRole);
  ~Node();

  // Binds the sockets. After an error nothing runs.
  auto Start(NodeRole& aRole) -> boost::leaf::result<void>;
  // Runs until SIGTERM or SIGINT, then drains; returns the exit code.
  auto Run() -> int;

  // Sends a datagram; false when the control budget does not allow it.
  auto Send(const Endpoint& aTo, const Message& aMessage) -> bool;
  // Sends a frame to the gateway, which passes it on to its caller.
  auto SendFrame(const Frame& aFrame) -> void;
  // Sends a request over TCP and waits for the reply. NotSent also when the
  // control budget does not allow it, or a partition test blocks the peer.
  auto Call(Endpoint aTo, Message aMessage, Millis aTimeout)
    -> Task<CallOutcome>;
  // Runs a task on a strand of its own.
  auto Spawn(Task<void> aTask) -> void;
  auto Sleep(Millis aTime) -> Task<void>;
  // Queues a function to run on one of the node's threads.
  auto Post(std::function<void()> aFunction) -> void;

  auto Board() -> Blackboard& { return board_; }
  auto Board() const -> const Blackboard& { return board_; }
  auto Meter() -> Metrics& { return metrics_; }
  auto Traces() -> Tracer& { return tracer_; }
  auto Settings() const -> const NodeSettings& { return settings_; }
  auto Self() const -> Endpoint { return settings_.listen; }
  auto SelfEnvelope() const -> Envelope;
  // False before the first document is in force, and after a pause of this
  // process until it has asked peers whether its document is still current.
  auto IsCurrent() const -> bool;
  auto IsStopping() const -> bool { return stopping_; }
  // False when a partition test blocks the peer.
  auto Reaches(const Endpoint& aPeer) const -> bool
  {
    return transport_->MayReach(aPeer);
  }
  // True while the platform lists this VM as leaving.
  auto IsListedLeaving() const -> bool;

private:
  auto BindSockets() -> boost::leaf::result<void>;
  auto ReceiveLoop(std::size_t aIndex) -> Task<void>;
  auto OnDatagram(std::string_view aBytes) -> void;
  auto OnReceivedMessage(const ReceivedMessage& aReceived) -> void;
  auto CountMalformed(std::string_view aBytes) -> void;
  auto AcceptLoop() -> Task<void>;
  auto ServeConnection(boost::beast::tcp_stream aStream) -> Task<void>;
  auto OnCall(ReceivedMessage aReceived) -> Task<Message>;
  auto TickLoop() -> Task<void>;
  auto CheckPause() -> void;
  auto StopOnSignal() -> Task<void>;

  // Documents.
  auto Bootstrap() -> Task<void>;
  auto DocumentWatchLoop() -> Task<void>;
  // Reports once that a restored platform has an earlier document again.
  auto ReportHeldDocument(DocumentVersion aVersion) -> void;
  auto ListingLoop() -> Task<void>;
  auto ReadListing() -> Task<bool>;
  auto PullDocument(Endpoint aFrom) -> Task<void>;
  auto OnPeerVersion(const Envelope& aEnvelope) -> void;
  auto AdvertiseVersion() -> void;
  auto MakeAdvert() const -> DocumentAdvert;
  auto OnAdvert(const ReceivedMessage& aReceived, const DocumentAdvert& aAdvert)
    -> void;
  auto NotifyDocumentChange(DocumentPtr aBefore) -> void;
  // True when this process is one of those in its failure domain that read the
  // platform.
  auto IsReader() const -> bool;
  auto RandomPeers(std::size_t aMaxCount) -> std::vector<Endpoint>;

  // Liveness.
  auto TickMembers() -> void;
  auto SendProbes(const MembershipActions& aActions) -> void;
  auto CheckSuspectPort(Endpoint aSuspect) -> Task<void>;
  auto Revalidate() -> Task<void>;

  NodeSettings settings_;
  Role role_;
  SystemClock clock_;
  Blackboard board_;
  Metrics metrics_;
  Tracer tracer_;
  PlatformClient platform_;
  boost::asio::io_context io_;
  std::vector<std::unique_ptr<boost::asio::ip::udp::socket>> sockets_;
  std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
  std::unique_ptr<Transport> transport_;
  NodeRole* nodeRole_ = nullptr;
  std::vector<std::thread> threads_;
  std::atomic<bool> stopping_{ false };
  std::atomic<bool> current_{ false };
  std::atomic<bool> pulling_{ false };
  DocumentVersion reportedHeld_ = 0; // by DocumentWatchLoop
  std::atomic<bool> revalidating_{ false };
  std::atomic<TimePoint::rep> lastTick_{ 0 };
  std::atomic<TimePoint::rep> lastAdvert_{ 0 };
  // Wall time at which the platform last confirmed that the version in force
  // is its newest, as far as this process knows.
  std::atomic<std::int64_t> confirmedMillis_{ 0 };
  std::atomic<std::uint64_t> platformCalls_{ 0 };
  std::atomic<std::int64_t> controlCpuNanos_{ 0 };

  std::uint64_t ticks_ = 0;
  prometheus::Counter& malformedMessages_;
  std::atomic<TimePoint::rep> lastMalformedLog_{ 0 };
};

} // namespace damaskwalk
