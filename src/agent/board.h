#pragma once

// The agent's sections of the blackboard. Controllers read and write them and
// hand work to each other through mailboxes; they don't call each other.

#include "agent/http_text.h"
#include "core/admission.h"
#include "core/flow_table.h"
#include "core/key_home.h"
#include "core/placement.h"
#include "core/stream.h"
#include "runtime/node.h"

#include <array>
#include <functional>
#include <memory>
#include <mutex>

namespace damaskwalk {

// Work for one controller. Put wakes it soon on another stack.
template<class Item>
class Mailbox
{
public:
  auto SetConsumer(std::function<void(std::vector<Item>)> aConsumer,
                   Node& aNode) -> void
  {
    consumer_ = std::move(aConsumer);
    node_ = &aNode;
  }

  auto Put(Item aItem) -> void
  {
    {
      const std::lock_guard lock(mutex_);
      items_.push_back(std::move(aItem));
      if (consumerPosted_) {
        return;
      }
      consumerPosted_ = true;
    }
    node_->Post([this] { consumer_(TakeItems()); });
  }

private:
  auto TakeItems() -> std::vector<Item>
  {
    const std::lock_guard lock(mutex_);
    consumerPosted_ = false;
    return std::exchange(items_, {});
  }

  std::mutex mutex_;
  std::vector<Item> items_;
  bool consumerPosted_ = false;
  std::function<void(std::vector<Item>)> consumer_;
  Node* node_ = nullptr;
};

// A request on its way through admission.
struct Request
{
  std::uint64_t id = 0;
  FlowKey flow;
  HttpRequest http;
  RequestKind kind;
  AttemptId attempt;
  bool claimed = false;
  bool callerIsHeavy = false; // its caller holds more than its share of slots
  bool mayHaveRun = false;    // a try was lost: NotRun can't be said any more
  TimePoint arrived;
  TimePoint deadline;
  std::uint32_t tries = 0;
  std::string avoidDomain; // where the last try failed
};
using RequestPtr = std::shared_ptr<Request>;

struct Response
{
  FlowKey flow;
  std::uint64_t id = 0;
  std::string text;
};

enum class FlowPhase : std::uint8_t
{
  Idle,
  Waiting, // its request is queued or claiming: nothing has been dispatched
  Running, // its request has been dispatched
  Feed,
};

// One flow at its owner; guarded by its shard's lock.
struct Flow
{
  explicit Flow(Stream aStream)
    : stream(std::move(aStream))
  {
  }

  FlowKey key;
  std::uint32_t epoch = 1;
  Stream stream;
  FlowPhase phase = FlowPhase::Idle;
  bool frozen = false;
  TimePoint created;
  RequestPtr request;
  // Attempt that a former owner claimed for the next request; used once.
  AttemptId inheritedAttempt;
  bool inheritedClaim = false;
  bool inheritedMayHaveRun = false;
  // Feed.
  std::string feedRequest;
  std::string lastEventId;
  bool feedStarted = false;
  std::uint32_t feedGeneration = 0; // raised to stop the reader of a feed
};

struct FlowShard
{
  std::mutex mutex;
  std::unordered_map<FlowKey, std::unique_ptr<Flow>, KeyHash> flows;
  // Flows that moved on, until this process ends.
  std::unordered_map<FlowKey, Endpoint, KeyHash> moved;
};

class FlowSection
{
public:
  auto ShardOf(const FlowKey& aFlow) -> FlowShard&
  {
    return shards_[(HashOf(aFlow) >> 40) % kFlowShards];
  }
  auto Shards() -> std::array<FlowShard, kFlowShards>& { return shards_; }
  auto Count() const -> std::size_t { return count_; }
  auto AdjustCount(std::ptrdiff_t aDelta) -> void
  {
    count_ += static_cast<std::size_t>(aDelta);
  }

private:
  std::array<FlowShard, kFlowShards> shards_;
  std::atomic<std::size_t> count_{ 0 };
};

// Loads that peers report, corrected by what this agent sent them since.
class PeerSection
{
public:
  struct Peer
  {
    LoadReport load;
    TimePoint reportedAt;
    bool leaving = false;
    std::uint32_t placedFlows = 0;      // flows sent since the report
    std::uint32_t requestsInFlight = 0; // requests of ours in flight there
    double addedUtilisation = 0;        // utilisation added since the report
  };

  std::mutex mutex;
  std::unordered_map<Endpoint, Peer, KeyHash> peers;
};

struct AdmissionSection
{
  AdmissionSection(const FairQueueInit& aInit, TimePoint aNow)
    : queue(aInit)
    , slots(1, aNow)
  {
  }

  std::mutex mutex;
  FairQueue queue;
  SlotGauge slots;
  RateShare rates;
  std::unordered_map<std::uint64_t, RequestPtr> requests;
  std::unordered_map<std::string, std::uint32_t> running; // slots per caller
  double retryTokens = 10;
};

// What the own backend server is known to be doing.
struct BackendSection
{
  std::atomic<bool> reachable{ true };
  std::atomic<bool> draining{ false };
};

struct AgentBoard
{
  AgentBoard(Node& aNode, const AgentSettings& aSettings);

  // The agent's own service and backend server by the newest document.
  auto OwnService(const Document& aDocument) const -> const Service*;
  auto OwnBackend(const Document& aDocument) const -> const BackendServer*;
  // False while the backend server, the VM or the process is leaving.
  auto AcceptsNewWork() const -> bool;
  // The service's agents with what is known of their load; the order is the
  // document's.
  auto Candidates(const Service& aService) -> std::vector<Candidate>;
  // Directory agents of a flow: the first that is alive, and the next in
  // another failure domain where there is one.
  auto DirectoryAgents(const Service& aService, const FlowKey& aFlow) const
    -> std::vector<Endpoint>;
  auto RecordSpan(const TraceContext& aParent,
                  std::string_view aName,
                  std::string_view aNote,
                  std::chrono::microseconds aDuration = {}) -> TraceContext;
  auto RecordEvent(const std::string& aText) -> void
  {
    node.Board().journal.Add(aText);
  }
  auto Now() const -> TimePoint { return node.Board().clock.Now(); }

  Node& node;
  AgentSettings settings;
  FlowSection flows;
  Directory directory;
  PeerSection peers;
  AdmissionSection admission;
  KeyHome keys;
  BackendSection backend;
  std::atomic<std::uint64_t> nextRequestId{ 0 };
  std::unique_ptr<Placement> placement; // under admission.mutex

  Mailbox<RequestPtr> submitted;
  Mailbox<Response> responses;
  Mailbox<FlowKey> feeds;
  Mailbox<FlowKey> established; // to be registered
  Mailbox<FlowFact> ended;
};

} // namespace damaskwalk
