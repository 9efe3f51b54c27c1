#include "agent/agent.h"

#include "core/rendezvous.h"
#include "runtime/log.h"

#include <boost/json.hpp>

namespace damaskwalk {

namespace {

constexpr std::uint64_t kTicksPerFlowPoll = 2;
constexpr std::uint64_t kTicksPerDirectoryPoll = 5;
constexpr std::size_t kMaxFactsPerHeartbeat = 6;
constexpr std::size_t kMaxEventsPerExplain = 200;
constexpr Millis kKeyTransferTimeout{ 400 };
constexpr Millis kPollPeriod{ 20 };
constexpr Millis kLatePacketDelay{ 400 };

auto AgentsOf(const Service& aService) -> std::vector<Endpoint>
{
  std::vector<Endpoint> agents;
  for (const auto& backend : aService.backends) {
    agents.push_back(backend.agent);
  }
  return agents;
}

} // namespace

Agent::Agent(Node& aNode, const AgentSettings& aSettings)
  : node_(aNode)
  , board_(aNode, aSettings)
  , flows_(board_)
  , directory_(board_, flows_)
  , executor_(board_)
  , requests_(board_, executor_)
  , feeds_(board_)
  , handover_(board_, flows_)
  , nextHeartbeat_(board_.Now())
{
}

auto Agent::Start() -> void
{
  node_.Spawn(executor_.WatchHealth());
}

auto Agent::OnFrame(std::string_view) -> void
{
  // Agents receive frames only from balancers, as PacketForward messages.
}

auto Agent::OnMessage(const ReceivedMessage& aReceived) -> void
{
  const auto& sender = aReceived.envelope.sender;
  const auto& message = aReceived.message;
  if (const auto* packet = std::get_if<PacketForward>(&message)) {
    directory_.OnPacket(*packet);
  } else if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    OnHeartbeat(aReceived.envelope, *heartbeat);
  } else if (const auto* facts = std::get_if<FlowRegister>(&message)) {
    directory_.OnRegister(sender, *facts);
  } else if (const auto* lookup = std::get_if<FlowLookup>(&message)) {
    directory_.OnLookup(sender, *lookup);
  } else if (const auto* reply = std::get_if<FlowLookupReply>(&message)) {
    directory_.OnLookupReply(sender, *reply);
  } else if (const auto* reject = std::get_if<FlowReject>(&message)) {
    for (const auto& fact : reject->facts) {
      flows_.OnReject(fact);
    }
  }
}

auto Agent::OnCall(ReceivedMessage aReceived) -> Task<Message>
{
  auto& message = aReceived.message;
  const auto sender = aReceived.envelope.sender;
  if (auto* execute = std::get_if<ExecuteRequest>(&message)) {
    co_return co_await executor_.Execute(std::move(*execute));
  }
  if (const auto* claim = std::get_if<KeyClaim>(&message)) {
    co_return requests_.OnClaim(*claim);
  }
  if (const auto* outcome = std::get_if<KeyOutcome>(&message)) {
    board_.keys.OnOutcome(*outcome);
    co_return TextReply{};
  }
  if (const auto* handover = std::get_if<Handover>(&message)) {
    co_return handover_.OnHandover(*handover);
  }
  if (const auto* pull = std::get_if<KeyPull>(&message)) {
    co_return pull->rejoin != 0
      ? board_.keys.OnRejoin(
          sender, aReceived.envelope.incarnation, pull->targetsDigest)
      : board_.keys.OnPull(sender, pull->targetsDigest, pull->formerDigest);
  }
  if (const auto* resign = std::get_if<KeyResign>(&message)) {
    board_.keys.OnResignation(sender, resign->targetsDigest, resign->roles);
    heartbeatDue_ = true;
  }
  co_return TextReply{};
}

auto Agent::OnHeartbeat(const Envelope& aEnvelope, const Heartbeat& aHeartbeat)
  -> void
{
  const auto now = board_.Now();
  const auto document = node_.Board().documents.Current();
  const auto* own = board_.OwnService(*document);
  node_.Board().members.Merge(aHeartbeat.facts);
  if (own && own->id != aHeartbeat.service) {
    return;
  }
  board_.keys.OnHeartbeat(aEnvelope.sender,
                          aEnvelope.incarnation,
                          aHeartbeat.sequence,
                          aHeartbeat.targetsDigest,
                          aHeartbeat.heard);
  {
    const std::lock_guard lock(board_.peers.mutex);
    auto& peer = board_.peers.peers[aEnvelope.sender];
    peer.load = aHeartbeat.load;
    peer.reportedAt = now;
    peer.leaving = aHeartbeat.leaving != 0;
    peer.placedFlows = 0;
    peer.addedUtilisation = 0;
  }
  const std::lock_guard lock(board_.admission.mutex);
  board_.admission.rates.OnReport(aEnvelope.sender, aHeartbeat.heaviest, now);
}

auto Agent::SendHeartbeats() -> void
{
  const auto document = node_.Board().documents.Current();
  const auto* own = board_.OwnService(*document);
  if (!own) {
    return;
  }
  Heartbeat heartbeat;
  heartbeat.service = own->id;
  heartbeat.targetsDigest = board_.keys.TargetsDigest();
  heartbeat.sequence = board_.keys.BeginHeartbeat();
  heartbeat.leaving = board_.AcceptsNewWork() ? 0 : 1;
  heartbeat.load = executor_.Load();
  heartbeat.heard = board_.keys.HeardList();
  {
    const std::lock_guard lock(board_.admission.mutex);
    heartbeat.heaviest = board_.admission.rates.HeaviestCallers(board_.Now());
  }
  heartbeat.facts = node_.Board().members.TakeFacts(kMaxFactsPerHeartbeat);
  for (const auto& backend : own->backends) {
    if (backend.agent != node_.Self()) {
      node_.Send(backend.agent, heartbeat);
    }
  }
}

auto Agent::OnTick() -> void
{
  const auto now = board_.Now();
  ++ticks_;
  if (now >= nextHeartbeat_ || heartbeatDue_.exchange(false)) {
    nextHeartbeat_ = now + kHeartbeatPeriod;
    SendHeartbeats();
  }
  if (ticks_ % kTicksPerFlowPoll == 0) {
    flows_.Tick();
  }
  if (ticks_ % kTicksPerDirectoryPoll == 0) {
    directory_.Tick();
    handover_.Tick();
  }
  requests_.Tick();
  const bool pulls = !board_.keys.PendingPulls().empty() ||
                     !board_.keys.PendingRejoins().empty();
  if (pulls && !pullingKeys_.exchange(true)) {
    node_.Spawn(PullKeys());
  }
}

auto Agent::PullKeys() -> Task<void>
{
  const auto document = node_.Board().documents.Current();
  const auto* own = board_.OwnService(*document);
  KeyPull pull{ own ? own->id : ServiceId{},
                board_.keys.TargetsDigest(),
                board_.keys.FormerDigest(),
                0 };
  for (const auto& former : board_.keys.PendingPulls()) {
    auto outcome = co_await node_.Call(former, pull, kKeyTransferTimeout);
    const auto* reply = std::get_if<KeyPullReply>(&outcome.message);
    if (outcome.status == CallStatus::Replied && reply &&
        pull.targetsDigest == board_.keys.TargetsDigest()) {
      board_.keys.OnPullReply(former, *reply);
    }
  }
  pull.rejoin = 1;
  for (const auto& peer : board_.keys.PendingRejoins()) {
    auto outcome = co_await node_.Call(peer, pull, kKeyTransferTimeout);
    const auto* reply = std::get_if<KeyPullReply>(&outcome.message);
    const bool replied = outcome.status == CallStatus::Replied && reply;
    board_.keys.OnRejoinReply(peer, replied ? *reply : KeyPullReply{});
  }
  co_await node_.Sleep(kPollPeriod);
  pullingKeys_ = false;
}

auto Agent::OnDocument(DocumentPtr aBefore, DocumentPtr aNow) -> void
{
  const auto* own = board_.OwnService(*aNow);
  const auto* former = board_.OwnService(*aBefore);
  if (!own && former) {
    // Removed from the document: the state that this agent still holds goes to
    // the agents that remain in its service.
    own = aNow->FindById(former->id);
  }
  if (own && !former) {
    // Added to the service: the roles come from its former targets.
    if (const auto* before = aBefore->FindById(own->id)) {
      board_.keys.SetTargets(AgentsOf(*before));
    }
  }
  const auto targets = own ? AgentsOf(*own) : std::vector<Endpoint>();
  node_.Board().members.SetPeers(targets);
  board_.keys.SetTargets(targets);
  executor_.OnDocument(*aNow);
  flows_.ResetForeignFlows(*aNow);
  directory_.RegisterAll();
  heartbeatDue_ = true;
}

auto Agent::OnMembers(const std::vector<MemberChange>& aChanges) -> void
{
  directory_.OnMembers(aChanges);
}

auto Agent::ResignKeys() -> Task<void>
{
  const auto document = node_.Board().documents.Current();
  const auto* own = board_.OwnService(*document);
  board_.keys.Resign();
  if (!own) {
    co_return;
  }
  for (const auto& backend : own->backends) {
    if (backend.agent == node_.Self() ||
        node_.Board().members.IsDead(backend.agent)) {
      continue;
    }
    const auto digest = board_.keys.TargetsDigest();
    Message resign = KeyResign{ own->id,
                                digest,
                                board_.keys.ExportResignation(backend.agent) };
    co_await node_.Call(backend.agent, std::move(resign), kKeyTransferTimeout);
  }
}

auto Agent::Drain() -> Task<void>
{
  heartbeatDue_ = true;
  const auto busy = [this] {
    return board_.flows.Count() > 0 || handover_.IsBusy() ||
           requests_.InFlight() > 0 || executor_.Running() > 0;
  };
  while (busy()) {
    co_await node_.Sleep(kPollPeriod);
  }
  co_await ResignKeys();
  // Waits so that packets still in flight to this agent are relayed.
  co_await node_.Sleep(kLatePacketDelay);
}

auto Agent::Status() const -> boost::json::object
{
  const auto load = executor_.Load();
  const auto document = node_.Board().documents.Current();
  const auto* own = board_.OwnBackend(*document);
  boost::json::object status;
  status["role"] = "agent";
  status["service"] = own ? own->serviceName : "";
  status["backend_server"] = own ? own->name : "";
  status["takes_new_work"] = board_.AcceptsNewWork();
  status["flows"] = load.flows;
  status["directory_entries"] = board_.directory.Size();
  status["slots"] = load.slots;
  status["slots_busy"] = load.busy;
  status["slots_limit"] = load.limit;
  status["queued"] = load.queued;
  status["utilisation"] = load.utilisation / 1e6;
  status["service_seconds"] = load.serviceMicros / 1e6;
  directory_.Status(status);
  status["key_records"] = board_.keys.RecordCount();
  status["key_lease"] = board_.keys.HoldsLease();
  return status;
}

auto Agent::Explain(const ExplainQuery& aQuery) const -> boost::json::object
{
  boost::json::object answer;
  answer["address"] = ToText(node_.Self());
  const auto flow = ParseFlowKey(aQuery.flow);
  if (flow) {
    const auto document = node_.Board().documents.Current();
    if (const auto* service = document->FindByAddress(flow->address)) {
      answer["service"] = service->name;
      boost::json::array agents;
      for (const auto& agent : board_.DirectoryAgents(*service, *flow)) {
        agents.emplace_back(ToText(agent));
      }
      answer["directory_agents"] = std::move(agents);
    }
    if (const auto entry = board_.directory.Find(*flow)) {
      answer["directory_owner"] = ToText(entry->owner);
      answer["epoch"] = entry->epoch;
    }
    answer["owned_here"] = flows_.OwnedEpoch(*flow, 0).has_value();
  }
  const auto searchText =
    flow ? "flow=" + aQuery.flow : "request=" + aQuery.request;
  boost::json::array events;
  for (const auto& event :
       node_.Board().journal.Find(searchText, kMaxEventsPerExplain)) {
    events.push_back(
      { { "wall_millis", event.wallMillis }, { "event", event.text } });
  }
  answer["events"] = std::move(events);
  return answer;
}

} // namespace damaskwalk
