#include "relay_model.h"

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>

#include <boost/endian/conversion.hpp>

namespace damaskwalk {

namespace {

constexpr std::uint32_t kCallerIp = 0x64400001;
constexpr std::uint32_t kTargetIps = 0x0A010000;
constexpr std::uint32_t kBalancerIps = 0x0A020000;
constexpr std::uint32_t kAddressIp = 0xC6120001;
constexpr std::uint16_t kAgentPort = 8172;
constexpr Millis kLink{ 1 };
constexpr Millis kTickEvery{ 25 };

constexpr std::uint8_t kSyn = 32;
constexpr std::uint8_t kAck = 128;
constexpr std::uint8_t kRst = 2;
constexpr std::uint8_t kFin = 64;
constexpr std::uint8_t kBack = 8;

auto MakePacket(std::uint8_t aFlags,
                const Endpoint& aFrom,
                const Endpoint& aTo,
                std::uint32_t aSequence,
                std::uint32_t aAcknowledgement,
                std::string_view aPayload) -> std::string
{
  std::string bytes(32, '\0');
  auto* data = reinterpret_cast<unsigned char*>(bytes.data());
  data[0] = aFlags;
  boost::endian::store_big_u32(data + 2, aSequence);
  boost::endian::store_big_u32(data + 6, aAcknowledgement);
  boost::endian::store_big_u16(data + 18,
                               static_cast<std::uint16_t>(aPayload.size()));
  boost::endian::store_big_u16(data + 20, aTo.port);
  boost::endian::store_big_u32(data + 22, aTo.ip);
  boost::endian::store_big_u32(data + 26, aFrom.ip);
  boost::endian::store_big_u16(data + 30, aFrom.port);
  return bytes + std::string(aPayload);
}

auto ServiceName(std::size_t aService) -> std::string
{
  return "service-" + std::to_string(aService);
}

auto AddressOf(std::size_t aService) -> Endpoint
{
  return { kAddressIp + static_cast<std::uint32_t>(aService), 443 };
}

} // namespace

struct RelayModel::Port final : public RelayPort
{
  Port(RelayModel& aModel,
       std::uint32_t aIp,
       std::optional<std::size_t> aTarget)
    : model(aModel)
    , ip(aIp)
    , target(aTarget)
  {
  }

  auto ToAgent(const Endpoint& aAgent, const Packet& aPacket) -> void override
  {
    model.codec_->WriteTag(aPacket.bytes, aPacket.tag);
    model.longestPath_ =
      std::max<std::uint32_t>(model.longestPath_, aPacket.tag.hops + 1U);
    Send(aPacket, [&to = model, ip = aAgent.ip](std::string aBytes) {
      to.AtAgent(ip, std::move(aBytes));
    });
  }
  auto ToBackend(const Packet& aPacket) -> void override
  {
    model.codec_->WriteTag(aPacket.bytes, aPacket.tag);
    model.AtBackend(*target, { aPacket.bytes.data(), aPacket.bytes.size() });
  }
  auto ToCaller(const Packet& aPacket) -> void override
  {
    Send(aPacket,
         [&to = model](std::string aBytes) { to.AtCaller(std::move(aBytes)); });
  }
  auto ResetCaller(const FlowKey& aFlow, std::uint32_t aSequence)
    -> void override
  {
    model.After(
      kLink, [&to = model, bytes = model.codec_->MakeReset(aFlow, aSequence)] {
        to.AtCaller(bytes);
      });
  }
  auto Tell(std::uint32_t aIp, const PeerMessage& aMessage) -> void override
  {
    if (!model.IsLost()) {
      model.After(
        kLink,
        [&to = model, from = ip, aIp, bytes = EncodePeerMessage(aMessage)] {
          to.AtPeer(aIp, from, bytes);
        });
    }
  }

  template<class Arrive>
  auto Send(const Packet& aPacket, Arrive aArrive) -> void
  {
    if (!model.IsLost()) {
      model.After(
        kLink,
        [aArrive,
         bytes = std::string(aPacket.bytes.data(), aPacket.bytes.size())] {
          aArrive(bytes);
        });
    }
  }

  RelayModel& model;
  std::uint32_t ip;
  std::optional<std::size_t> target;
};

struct RelayModel::Node
{
  Node(RelayModel& aModel,
       std::uint32_t aIp,
       std::optional<std::size_t> aTarget)
    : state(aModel.clock_)
    , load(aModel.clock_)
    , port(aModel, aIp, aTarget)
    , incarnation(aModel.random_())
  {
  }

  FleetState state;
  LoadBoard load;
  std::unique_ptr<FirstPacketPlacement> placement;
  std::unique_ptr<BalancerRelay> balancer;
  std::unique_ptr<AgentRelay> agent;
  Port port;
  std::uint64_t incarnation;
  bool running = true;
};

struct RelayModel::Target
{
  std::size_t service = 0;
  std::uint32_t ip = 0;
  std::uint32_t slots = 4;
  Millis work{ 10 };
  bool registered = true;
  bool draining = false;
  bool alive = true;
  bool frozen = false;
  double breaking = 0;
  std::uint64_t life = 1;
  std::uint32_t opened = 0;
  std::uint32_t busy = 0;
  std::deque<std::function<void()>> queue;
  std::map<FlowKey, std::uint32_t> halfOpen; // own first sequence number
  std::set<FlowKey> flows;
  std::unique_ptr<Node> node;
};

RelayModel::RelayModel(std::vector<std::size_t> aServices,
                       std::size_t aBalancers,
                       std::uint64_t aSeed)
  : codec_(std::make_unique<platform::HeaderCodec>())
  , random_(aSeed)
  , services_(aServices.size())
{
  for (std::size_t service = 0; service < aServices.size(); ++service) {
    for (std::size_t i = 0; i < aServices[service]; ++i) {
      AddTarget(service);
    }
  }
  for (std::size_t i = 0; i < aBalancers; ++i) {
    balancers_.push_back(
      MakeNode(kBalancerIps + static_cast<std::uint32_t>(i), std::nullopt));
  }
  Publish();
  Heartbeats();
  Ticks();
  Run(Millis{ 20 });
}

RelayModel::~RelayModel() = default;

auto RelayModel::AddTarget(std::size_t aService) -> void
{
  auto target = std::make_unique<Target>();
  target->service = aService;
  target->ip = kTargetIps + static_cast<std::uint32_t>(targets_.size());
  targets_.push_back(std::move(target));
  targets_.back()->node = MakeNode(targets_.back()->ip, targets_.size() - 1);
}

auto RelayModel::MakeNode(std::uint32_t aIp, std::optional<std::size_t> aTarget)
  -> std::unique_ptr<Node>
{
  auto node = std::make_unique<Node>(*this, aIp, aTarget);
  if (aTarget) {
    node->agent = std::make_unique<AgentRelay>(
      AgentRelayInit{ { aIp, kAgentPort },
                      ServiceIdOf(ServiceName(targets_[*aTarget]->service)) },
      node->state,
      node->load,
      reader_,
      clock_,
      sink_);
  } else {
    node->placement = MakePlacementExpectedWait(
      { "domain-0", random_() }, node->state, node->load, clock_);
    node->balancer = std::make_unique<BalancerRelay>(
      aIp, node->state, node->load, *node->placement, clock_, sink_);
  }
  return node;
}

auto RelayModel::After(Millis aDelay, std::function<void()> aRun) -> void
{
  due_.push({ clock_.Now() + aDelay, order_++, std::move(aRun) });
}

auto RelayModel::Run(Millis aFor) -> void
{
  const auto end = clock_.Now() + aFor;
  while (!due_.empty() && due_.top().at <= end) {
    const auto next = due_.top();
    due_.pop();
    if (next.at > clock_.Now()) {
      clock_.Advance(
        std::chrono::duration_cast<Millis>(next.at - clock_.Now()));
    }
    next.run();
  }
  if (end > clock_.Now()) {
    clock_.Advance(std::chrono::duration_cast<Millis>(end - clock_.Now()));
  }
}

auto RelayModel::IsLost() -> bool
{
  return std::bernoulli_distribution(loss_)(random_);
}

auto RelayModel::Open(std::size_t aService, std::size_t aBalancer)
  -> std::size_t
{
  ModelFlow flow;
  flow.key = { { kCallerIp, nextPort_++ }, AddressOf(aService) };
  byKey_[flow.key] = flows_.size();
  flows_.push_back(flow);
  FromCaller(
    aBalancer,
    MakePacket(
      kSyn, flow.key.caller, flow.key.address, flow.sequence - 1, 0, ""));
  return flows_.size() - 1;
}

auto RelayModel::Ask(std::size_t aFlow, std::size_t aBalancer) -> void
{
  auto& flow = flows_[aFlow];
  FromCaller(aBalancer,
             MakePacket(kAck,
                        flow.key.caller,
                        flow.key.address,
                        flow.sequence,
                        flow.acknowledged,
                        "ask"));
  flow.sequence += 3;
}

auto RelayModel::Copy(std::size_t aFlow,
                      std::size_t aBalancer,
                      std::uint32_t aNumber) -> void
{
  const auto& flow = flows_[aFlow];
  FromCaller(
    aBalancer,
    MakePacket(
      kSyn, flow.key.caller, flow.key.address, flow.sequence - 1, aNumber, ""));
}

auto RelayModel::Close(std::size_t aFlow, std::size_t aBalancer) -> void
{
  auto& flow = flows_[aFlow];
  FromCaller(aBalancer,
             MakePacket(kAck | kFin,
                        flow.key.caller,
                        flow.key.address,
                        flow.sequence++,
                        flow.acknowledged,
                        ""));
}

auto RelayModel::IsHeld(const ModelFlow& aFlow) const -> bool
{
  for (const auto& target : targets_) {
    if (target->ip == aFlow.target) {
      return target->alive && target->life == aFlow.life &&
             target->flows.contains(aFlow.key);
    }
  }
  return false;
}

auto RelayModel::FromCaller(std::size_t aBalancer, std::string aBytes) -> void
{
  After(kLink, [this, aBalancer, bytes = std::move(aBytes)]() mutable {
    auto& node = *balancers_[aBalancer];
    if (node.running && node.state.HasState()) {
      auto packet = codec_->Decode(bytes, PacketOrigin::Caller);
      node.balancer->OnCallerPacket(*packet, node.port);
    }
  });
}

auto RelayModel::AtAgent(std::uint32_t aIp, std::string aBytes) -> void
{
  for (auto& target : targets_) {
    auto& node = *target->node;
    if (target->ip != aIp || !node.running || !node.state.HasState()) {
      continue;
    }
    auto packet = codec_->Decode(aBytes, PacketOrigin::Caller);
    node.agent->OnCallerPacket(*packet, node.port);
    node.agent->Flush(node.port);
  }
}

auto RelayModel::AtBackend(std::size_t aTarget, std::string aBytes) -> void
{
  auto& target = *targets_[aTarget];
  const auto packet = codec_->Decode(aBytes, PacketOrigin::Caller);
  if (packet->flow.address != AddressOf(target.service)) {
    ++foreign_;
  }
  if (!target.alive) {
    After(Millis{ 0 }, [this, aTarget] {
      auto& refused = *targets_[aTarget]->node;
      if (refused.running && !targets_[aTarget]->alive) {
        refused.agent->OnBackendDown(refused.port);
      }
    });
    return;
  }
  if (target.frozen) {
    return;
  }
  const auto answer = [this, aTarget](std::string aOut) {
    After(Millis{ 0 }, [this, aTarget, bytes = std::move(aOut)]() mutable {
      auto& sender = *targets_[aTarget]->node;
      if (!sender.running) {
        return;
      }
      auto out = codec_->Decode(bytes, PacketOrigin::Backend);
      if (out->returned) {
        codec_->ClearReturned(bytes);
      }
      sender.agent->OnBackendPacket(*out, sender.port);
      sender.agent->Flush(sender.port);
    });
  };
  const auto& flow = packet->flow;
  if (packet->opens) {
    auto [found, isNew] =
      target.halfOpen.try_emplace(flow, static_cast<std::uint32_t>(random_()));
    answer(MakePacket(kSyn | kAck,
                      flow.address,
                      flow.caller,
                      found->second,
                      packet->sequence + 1,
                      ""));
    return;
  }
  const auto half = target.halfOpen.find(flow);
  if (half != target.halfOpen.end() &&
      packet->acknowledgement == half->second + 1) {
    target.flows.insert(flow);
    target.halfOpen.erase(half);
    ++target.opened;
    auto& seen = flows_[byKey_[flow]];
    seen.target = target.ip;
    seen.life = target.life;
  }
  if (!target.flows.contains(flow)) {
    aBytes[0] = static_cast<char>(aBytes[0] | kBack);
    answer(std::move(aBytes));
    return;
  }
  if (packet->payload.empty()) {
    return;
  }
  if (std::bernoulli_distribution(target.breaking)(random_)) {
    target.flows.erase(flow);
    ++brokenOff_;
    answer(MakePacket(kRst, flow.address, flow.caller, 0, 0, ""));
    return;
  }
  const auto bytes = MakePacket(kAck,
                                flow.address,
                                flow.caller,
                                packet->acknowledgement,
                                packet->sequence + 3,
                                "done");
  const auto life = target.life;
  auto run = [this, aTarget, bytes, answer, life] {
    After(targets_[aTarget]->work, [this, aTarget, bytes, answer, life] {
      auto& worker = *targets_[aTarget];
      if (worker.life != life || !worker.alive) {
        return;
      }
      --worker.busy;
      answer(bytes);
      if (!worker.queue.empty()) {
        auto next = std::move(worker.queue.front());
        worker.queue.pop_front();
        ++worker.busy;
        next();
      }
    });
  };
  if (target.busy < target.slots) {
    ++target.busy;
    run();
  } else if (target.queue.size() < queueLimit_) {
    target.queue.push_back(run);
  } else {
    ++brokenOff_;
    answer(MakePacket(kRst, flow.address, flow.caller, 0, 0, ""));
  }
}

auto RelayModel::AtCaller(std::string aBytes) -> void
{
  const auto packet = codec_->Decode(aBytes, PacketOrigin::Backend);
  const auto found = byKey_.find(packet->flow);
  if (found == byKey_.end()) {
    return;
  }
  auto& flow = flows_[found->second];
  if (packet->resets) {
    flow.reset = true;
    return;
  }
  if (packet->opens) {
    if (!flow.open) {
      flow.open = true;
      flow.acknowledged = packet->sequence + 1;
    }
    return;
  }
  ++flow.answers;
}

auto RelayModel::AtPeer(std::uint32_t aTo,
                        std::uint32_t aFrom,
                        std::string aBytes) -> void
{
  const auto take = [&](Node& aNode) {
    if (!aNode.running) {
      return;
    }
    boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(message, DecodePeerMessage(aBytes));
        if (const auto* beat = std::get_if<RelayHeartbeat>(&message.body)) {
          aNode.load.Hear(aFrom, *beat);
          if (aNode.agent && beat->role == RelayRole::Balancer) {
            aNode.agent->OnBalancer(aFrom);
          }
        } else if (const auto* place =
                     std::get_if<FlowLocation>(&message.body)) {
          aNode.balancer->OnFlowLocation(*place);
        } else {
          aNode.agent->OnRegistration(std::get<FlowRegistration>(message.body));
        }
        return {};
      },
      [] { FAIL() << "unreadable peer message"; });
  };
  for (auto& target : targets_) {
    if (target->ip == aTo) {
      take(*target->node);
    }
  }
  for (auto& balancer : balancers_) {
    if (balancer->port.ip == aTo) {
      take(*balancer);
    }
  }
}

auto RelayModel::SendBeat(Target& aTarget, bool aStopping) -> void
{
  auto& node = *aTarget.node;
  RelayHeartbeat beat;
  beat.role = RelayRole::Agent;
  beat.incarnation = node.incarnation;
  beat.digest = node.state.Digest();
  beat.stopping = aStopping;
  beat.load.push_back(aStopping ? node.agent->FinalReport()
                                : node.agent->Report());
  const PeerMessage message{ beat };
  for (auto& balancer : balancers_) {
    node.port.Tell(balancer->port.ip, message);
  }
  for (auto& peer : targets_) {
    if (peer.get() != &aTarget && peer->service == aTarget.service) {
      node.port.Tell(peer->ip, message);
    }
  }
}

auto RelayModel::Heartbeats() -> void
{
  for (auto& target : targets_) {
    if (target->node->running) {
      SendBeat(*target, false);
    }
  }
  for (auto& balancer : balancers_) {
    RelayHeartbeat beat;
    beat.role = RelayRole::Balancer;
    beat.incarnation = balancer->incarnation;
    for (auto& target : targets_) {
      balancer->port.Tell(target->ip, PeerMessage{ beat });
    }
  }
  After(kRelayHeartbeat, [this] { Heartbeats(); });
}

auto RelayModel::Ticks() -> void
{
  for (auto& target : targets_) {
    if (target->node->running) {
      target->node->agent->RunDue(target->node->port);
      target->node->agent->Tick(target->node->port);
      target->node->state.Tick();
    }
  }
  for (auto& balancer : balancers_) {
    balancer->balancer->Tick();
    balancer->state.Tick();
  }
  After(kTickEvery, [this] { Ticks(); });
}

auto RelayModel::RestartBalancer(std::size_t aBalancer) -> void
{
  const auto ip = balancers_[aBalancer]->port.ip;
  const auto state = balancers_[aBalancer]->state.Targets();
  balancers_[aBalancer] = MakeNode(ip, std::nullopt);
  balancers_[aBalancer]->state.OfferRoutes(Table());
  balancers_[aBalancer]->state.OfferTargets(state, Millis{ 0 });
}

auto RelayModel::RestartAgent(std::size_t aTarget) -> void
{
  auto& target = *targets_[aTarget];
  const auto state = target.node->state.Targets();
  target.node = MakeNode(target.ip, aTarget);
  target.node->state.OfferRoutes(Table());
  target.node->state.OfferTargets(state, Millis{ 0 });
}

auto RelayModel::StopAgent(std::size_t aTarget) -> void
{
  targets_[aTarget]->node->running = false;
}

auto RelayModel::LeaveAgent(std::size_t aTarget) -> void
{
  SendBeat(*targets_[aTarget], true);
  StopAgent(aTarget);
}

auto RelayModel::CrashBackend(std::size_t aTarget) -> void
{
  auto& target = *targets_[aTarget];
  target.alive = false;
  target.flows.clear();
  target.halfOpen.clear();
  target.queue.clear();
  target.busy = 0;
}

auto RelayModel::StartBackend(std::size_t aTarget) -> void
{
  auto& target = *targets_[aTarget];
  if (!target.alive) {
    target.alive = true;
    target.life = ++lives_;
  }
}

auto RelayModel::Reuse(std::size_t aTarget, std::size_t aService) -> void
{
  CrashBackend(aTarget);
  targets_[aTarget]->service = aService;
  StartBackend(aTarget);
}

auto RelayModel::FreezeBackend(std::size_t aTarget, bool aFrozen) -> void
{
  targets_[aTarget]->frozen = aFrozen;
}

auto RelayModel::SetDraining(std::size_t aTarget) -> void
{
  targets_[aTarget]->draining = true;
}

auto RelayModel::Register(std::size_t aTarget, bool aRegistered) -> void
{
  targets_[aTarget]->registered = aRegistered;
}

auto RelayModel::SetBreaking(std::size_t aTarget, double aShare) -> void
{
  targets_[aTarget]->breaking = aShare;
}

auto RelayModel::SetWork(std::size_t aTarget, Millis aWork) -> void
{
  targets_[aTarget]->work = aWork;
}

auto RelayModel::SetSlots(std::size_t aTarget, std::uint32_t aSlots) -> void
{
  targets_[aTarget]->slots = aSlots;
}

auto RelayModel::Set() const -> TargetSet
{
  TargetSet set;
  set.revision = revision_;
  for (const auto& target : targets_) {
    if (!target->registered) {
      continue;
    }
    RelayTarget entry;
    entry.id =
      "t" + std::to_string(target->ip) + "-" + std::to_string(target->life);
    entry.service = ServiceIdOf(ServiceName(target->service));
    entry.agent = { target->ip, kAgentPort };
    entry.failureDomain = "domain-" + std::to_string(target->ip % 3);
    entry.slots = target->slots;
    entry.state = target->draining ? TargetState::Draining : TargetState::Ready;
    entry.bornMillis = static_cast<std::int64_t>(target->life);
    set.targets.push_back(entry);
  }
  return set;
}

auto RelayModel::Table() const -> RouteTable
{
  RouteTable table;
  table.version = static_cast<DocumentVersion>(idleTimeout_.count());
  table.idleTimeout = idleTimeout_;
  for (std::size_t service = 0; service < services_; ++service) {
    RelayRoute route;
    route.name = "route-" + std::to_string(service);
    route.address = AddressOf(service);
    route.services.push_back({ ServiceIdOf(ServiceName(service)), 1 });
    table.routes.push_back(route);
  }
  return table;
}

auto RelayModel::Publish() -> void
{
  PublishTo([](std::uint32_t) { return true; });
}

auto RelayModel::PublishTo(std::function<bool(std::uint32_t)> aWho) -> void
{
  ++revision_;
  const auto set = Set();
  const auto offer = [&](Node& aNode) {
    if (!aWho(aNode.port.ip)) {
      return;
    }
    const bool routes = aNode.state.OfferRoutes(Table());
    const bool targets = aNode.state.OfferTargets(set, Millis{ 0 });
    if ((routes || targets) && aNode.agent) {
      aNode.agent->OnStateChanged();
    }
  };
  for (auto& target : targets_) {
    offer(*target->node);
  }
  for (auto& balancer : balancers_) {
    offer(*balancer);
  }
}

auto RelayModel::TargetIp(std::size_t aTarget) const -> std::uint32_t
{
  return targets_[aTarget]->ip;
}

auto RelayModel::Agent(std::size_t aTarget) -> AgentRelay&
{
  return *targets_[aTarget]->node->agent;
}

auto RelayModel::Balancer(std::size_t aBalancer) -> BalancerRelay&
{
  return *balancers_[aBalancer]->balancer;
}

auto RelayModel::Opened(std::size_t aTarget) const -> std::uint32_t
{
  return targets_[aTarget]->opened;
}

} // namespace damaskwalk
