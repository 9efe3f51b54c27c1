#pragma once

// State shared by the agent's controllers, in sections with a lock each.
// Controllers read and write the sections and pass work to each other through
// mailboxes. They call each other only where a constructor takes a reference
// to another controller.

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

// A queue of work for one controller. Put posts the consumer to the node's
// threads and never runs it in the calling function, so a Put under a lock is
// safe. The consumer gets all items queued since its last run in one batch.
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

// A request from its arrival until its outcome.
struct Request
{
  std::uint64_t id = 0;
  FlowKey flow;
  HttpRequest http;
  RequestKind kind;
  AttemptId attempt;
  bool claimed = false;
  // Its caller holds more than its share of the slots; the request leaves the
  // reserved slots to other callers.
  bool callerIsHeavy = false;
  // An earlier try ended with Unknown; NotRun is no longer a valid outcome.
  bool mayHaveRun = false;
  TimePoint arrived;
  TimePoint deadline;
  std::uint32_t tries = 0;
  std::string avoidDomain; // failure domain of the last failed try
};
using RequestPtr = std::shared_ptr<Request>;

// The HTTP/1.1 response to a flow's request.
struct Response
{
  FlowKey flow;
  std::uint64_t id = 0;
  std::string text;
};

enum class FlowPhase : std::uint8_t
{
  Idle,
  Waiting, // its request awaits a claim or is queued; nothing is dispatched
  Running, // its request has been dispatched
  Feed,
};

// A flow at its owner, guarded by its shard's mutex.
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
  bool frozen = false; // being handed over: neither sends nor receives
  TimePoint created;
  RequestPtr request;
  // Attempt id under which a former owner received the next request, and its
  // state there. Consumed by the next request of the flow.
  AttemptId inheritedAttempt;
  bool inheritedClaim = false;
  bool inheritedMayHaveRun = false;
  // Valid in FlowPhase::Feed.
  std::string feedRequest;
  std::string lastEventId;
  bool feedStarted = false;
  // Incremented to stop the task that reads the feed.
  std::uint32_t feedGeneration = 0;
};

struct FlowShard
{
  std::mutex mutex;
  std::unordered_map<FlowKey, std::unique_ptr<Flow>, KeyHash> flows;
  // New owners of flows that were handed over. Kept until the process ends,
  // so late packets still reach the flow.
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

// Load reports of peers, with corrections for the work that this agent has
// sent them since the report.
class PeerSection
{
public:
  struct Peer
  {
    LoadReport load;
    TimePoint reportedAt;
    bool leaving = false;
    std::uint32_t placedFlows = 0;      // flows sent since the report
    std::uint32_t requestsInFlight = 0; // dispatched there by this agent
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
  // Slots that requests of this agent's flows occupy, per caller.
  std::unordered_map<std::string, std::uint32_t> running;
  double retryTokens = 10; // retry budget, starts full
};

// State of the own backend server by its health checks.
struct BackendSection
{
  std::atomic<bool> reachable{ true };
  std::atomic<bool> draining{ false };
};

struct AgentBoard
{
  AgentBoard(Node& aNode, const AgentSettings& aSettings);

  // The agent's own service and backend server; null when the document does
  // not list this agent.
  auto OwnService(const Document& aDocument) const -> const Service*;
  auto OwnBackend(const Document& aDocument) const -> const BackendServer*;
  // False while the backend server, the VM or the process is leaving, while
  // the backend server is unreachable and while the node is not current.
  auto AcceptsNewWork() const -> bool;
  // The service's agents with their estimated load, in the document's order.
  // Locks peers.mutex; the caller holds admission.mutex.
  auto Candidates(const Service& aService) -> std::vector<Candidate>;
  // Directory agents of a flow in rendezvous order: the first that is neither
  // dead nor paused, and the next one in another failure domain, or the second
  // when all are in one domain.
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
