// Starts, stops, registrations and faults that tests apply to the model.

#include "relay_model_parts.h"

namespace damaskwalk {

auto RelayModel::RestartBalancer(std::size_t aBalancer) -> void
{
  const auto ip = balancers_[aBalancer]->port.ip;
  const auto state = balancers_[aBalancer]->state.Targets();
  balancers_[aBalancer] = MakeNode(ip, std::nullopt);
  balancers_[aBalancer]->state.UpdateRoutes(CurrentRoutes());
  TakeHistory(*balancers_[aBalancer]);
  balancers_[aBalancer]->state.UpdateTargets(state, Millis{ 0 });
}

auto RelayModel::RestartAgent(std::size_t aTarget) -> void
{
  auto& target = *targets_[aTarget];
  const auto state = target.node->state.Targets();
  target.node = MakeNode(target.ip, aTarget);
  target.node->state.UpdateRoutes(CurrentRoutes());
  TakeHistory(*target.node);
  target.node->state.UpdateTargets(state, Millis{ 0 });
}

auto RelayModel::RestartAll() -> void
{
  const auto restart = [&](std::unique_ptr<Node>& aNode,
                           std::optional<std::size_t> aTarget) {
    const auto targets = aNode->state.Targets();
    aNode = MakeNode(aNode->port.ip, aTarget);
    aNode->state.UpdateRoutes(CurrentRoutes());
    aNode->state.UpdateTargets(targets, Millis{ 0 });
  };
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    restart(targets_[i]->node, i);
  }
  for (auto& balancer : balancers_) {
    restart(balancer, std::nullopt);
  }
}

auto RelayModel::RestartAgentWithoutState(std::size_t aTarget) -> void
{
  auto& target = *targets_[aTarget];
  target.node = MakeNode(target.ip, aTarget);
}

auto RelayModel::GiveHistory(std::size_t aTarget) -> void
{
  TakeHistory(*targets_[aTarget]->node);
}

auto RelayModel::Announce(std::size_t aTarget) -> void
{
  SendHeartbeat(*targets_[aTarget], false, true);
}

auto RelayModel::StopAgent(std::size_t aTarget) -> void
{
  targets_[aTarget]->node->running = false;
}

auto RelayModel::StopAgentGracefully(std::size_t aTarget) -> void
{
  auto& node = *targets_[aTarget]->node;
  node.agent->OnStop(node.port);
  SendHeartbeat(*targets_[aTarget], true, true);
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
    target.incarnation = ++lastIncarnation_;
  }
}

auto RelayModel::ReuseAddress(std::size_t aTarget, std::size_t aService) -> void
{
  CrashBackend(aTarget);
  targets_[aTarget]->service = aService;
  StartBackend(aTarget);
  RestartAgent(aTarget);
}

auto RelayModel::FreezeBackend(std::size_t aTarget, bool aFrozen) -> void
{
  targets_[aTarget]->frozen = aFrozen;
}

auto RelayModel::SetDraining(std::size_t aTarget) -> void
{
  targets_[aTarget]->draining = true;
}

auto RelayModel::AddEntry(RelayTarget aEntry) -> void
{
  foreignEntries_.push_back(std::move(aEntry));
}

auto RelayModel::Register(std::size_t aTarget, bool aRegistered) -> void
{
  targets_[aTarget]->registered = aRegistered;
}

auto RelayModel::SetResetShare(std::size_t aTarget, double aShare) -> void
{
  targets_[aTarget]->resetShare = aShare;
}

auto RelayModel::SetServiceTime(std::size_t aTarget, Millis aServiceTime)
  -> void
{
  targets_[aTarget]->serviceTime = aServiceTime;
}

auto RelayModel::SetAcceptDelay(std::size_t aTarget, Millis aDelay) -> void
{
  targets_[aTarget]->acceptDelay = aDelay;
}

auto RelayModel::SetSlots(std::size_t aTarget, std::uint32_t aSlots) -> void
{
  targets_[aTarget]->slots = aSlots;
}

auto RelayModel::CurrentTargets() const -> TargetSet
{
  TargetSet set;
  set.revision = revision_;
  for (const auto& target : targets_) {
    if (!target->registered) {
      continue;
    }
    RelayTarget entry;
    entry.id = "t" + std::to_string(target->ip) + "-" +
               std::to_string(target->incarnation);
    entry.service = ServiceIdOf(ServiceName(target->service));
    entry.agent = { target->ip, kModelAgentPort };
    entry.failureDomain = "domain-" + std::to_string(target->ip % 3);
    entry.slots = target->slots;
    entry.state = target->draining ? TargetState::Draining : TargetState::Ready;
    entry.startedAtMillis = static_cast<std::int64_t>(target->incarnation);
    entry.backendPort = kModelBackendPort;
    set.targets.push_back(entry);
  }
  set.targets.insert(
    set.targets.end(), foreignEntries_.begin(), foreignEntries_.end());
  return set;
}

auto RelayModel::CurrentRoutes() const -> RouteTable
{
  RouteTable table;
  table.version =
    static_cast<DocumentVersion>((idleTimeout_ + routeTimeout_).count()) +
    routeChanges_;
  table.idleTimeout = idleTimeout_;
  for (std::size_t service = 0; service < services_; ++service) {
    RelayRoute route;
    route.name = "route-" + std::to_string(service);
    route.address = AddressOf(service);
    route.timeout = routeTimeout_;
    route.latencyObjective = kDefaultLatencyObjective;
    for (const auto named : routes_.at(service)) {
      route.services.push_back({ ServiceIdOf(ServiceName(named)), 1 });
    }
    table.routes.push_back(route);
  }
  return table;
}

auto RelayModel::Evacuate(std::vector<std::string> aDomains) -> void
{
  ++revision_;
  for (auto& target : targets_) {
    target->node->state.UpdateEvacuations({ revision_, aDomains });
    target->node->agent->OnStateChanged(target->node->port);
  }
  for (auto& balancer : balancers_) {
    balancer->state.UpdateEvacuations({ revision_, aDomains });
  }
}

auto RelayModel::SetRoute(std::size_t aService,
                          std::vector<std::size_t> aServices) -> void
{
  ++routeChanges_;
  everNamed_[aService].insert(aServices.begin(), aServices.end());
  routes_[aService] = std::move(aServices);
}

auto RelayModel::TakeHistory(Node& aNode) const -> void
{
  for (const auto& target : targets_) {
    if (target->node.get() != &aNode && target->node->running) {
      const auto& state = target->node->state;
      aNode.state.History().Merge(
        state.History().Report(), state.Routes().version, Millis{ 0 });
    }
  }
}

auto RelayModel::Publish() -> void
{
  PublishTo([](std::uint32_t) { return true; });
}

auto RelayModel::PublishTo(std::function<bool(std::uint32_t)> aSelects) -> void
{
  ++revision_;
  const auto set = CurrentTargets();
  const auto offer = [&](Node& aNode) {
    if (!aSelects(aNode.port.ip)) {
      return;
    }
    const bool routes = aNode.state.UpdateRoutes(CurrentRoutes());
    const bool targets = aNode.state.UpdateTargets(set, Millis{ 0 });
    if ((routes || targets) && aNode.agent) {
      aNode.agent->OnStateChanged(aNode.port);
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

auto RelayModel::BalancerIp(std::size_t aBalancer) const -> std::uint32_t
{
  return balancers_[aBalancer]->port.ip;
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
