#include "agent/board.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace damaskwalk {

namespace {

// Older load reports are ignored.
constexpr Millis kMaxLoadReportAge{ 2000 };

} // namespace

AgentBoard::AgentBoard(Node& aNode, const AgentSettings& aSettings)
  : node(aNode)
  , settings(aSettings)
  , admission({ aSettings.maxQueue, aSettings.maxQueue / 8 + 1 },
              aNode.Board().clock.Now())
  , keys({ aNode.Self(), aSettings.clockSkew, kMaxKeyRecords },
         aNode.Board().clock)
  , placement(MakePlacement(*ParsePlacementKind(aSettings.placement),
                            HashOf(aNode.Self())))
{
}

auto AgentBoard::OwnService(const Document& aDocument) const -> const Service*
{
  return aDocument.FindByAgent(node.Self());
}

auto AgentBoard::OwnBackend(const Document& aDocument) const
  -> const BackendServer*
{
  const auto* service = OwnService(aDocument);
  return service ? service->FindBackend(node.Self()) : nullptr;
}

auto AgentBoard::AcceptsNewWork() const -> bool
{
  const auto document = node.Board().documents.Current();
  const auto* own = OwnBackend(*document);
  return own && own->state == BackendState::Active && !node.IsStopping() &&
         !node.IsListedLeaving() && !backend.draining && backend.reachable &&
         node.IsCurrent();
}

auto AgentBoard::Candidates(const Service& aService) -> std::vector<Candidate>
{
  const auto now = Now();
  const bool acceptsNewWork = AcceptsNewWork();
  const auto& members = node.Board().members;
  std::vector<Candidate> candidates;
  std::size_t healthyCount = 0;
  std::vector<bool> unhealthy;
  const std::scoped_lock lock(peers.mutex);
  for (const auto& backend : aService.backends) {
    Candidate candidate;
    candidate.agent = backend.agent;
    candidate.failureDomain = backend.failureDomain;
    candidate.connections = backend.connections;
    bool healthy = true;
    if (backend.agent == node.Self()) {
      candidate.usable = acceptsNewWork;
      candidate.limit = admission.slots.Limit();
      candidate.busy = admission.slots.Busy();
      candidate.utilisation = admission.slots.Utilisation(now);
      candidate.serviceSeconds = admission.slots.ServiceSeconds();
      candidate.flows = static_cast<std::uint32_t>(flows.Count());
      healthy = admission.slots.IsHealthy(now);
    } else {
      const auto found = peers.peers.find(backend.agent);
      const bool known = found != peers.peers.end() &&
                         now - found->second.reportedAt < kMaxLoadReportAge;
      candidate.usable = known && members.IsUsable(backend.agent) &&
                         backend.state == BackendState::Active &&
                         !found->second.leaving;
      if (known) {
        const auto& peer = found->second;
        candidate.limit = std::max(peer.load.limit, 1U);
        // Requests that ran at the time of the report have been finishing
        // since: exponential decay by the mean service time.
        const auto age =
          std::chrono::duration<double>(now - peer.reportedAt).count();
        const auto service = std::max(peer.load.serviceMicros, 100U) / 1e6;
        const auto busyNow = peer.load.busy * std::exp(-age / service);
        candidate.busy =
          std::max(static_cast<std::uint32_t>(std::lround(busyNow)),
                   peer.requestsInFlight);
        candidate.utilisation =
          peer.load.utilisation / 1e6 + peer.addedUtilisation;
        candidate.serviceSeconds = std::max(peer.load.serviceMicros, 1U) / 1e6;
        candidate.flows = peer.load.flows + peer.placedFlows;
        healthy = peer.load.healthy != 0;
      }
    }
    healthyCount += healthy && candidate.usable ? 1 : 0;
    unhealthy.push_back(!healthy);
    candidates.push_back(std::move(candidate));
  }
  // Unhealthy servers are excluded only while more than half of the service's
  // servers are usable and healthy.
  if (healthyCount * 2 > candidates.size()) {
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      candidates[i].usable = candidates[i].usable && !unhealthy[i];
    }
  }
  return candidates;
}

auto AgentBoard::DirectoryAgents(const Service& aService,
                                 const FlowKey& aFlow) const
  -> std::vector<Endpoint>
{
  const auto& members = node.Board().members;
  std::vector<Endpoint> targets;
  for (const auto& backend : aService.backends) {
    const auto state = members.StateOf(backend.agent);
    const bool isRunning =
      state != MemberState::Dead && state != MemberState::Paused;
    if (isRunning) {
      targets.push_back(backend.agent);
    }
  }
  auto order = RendezvousOrder(HashOf(aFlow), std::move(targets));
  if (order.size() <= 2) {
    return order;
  }
  const auto domainOf = [&aService](const Endpoint& aAgent) {
    return aService.FindBackend(aAgent)->failureDomain;
  };
  const auto first = domainOf(order.front());
  const auto other =
    std::find_if(order.begin() + 1, order.end(), [&](const auto& aAgent) {
      return domainOf(aAgent) != first;
    });
  const auto second = other == order.end() ? order[1] : *other;
  return { order.front(), second };
}

auto AgentBoard::RecordSpan(const TraceContext& aParent,
                            std::string_view aName,
                            std::string_view aNote,
                            std::chrono::microseconds aDuration) -> TraceContext
{
  return node.Traces().Record({ std::string(aName),
                                aParent,
                                node.Board().clock.Wall() - aDuration,
                                aDuration,
                                std::string(aNote) });
}

} // namespace damaskwalk
