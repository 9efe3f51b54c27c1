#include "agent/flows.h"

#include "core/rendezvous.h"

namespace damaskwalk {

namespace {

constexpr Millis kCallerSilenceTimeout{ 30000 };

} // namespace

FlowController::FlowController(AgentBoard& aBoard)
  : board_(aBoard)
  , nextAttempt_(1)
  , open_(aBoard.node.Meter().Gauge("damaskwalk_flows_open",
                                    "Flows that this agent owns"))
  , opened_(aBoard.node.Meter().Counter("damaskwalk_flows_opened_total",
                                        "Flows that were opened here"))
  , refused_(
      aBoard.node.Meter().Counter("damaskwalk_flows_refused_total",
                                  "First packets refused for lack of room"))
{
  board_.responses.SetConsumer(
    [this](std::vector<Response> aResponses) {
      OnResponses(std::move(aResponses));
    },
    board_.node);
}

auto FlowController::StreamSettings(const FlowKey& aFlow) const -> StreamInit
{
  StreamInit init;
  init.local = aFlow.address;
  init.remote = aFlow.caller;
  init.silenceTimeout = kCallerSilenceTimeout;
  if (board_.settings.tokens) {
    init.timestamp = OwnerTag(board_.node.Self());
  }
  return init;
}

auto FlowController::Open(const Frame& aSyn, std::uint32_t aEpoch) -> bool
{
  const auto key = FlowOf(aSyn);
  auto& shard = board_.flows.ShardOf(key);
  const std::lock_guard lock(shard.mutex);
  if (shard.flows.contains(key)) {
    return true;
  }
  if (board_.flows.Count() >= board_.settings.maxFlows) {
    refused_.Increment();
    return false;
  }
  auto init = StreamSettings(key);
  const auto now = board_.Now();
  // Differs between owners, so the caller's acknowledgement identifies the
  // owner of the handshake.
  init.initialSequence = static_cast<std::uint32_t>(
    Mix(Mix(HashOf(key), HashOf(board_.node.Self())),
        static_cast<std::uint64_t>(now.time_since_epoch().count())));
  auto flow = std::make_unique<Flow>(Stream::Accept(init, aSyn, now));
  flow->key = key;
  flow->epoch = aEpoch;
  flow->created = now;
  Flush(*flow);
  shard.moved.erase(key);
  shard.flows.emplace(key, std::move(flow));
  board_.flows.AdjustCount(1);
  opened_.Increment();
  return true;
}

auto FlowController::OnFrame(const Frame& aFrame) -> bool
{
  const auto key = FlowOf(aFrame);
  auto& shard = board_.flows.ShardOf(key);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.flows.find(key);
  if (found == shard.flows.end()) {
    return false;
  }
  auto& flow = *found->second;
  const bool inHandshake = flow.stream.State() == StreamState::SynReceived;
  const bool foreignAck =
    inHandshake && !aFrame.Has(flag::kSyn) && !aFrame.Has(flag::kRst) &&
    aFrame.acknowledgement != flow.stream.InitialSequence() + 1;
  if (foreignAck) {
    // The caller completed its handshake with another owner.
    shard.flows.erase(found);
    board_.flows.AdjustCount(-1);
    return false;
  }
  if (flow.frozen) {
    return true;
  }
  std::vector<Frame> frames;
  flow.stream.OnFrame(aFrame, board_.Now(), frames);
  for (const auto& frame : frames) {
    board_.node.SendFrame(frame);
  }
  if (inHandshake && flow.stream.State() == StreamState::Established) {
    board_.established.Put(key);
  }
  ReadRequests(flow);
  CloseIfDone(shard, key);
  return true;
}

auto FlowController::Flush(Flow& aFlow) -> void
{
  std::vector<Frame> frames;
  aFlow.stream.Poll(board_.Now(), frames);
  for (const auto& frame : frames) {
    board_.node.SendFrame(frame);
  }
}

auto FlowController::ReadRequests(Flow& aFlow) -> void
{
  if (aFlow.phase != FlowPhase::Idle || aFlow.frozen ||
      aFlow.stream.State() != StreamState::Established) {
    return;
  }
  auto& bytes = aFlow.stream.Received();
  if (bytes.empty()) {
    if (aFlow.stream.RemoteClosed()) {
      aFlow.stream.Close();
      Flush(aFlow);
    }
    return;
  }
  HttpRequest request;
  const auto parsed = TakeRequest(bytes, request);
  if (parsed == HttpParse::Complete) {
    BeginRequest(aFlow, std::move(request));
  } else if (parsed == HttpParse::Malformed) {
    bytes.clear();
    aFlow.stream.Write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n"
                       "X-Damaskwalk-Outcome: not_run\r\n"
                       "Connection: close\r\n\r\n");
    aFlow.stream.Close();
    Flush(aFlow);
  }
}

auto FlowController::BeginRequest(Flow& aFlow, HttpRequest aHttp) -> void
{
  const auto document = board_.node.Board().documents.Current();
  const auto* service = document->FindByAddress(aFlow.key.address);
  const RequestKind kind =
    service ? service->FindKind(aHttp.method, aHttp.target) : RequestKind{};
  if (kind.feed) {
    BeginFeed(aFlow, aHttp);
    return;
  }
  const auto now = board_.Now();
  auto request = std::make_shared<Request>();
  request->id = ++board_.nextRequestId;
  request->flow = aFlow.key;
  request->kind = kind;
  request->arrived = now;
  const auto timeLimit =
    aHttp.deadlineMillis > 0
      ? std::min(kind.deadline, Millis{ aHttp.deadlineMillis })
      : kind.deadline;
  request->deadline = now + timeLimit;
  request->attempt = { Mix(HashOf(board_.node.Self()),
                           board_.node.Board().members.SelfIncarnation()),
                       nextAttempt_++ };
  if (aFlow.inheritedAttempt.IsValid()) {
    request->attempt = std::exchange(aFlow.inheritedAttempt, {});
    request->claimed = aFlow.inheritedClaim;
    request->mayHaveRun = aFlow.inheritedMayHaveRun;
  }
  if (aHttp.caller.empty()) {
    aHttp.caller = ToText(Endpoint{ aFlow.key.caller.ip, 1 });
  }
  request->http = std::move(aHttp);
  aFlow.request = request;
  aFlow.phase = FlowPhase::Waiting;
  board_.submitted.Put(std::move(request));
}

auto FlowController::BeginFeed(Flow& aFlow, const HttpRequest& aHttp) -> void
{
  aFlow.phase = FlowPhase::Feed;
  aFlow.feedRequest = aHttp.text;
  aFlow.lastEventId = aHttp.lastEventId;
  aFlow.feedStarted = false;
  ++aFlow.feedGeneration;
  board_.feeds.Put(aFlow.key);
}

auto FlowController::OnResponses(std::vector<Response> aResponses) -> void
{
  for (auto& response : aResponses) {
    auto& shard = board_.flows.ShardOf(response.flow);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.flows.find(response.flow);
    if (found == shard.flows.end()) {
      continue;
    }
    auto& flow = *found->second;
    // Drops a response to a request that the flow no longer waits for.
    if (!flow.request || flow.request->id != response.id) {
      continue;
    }
    flow.request.reset();
    flow.phase = FlowPhase::Idle;
    flow.stream.Write(response.text);
    Flush(flow);
    ReadRequests(flow);
  }
}

auto FlowController::CloseIfDone(FlowShard& aShard, const FlowKey& aFlow)
  -> void
{
  const auto found = aShard.flows.find(aFlow);
  if (found == aShard.flows.end()) {
    return;
  }
  auto& flow = *found->second;
  const bool feedCallerClosed =
    flow.phase == FlowPhase::Feed && flow.stream.RemoteClosed();
  if (feedCallerClosed) {
    ++flow.feedGeneration;
    flow.phase = FlowPhase::Idle;
    flow.stream.Close();
    Flush(flow);
  }
  if (flow.stream.State() != StreamState::Closed) {
    return;
  }
  board_.ended.Put({ aFlow, board_.node.Self(), flow.epoch, 1 });
  aShard.flows.erase(found);
  board_.flows.AdjustCount(-1);
}

auto FlowController::Tick() -> void
{
  const auto now = board_.Now();
  for (auto& shard : board_.flows.Shards()) {
    const std::lock_guard lock(shard.mutex);
    std::vector<FlowKey> done;
    for (auto& [key, flow] : shard.flows) {
      const bool inHandshake = flow->stream.State() == StreamState::SynReceived;
      if (inHandshake && now - flow->created > kHandshakeTimeout) {
        done.push_back(key);
        continue;
      }
      if (!flow->frozen && flow->stream.NeedsPoll()) {
        Flush(*flow);
      }
      if (flow->stream.State() == StreamState::Closed) {
        done.push_back(key);
      }
    }
    for (const auto& key : done) {
      const auto found = shard.flows.find(key);
      const auto epoch = found->second->epoch;
      shard.flows.erase(found);
      board_.flows.AdjustCount(-1);
      board_.ended.Put({ key, board_.node.Self(), epoch, 1 });
    }
  }
  open_.Set(static_cast<double>(board_.flows.Count()));
}

auto FlowController::ResetForeignFlows(const Document& aDocument) -> void
{
  const auto* own = board_.OwnService(aDocument);
  for (auto& shard : board_.flows.Shards()) {
    const std::lock_guard lock(shard.mutex);
    for (auto entry = shard.flows.begin(); entry != shard.flows.end();) {
      const auto* service = aDocument.FindByAddress(entry->first.address);
      const bool foreign = !service || (own && service->id != own->id);
      if (!foreign) {
        ++entry;
        continue;
      }
      auto& flow = *entry->second;
      Frame reset;
      reset.source = entry->first.address;
      reset.destination = entry->first.caller;
      reset.flags = flag::kRst;
      reset.sequence = flow.stream.SendUnacked();
      board_.node.SendFrame(reset);
      board_.RecordEvent("event=flow_ended flow=" + ToText(entry->first) +
                         " cause=service_gone");
      board_.ended.Put({ entry->first, board_.node.Self(), flow.epoch, 1 });
      entry = shard.flows.erase(entry);
      board_.flows.AdjustCount(-1);
    }
  }
}

auto FlowController::Detach(const FlowKey& aFlow) -> std::optional<FlowState>
{
  auto& shard = board_.flows.ShardOf(aFlow);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.flows.find(aFlow);
  if (found == shard.flows.end()) {
    return std::nullopt;
  }
  auto& flow = *found->second;
  const bool movable = flow.stream.State() == StreamState::Established &&
                       flow.phase != FlowPhase::Running && !flow.frozen;
  if (!movable) {
    return std::nullopt;
  }
  FlowState state;
  if (flow.phase == FlowPhase::Waiting) {
    {
      // A request that was removed from the queue can't be dispatched here.
      const std::lock_guard admissionLock(board_.admission.mutex);
      if (!board_.admission.queue.Remove(flow.request->id)) {
        return std::nullopt;
      }
      board_.admission.requests.erase(flow.request->id);
    }
    state.received = flow.request->http.text;
    state.attempt = flow.request->attempt;
    state.claimed = flow.request->claimed ? 1 : 0;
    state.mayHaveRun = flow.request->mayHaveRun ? 1 : 0;
  }
  flow.frozen = true;
  ++flow.feedGeneration;
  const auto snapshot = flow.stream.Snapshot();
  state.flow = aFlow;
  state.epoch = flow.epoch;
  state.sendUnacked = snapshot.sendUnacked;
  state.receiveNext = snapshot.receiveNext;
  state.unacked = snapshot.unacked;
  state.finReceived = snapshot.finReceived ? 1 : 0;
  state.finQueued = snapshot.finQueued ? 1 : 0;
  state.received += flow.stream.Received();
  if (flow.phase == FlowPhase::Feed) {
    state.feedRequest = flow.feedRequest;
    state.lastEventId = flow.lastEventId;
    state.feedStarted = flow.feedStarted ? 1 : 0;
  }
  // Resume reads the request again if no other agent accepts the flow.
  if (flow.phase == FlowPhase::Waiting) {
    flow.inheritedAttempt = state.attempt;
    flow.inheritedClaim = state.claimed != 0;
    flow.inheritedMayHaveRun = state.mayHaveRun != 0;
    flow.stream.Received() = state.received;
    flow.request.reset();
    flow.phase = FlowPhase::Idle;
  }
  return state;
}

auto FlowController::Attach(const FlowState& aState) -> bool
{
  auto& shard = board_.flows.ShardOf(aState.flow);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.flows.find(aState.flow);
  if (found != shard.flows.end()) {
    if (found->second->epoch >= aState.epoch) {
      return found->second->epoch == aState.epoch;
    }
    shard.flows.erase(found);
    board_.flows.AdjustCount(-1);
  }
  if (board_.flows.Count() >= board_.settings.maxFlows) {
    return false;
  }
  const auto now = board_.Now();
  auto flow = std::make_unique<Flow>(Stream::Resume(StreamSettings(aState.flow),
                                                    { aState.sendUnacked,
                                                      aState.receiveNext,
                                                      aState.unacked,
                                                      aState.finReceived != 0,
                                                      aState.finQueued != 0 },
                                                    now));
  flow->key = aState.flow;
  flow->epoch = aState.epoch;
  flow->created = now;
  flow->stream.Received() = aState.received;
  shard.moved.erase(aState.flow);
  auto& attached = *flow;
  shard.flows.emplace(aState.flow, std::move(flow));
  board_.flows.AdjustCount(1);
  board_.established.Put(aState.flow);
  if (!aState.feedRequest.empty()) {
    attached.phase = FlowPhase::Feed;
    attached.feedRequest = aState.feedRequest;
    attached.lastEventId = aState.lastEventId;
    attached.feedStarted = aState.feedStarted != 0;
    ++attached.feedGeneration;
    board_.feeds.Put(aState.flow);
  }
  attached.inheritedAttempt = aState.attempt;
  attached.inheritedClaim = aState.claimed != 0;
  attached.inheritedMayHaveRun = aState.mayHaveRun != 0;
  Flush(attached);
  ReadRequests(attached);
  return true;
}

auto FlowController::Resume(const FlowState& aState) -> void
{
  auto& shard = board_.flows.ShardOf(aState.flow);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.flows.find(aState.flow);
  if (found == shard.flows.end()) {
    return;
  }
  auto& flow = *found->second;
  flow.frozen = false;
  flow.epoch = aState.epoch;
  board_.established.Put(aState.flow);
  if (flow.phase == FlowPhase::Feed) {
    board_.feeds.Put(aState.flow);
  }
  ReadRequests(flow);
}

auto FlowController::SetMoved(const FlowKey& aFlow, const Endpoint& aOwner)
  -> void
{
  auto& shard = board_.flows.ShardOf(aFlow);
  const std::lock_guard lock(shard.mutex);
  if (shard.flows.erase(aFlow) > 0) {
    board_.flows.AdjustCount(-1);
  }
  shard.moved[aFlow] = aOwner;
}

auto FlowController::MovedTo(const FlowKey& aFlow) -> Endpoint
{
  auto& shard = board_.flows.ShardOf(aFlow);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.moved.find(aFlow);
  return found == shard.moved.end() ? Endpoint{} : found->second;
}

auto FlowController::FlowKeys() -> std::vector<FlowKey>
{
  std::vector<FlowKey> keys;
  for (auto& shard : board_.flows.Shards()) {
    const std::lock_guard lock(shard.mutex);
    for (const auto& [key, flow] : shard.flows) {
      keys.push_back(key);
    }
  }
  return keys;
}

auto FlowController::OwnedEpoch(const FlowKey& aFlow,
                                std::uint32_t aAcknowledgement)
  -> std::optional<std::uint32_t>
{
  auto& shard = board_.flows.ShardOf(aFlow);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.flows.find(aFlow);
  if (found == shard.flows.end()) {
    return std::nullopt;
  }
  const auto& flow = *found->second;
  const bool isOwner = flow.stream.State() == StreamState::Established ||
                       aAcknowledgement == flow.stream.InitialSequence() + 1;
  return isOwner ? std::optional(flow.epoch) : std::nullopt;
}

auto FlowController::OnReject(const FlowFact& aFact) -> void
{
  auto& shard = board_.flows.ShardOf(aFact.flow);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.flows.find(aFact.flow);
  if (found == shard.flows.end() || found->second->frozen ||
      aFact.owner == board_.node.Self()) {
    return;
  }
  auto& flow = *found->second;
  if (flow.epoch < aFact.epoch) {
    board_.RecordEvent("event=flow_dropped flow=" + ToText(aFact.flow) +
                       " cause=newer_owner owner=" + ToText(aFact.owner));
    shard.flows.erase(found);
    board_.flows.AdjustCount(-1);
    return;
  }
  if (flow.stream.State() == StreamState::Established) {
    // The caller completed its handshake with this agent, so the registered
    // owner's claim is wrong.
    flow.epoch = aFact.epoch + 1;
    board_.established.Put(aFact.flow);
  }
}

} // namespace damaskwalk
