#include "agent/directory.h"

#include "runtime/log.h"

#include <glog/logging.h>

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace damaskwalk {

namespace leaf = boost::leaf;

namespace {

constexpr std::uint8_t kMaxHops = 6;
constexpr std::size_t kMaxHeldPacketsPerFlow = 4;
constexpr std::size_t kMaxFactsPerMessage = 128;
constexpr std::size_t kMaxMessagesPerTick = 8;

} // namespace

DirectoryController::DirectoryController(AgentBoard& aBoard,
                                         FlowController& aFlows)
  : board_(aBoard)
  , flows_(aFlows)
  , placed_(aBoard.node.Meter().Counter("damaskwalk_flows_placed_total",
                                        "First packets placed by this agent"))
  , relayed_(aBoard.node.Meter().Counter("damaskwalk_packets_relayed_total",
                                         "Packets passed on to an owner"))
  , recovered_(aBoard.node.Meter().Counter("damaskwalk_flows_recovered_total",
                                           "Flows found by asking around"))
  , resets_(aBoard.node.Meter().Counter("damaskwalk_flows_reset_total",
                                        "Flows reset because no owner lives"))
  , wrongService_(
      aBoard.node.Meter().Counter("damaskwalk_wrong_service_total",
                                  "Packets refused: not this agent's service"))
  , hints_(aBoard.node.Meter().Counter("damaskwalk_hints_sent_total",
                                       "Hints sent to balancers"))
{
  board_.established.SetConsumer(
    [this](std::vector<FlowKey> aFlows) {
      const std::lock_guard lock(registerMutex_);
      toRegister_.insert(toRegister_.end(), aFlows.begin(), aFlows.end());
    },
    board_.node);
  board_.ended.SetConsumer(
    [this](std::vector<FlowFact> aFacts) { SendFacts(aFacts); }, board_.node);
}

auto DirectoryController::OnPacket(const PacketForward& aPacket) -> void
{
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(frame, DecodeFrame(aPacket.frame));
      const auto flow = FlowOf(frame);
      const auto document = board_.node.Board().documents.Current();
      const auto* service = document->FindByAddress(flow.address);
      const auto* own = board_.OwnService(*document);
      const bool foreign = !service || service->id != aPacket.service ||
                           (own && own->id != service->id);
      if (foreign) {
        wrongService_.Increment();
        if (aPacket.balancer.IsValid()) {
          board_.node.Send(aPacket.balancer, WrongService{ flow });
        }
        return {};
      }
      const bool first = frame.Has(flag::kSyn);
      const bool notReady =
        !board_.node.IsCurrent() ||
        (first && board_.node.Board().documents.IsQuarantined(flow.address));
      if (notReady || aPacket.hops > kMaxHops) {
        return {};
      }
      if (flows_.OnFrame(frame)) {
        if (aPacket.stage == PacketStage::Entry) {
          SendHint(aPacket, flow, board_.node.Self());
        }
        board_.RecordSpan(frame.trace, "owner", "flow=" + ToText(flow));
        return {};
      }
      const auto moved = flows_.MovedTo(flow);
      if (moved.IsValid() && !first) {
        Relay(frame, aPacket, moved);
        return {};
      }
      RouteByDirectory(frame, aPacket);
      return {};
    },
    [&] { LOG_EVERY_N(WARNING, 1000) << "event=bad_frame_dropped"; });
}

auto DirectoryController::RouteByDirectory(const Frame& aFrame,
                                           PacketForward aPacket) -> void
{
  const auto flow = FlowOf(aFrame);
  const auto self = board_.node.Self();
  const auto document = board_.node.Board().documents.Current();
  const auto* service = document->FindByAddress(flow.address);
  const bool first = aFrame.Has(flag::kSyn);
  if (first && aPacket.stage == PacketStage::Placed) {
    OpenLocally(aFrame, 1);
    return;
  }
  auto entry = board_.directory.Find(flow);
  const bool fromPeer = aPacket.stage == PacketStage::Relayed ||
                        aPacket.stage == PacketStage::Recovered;
  if (fromPeer) {
    // The sender's information that this agent owns the flow is wrong.
    if (first && aPacket.hops <= 2) {
      OpenLocally(aFrame, entry ? entry->epoch : 1);
      return;
    }
    board_.directory.Release(flow, self);
  } else {
    const auto agents = board_.DirectoryAgents(*service, flow);
    const bool directory =
      std::ranges::find(agents, self) != agents.end() || entry.has_value();
    const bool isFirstAgent = !agents.empty() && agents.front() == self;
    if (!isFirstAgent && !entry && !agents.empty() &&
        aPacket.hops < kMaxHops - 2) {
      if (aPacket.stage == PacketStage::Hinted && !directory &&
          aPacket.balancer.IsValid()) {
        board_.node.Send(aPacket.balancer, FlowHint{ flow, {} });
      }
      auto forward = aPacket;
      forward.stage = PacketStage::Entry;
      ++forward.hops;
      board_.node.Send(agents.front(), forward);
      return;
    }
  }
  entry = board_.directory.Find(flow);
  const bool ownerGone =
    entry &&
    (entry->owner == self || board_.node.Board().members.IsDead(entry->owner));
  if (entry && !ownerGone) {
    Relay(aFrame, std::move(aPacket), entry->owner);
    return;
  }
  if (entry) {
    board_.directory.Release(flow, entry->owner);
  }
  if (first) {
    Place(aFrame, std::move(aPacket), entry ? entry->epoch + 1 : 1);
  } else {
    Recover(aFrame, std::move(aPacket));
  }
}

auto DirectoryController::Relay(const Frame& aFrame,
                                PacketForward aPacket,
                                const Endpoint& aTo) -> void
{
  const auto flow = FlowOf(aFrame);
  SendHint(aPacket, flow, aTo);
  aPacket.stage = PacketStage::Relayed;
  ++aPacket.hops;
  board_.node.Send(aTo, aPacket);
  relayed_.Increment();
  board_.RecordSpan(aFrame.trace, "directory", "owner=" + ToText(aTo));
}

auto DirectoryController::SendHint(const PacketForward& aPacket,
                                   const FlowKey& aFlow,
                                   const Endpoint& aOwner) -> void
{
  if (board_.settings.hints && aPacket.balancer.IsValid() &&
      board_.node.Send(aPacket.balancer, FlowHint{ aFlow, aOwner })) {
    hints_.Increment();
  }
}

auto DirectoryController::OpenLocally(const Frame& aSyn, std::uint32_t aEpoch)
  -> void
{
  if (!flows_.Open(aSyn, aEpoch)) {
    SendReset(FlowOf(aSyn), 0, "flow_table_full");
  }
}

auto DirectoryController::Place(const Frame& aSyn,
                                PacketForward aPacket,
                                std::uint32_t aEpoch) -> void
{
  const auto flow = FlowOf(aSyn);
  const auto document = board_.node.Board().documents.Current();
  const auto* service = document->FindByAddress(flow.address);
  std::size_t chosen = Placement::kNone;
  std::vector<Candidate> candidates;
  {
    const std::lock_guard lock(board_.admission.mutex);
    candidates = board_.Candidates(*service);
    chosen = board_.placement->PlaceFlow(candidates, HashOf(flow));
  }
  if (chosen == Placement::kNone) {
    SendReset(flow, 0, "no_backend_server_takes_flows");
    return;
  }
  const auto owner = candidates[chosen].agent;
  {
    const std::lock_guard lock(board_.peers.mutex);
    const auto peer = board_.peers.peers.find(owner);
    if (peer != board_.peers.peers.end()) {
      ++peer->second.placedFlows;
    }
  }
  const FlowFact fact{ flow, owner, aEpoch, 0 };
  board_.directory.Register(fact);
  placed_.Increment();
  board_.RecordEvent(
    "event=flow_placed flow=" + ToText(flow) + " owner=" + ToText(owner) +
    " policy=" + board_.placement->Name() +
    " flows_there=" + std::to_string(candidates[chosen].flows));
  board_.RecordSpan(aSyn.trace, "directory", "placed=" + ToText(owner));
  for (const auto& agent : board_.DirectoryAgents(*service, flow)) {
    if (agent != board_.node.Self()) {
      board_.node.Send(agent, FlowRegister{ service->id, { fact } });
    }
  }
  if (owner == board_.node.Self()) {
    OpenLocally(aSyn, aEpoch);
    return;
  }
  aPacket.stage = PacketStage::Placed;
  ++aPacket.hops;
  board_.node.Send(owner, aPacket);
}

auto DirectoryController::ServiceAgents() const -> std::vector<Endpoint>
{
  const auto document = board_.node.Board().documents.Current();
  const auto* own = board_.OwnService(*document);
  std::vector<Endpoint> agents;
  if (own) {
    for (const auto& backend : own->backends) {
      agents.push_back(backend.agent);
    }
  }
  // Agents that were removed from the document may still own flows.
  const std::lock_guard lock(board_.peers.mutex);
  for (const auto& [agent, peer] : board_.peers.peers) {
    if (std::ranges::find(agents, agent) == agents.end()) {
      agents.push_back(agent);
    }
  }
  return agents;
}

auto DirectoryController::Recover(const Frame& aFrame, PacketForward aPacket)
  -> void
{
  const auto flow = FlowOf(aFrame);
  if (aFrame.Has(flag::kRst)) {
    return;
  }
  const std::lock_guard lock(pendingMutex_);
  const auto found = pendingLookups_.find(flow);
  if (found != pendingLookups_.end()) {
    found->second.acknowledgement = aFrame.acknowledgement;
    if (found->second.heldPackets.size() < kMaxHeldPacketsPerFlow) {
      found->second.heldPackets.push_back(std::move(aPacket));
    }
    return;
  }
  if (pendingLookups_.size() >= kMaxPendingLookups) {
    return;
  }
  auto& pending = pendingLookups_[flow];
  pending.heldPackets.push_back(std::move(aPacket));
  pending.acknowledgement = aFrame.acknowledgement;
  pending.since = board_.Now();
  for (const auto& agent : ServiceAgents()) {
    if (agent != board_.node.Self()) {
      pending.queriedAgents.push_back(agent);
    }
  }
  SendLookups(flow, pending);
  if (ResetIfUnowned(flow, pending)) {
    pendingLookups_.erase(flow);
  }
}

auto DirectoryController::SendLookups(const FlowKey& aFlow,
                                      PendingLookup& aPending) -> void
{
  aPending.lastQueriedAt = board_.Now();
  for (const auto& agent : aPending.queriedAgents) {
    if (!aPending.repliedAgents.contains(agent) &&
        !board_.node.Board().members.IsDead(agent)) {
      board_.node.Send(agent, FlowLookup{ aFlow, aPending.acknowledgement });
    }
  }
}

// An agent counts as not owning the flow when it replied so or is dead.
auto DirectoryController::ResetIfUnowned(const FlowKey& aFlow,
                                         PendingLookup& aPending) -> bool
{
  const auto& members = board_.node.Board().members;
  for (const auto& agent : aPending.queriedAgents) {
    if (!aPending.repliedAgents.contains(agent) && !members.IsDead(agent)) {
      return false;
    }
  }
  // An agent that can't reach most of its peers suspects itself and leaves the
  // reset to them.
  if (members.SuspectsSelf()) {
    return false;
  }
  SendReset(aFlow, aPending.acknowledgement, "no_owner_lives");
  return true;
}

auto DirectoryController::OnLookup(const Endpoint& aSender,
                                   const FlowLookup& aLookup) -> void
{
  FlowLookupReply reply{ aLookup.flow, {}, 0 };
  if (const auto epoch =
        flows_.OwnedEpoch(aLookup.flow, aLookup.acknowledgement)) {
    reply.owner = board_.node.Self();
    reply.epoch = *epoch;
  } else if (const auto moved = flows_.MovedTo(aLookup.flow); moved.IsValid()) {
    reply.owner = moved;
  }
  board_.node.Send(aSender, reply);
}

auto DirectoryController::OnLookupReply(const Endpoint& aSender,
                                        const FlowLookupReply& aReply) -> void
{
  std::vector<PacketForward> heldPackets;
  {
    const std::lock_guard lock(pendingMutex_);
    const auto found = pendingLookups_.find(aReply.flow);
    if (found == pendingLookups_.end()) {
      return;
    }
    auto& pending = found->second;
    if (!aReply.owner.IsValid()) {
      pending.repliedAgents.insert(aSender);
      if (ResetIfUnowned(aReply.flow, pending)) {
        pendingLookups_.erase(found);
      }
      return;
    }
    heldPackets = std::move(pending.heldPackets);
    pendingLookups_.erase(found);
  }
  recovered_.Increment();
  board_.RecordEvent("event=flow_recovered flow=" + ToText(aReply.flow) +
                     " owner=" + ToText(aReply.owner) + " cause=asked_around");
  board_.directory.Register({ aReply.flow, aReply.owner, aReply.epoch, 0 });
  for (auto& packet : heldPackets) {
    SendHint(packet, aReply.flow, aReply.owner);
    packet.stage = PacketStage::Recovered;
    ++packet.hops;
    board_.node.Send(aReply.owner, packet);
  }
}

auto DirectoryController::OnRegister(const Endpoint& aSender,
                                     const FlowRegister& aRegister) -> void
{
  FlowReject reject;
  for (const auto& fact : aRegister.facts) {
    if (fact.ended != 0) {
      board_.directory.Release(fact.flow, fact.owner);
      continue;
    }
    if (board_.directory.Register(fact) != RegisterResult::Rejected) {
      continue;
    }
    const auto entry = board_.directory.Find(fact.flow);
    if (entry && board_.node.Board().members.IsDead(entry->owner)) {
      board_.directory.Release(fact.flow, entry->owner);
      board_.directory.Register(fact);
    } else if (entry) {
      reject.facts.push_back({ fact.flow, entry->owner, entry->epoch, 0 });
    }
  }
  if (!reject.facts.empty()) {
    board_.node.Send(aSender, reject);
  }
}

auto DirectoryController::RegisterAll() -> void
{
  registerAll_ = true;
}

auto DirectoryController::SendFacts(const std::vector<FlowFact>& aFacts) -> void
{
  const auto document = board_.node.Board().documents.Current();
  std::unordered_map<Endpoint, FlowRegister, KeyHash> messages;
  for (const auto& fact : aFacts) {
    const auto* service = document->FindByAddress(fact.flow.address);
    if (!service) {
      continue;
    }
    for (const auto& agent : board_.DirectoryAgents(*service, fact.flow)) {
      if (agent == board_.node.Self()) {
        OnRegister(agent, { service->id, { fact } });
        continue;
      }
      auto& message = messages[agent];
      message.service = service->id;
      message.facts.push_back(fact);
    }
  }
  for (auto& [agent, message] : messages) {
    if (board_.node.Send(agent, message) || message.facts.front().ended != 0) {
      continue;
    }
    // The control budget is used up: register at a later Tick.
    const std::lock_guard lock(registerMutex_);
    for (const auto& fact : message.facts) {
      toRegister_.push_back(fact.flow);
    }
  }
}

auto DirectoryController::Tick() -> void
{
  std::vector<FlowKey> batch;
  {
    const std::lock_guard lock(registerMutex_);
    if (registerAll_.exchange(false)) {
      toRegister_ = flows_.FlowKeys();
    }
    const auto count =
      std::min(toRegister_.size(), kMaxFactsPerMessage * kMaxMessagesPerTick);
    batch.assign(toRegister_.end() - static_cast<std::ptrdiff_t>(count),
                 toRegister_.end());
    toRegister_.resize(toRegister_.size() - count);
  }
  std::vector<FlowFact> facts;
  for (const auto& flow : batch) {
    auto& shard = board_.flows.ShardOf(flow);
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.flows.find(flow);
    if (found != shard.flows.end() && !found->second->frozen) {
      facts.push_back({ flow, board_.node.Self(), found->second->epoch, 0 });
    }
  }
  if (!facts.empty()) {
    SendFacts(facts);
  }
  const auto now = board_.Now();
  const std::lock_guard lock(pendingMutex_);
  for (auto entry = pendingLookups_.begin(); entry != pendingLookups_.end();) {
    auto& [flow, pending] = *entry;
    const bool finished =
      ResetIfUnowned(flow, pending) || now - pending.since > kLookupTimeout;
    if (finished) {
      entry = pendingLookups_.erase(entry);
      continue;
    }
    if (now - pending.lastQueriedAt > kLookupRetryPeriod) {
      SendLookups(flow, pending);
    }
    ++entry;
  }
}

auto DirectoryController::OnMembers(const std::vector<MemberChange>& aChanges)
  -> void
{
  for (const auto& change : aChanges) {
    if (change.role != Role::Agent) {
      continue;
    }
    RegisterAll();
    const bool gone = change.to == MemberState::Dead;
    if ((!gone && !change.restarted) ||
        board_.node.Board().members.SuspectsSelf()) {
      continue;
    }
    // Probes the flow's caller with an RST of sequence 0. Callers answer an RST
    // that is out of sequence with a challenge acknowledgement (RFC 5961). It
    // carries the sequence number that a later reset of the flow has to use.
    for (const auto& flow : board_.directory.FlowsOf(change.member)) {
      board_.directory.Release(flow, change.member);
      Frame probe;
      probe.source = flow.address;
      probe.destination = flow.caller;
      probe.flags = flag::kRst;
      board_.node.SendFrame(probe);
    }
  }
}

auto DirectoryController::SendReset(const FlowKey& aFlow,
                                    std::uint32_t aSequence,
                                    const char* aCause) -> void
{
  Frame reset;
  reset.source = aFlow.address;
  reset.destination = aFlow.caller;
  reset.flags = flag::kRst;
  reset.sequence = aSequence;
  board_.node.SendFrame(reset);
  resets_.Increment();
  board_.RecordEvent("event=flow_reset flow=" + ToText(aFlow) +
                     " cause=" + aCause);
}

auto DirectoryController::Status(boost::json::object& aStatus) const -> void
{
  aStatus["flows_placed"] = placed_.Value();
  aStatus["packets_relayed"] = relayed_.Value();
  aStatus["flows_recovered"] = recovered_.Value();
  aStatus["flows_reset"] = resets_.Value();
  aStatus["hints_sent"] = hints_.Value();
}

} // namespace damaskwalk
