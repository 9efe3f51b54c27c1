#include "relay/flow_queries.h"

#include "relay/limits.h"

#include <algorithm>
#include <map>
#include <unordered_set>

namespace damaskwalk {

namespace {

// True if no agent runs at the target's address: an entry of another program.
auto HasNoAgent(const KnownTarget& aKnown, const PeerTable& aPeers) -> bool
{
  const auto ip = aKnown.target.agent.ip;
  return aPeers.RunsNoAgent(ip, aKnown.since) || aPeers.IsVacant(ip);
}

// True if a flow cannot be called lost without the target's answer.
// @param aRounds times that the missing agents were asked.
auto MustAnswer(const KnownTarget& aKnown,
                const PeerTable& aPeers,
                std::uint32_t aRounds) -> bool
{
  const auto ip = aKnown.target.agent.ip;
  if (HasNoAgent(aKnown, aPeers)) {
    return false;
  }
  if (aKnown.standing == TargetStanding::Gone) {
    return aRounds <= kMaxRoundsForGone && !aPeers.IsFar(ip) &&
           !aPeers.IsSilent(ip);
  }
  return !aPeers.HasStoppedWithoutFlows(ip, aKnown.since);
}

} // namespace

FlowQueries::FlowQueries(const Endpoint& aSelf,
                         std::string aDomain,
                         const FleetState& aState,
                         const PeerTable& aPeers,
                         const Clock& aClock)
  : self_(aSelf)
  , domain_(std::move(aDomain))
  , state_(aState)
  , peers_(aPeers)
  , clock_(aClock)
  , random_(HashOf(aSelf))
{
}

auto FlowQueries::Covers(const RelayRoute& aRoute) const -> bool
{
  if (!state_.History().IsComplete()) {
    return true;
  }
  std::size_t agents = 0;
  for (const auto service : state_.ServicesHolding(aRoute)) {
    agents += state_.TargetsOfService(service).size();
  }
  return agents > kMaxWalkedAgents;
}

auto FlowQueries::OwnDomain() const -> std::string
{
  if (!domain_.empty()) {
    return domain_;
  }
  const auto* own = state_.FindAgent(self_);
  return own ? own->target.failureDomain : std::string();
}

auto FlowQueries::MakeQuery(const Packet& aPacket, std::uint32_t aAsker) const
  -> Query
{
  Query query;
  query.packet = std::make_unique<OwnedPacket>(aPacket);
  query.asker = aAsker;
  query.began = clock_.Now();
  return query;
}

auto FlowQueries::Missing(const Query& aQuery, const RelayRoute& aRoute) const
  -> std::vector<const KnownTarget*>
{
  std::vector<const KnownTarget*> missing;
  std::unordered_set<std::uint32_t> listed;
  for (const auto service : state_.ServicesToSearch(aRoute)) {
    for (const auto index : state_.TargetsOfService(service)) {
      const auto& known = state_.KnownTargets()[index];
      const auto ip = known.target.agent.ip;
      if (!aQuery.certain.contains(ip) &&
          MustAnswer(known, peers_, aQuery.rounds) &&
          listed.insert(ip).second) {
        missing.push_back(&known);
      }
    }
  }
  return missing;
}

auto FlowQueries::IsMissing(const Endpoint& aAgent,
                            const Query& aQuery,
                            const RelayRoute& aRoute) const -> bool
{
  return !aQuery.certain.contains(aAgent.ip) &&
         std::ranges::any_of(state_.TargetsAt(aAgent), [&](auto aIndex) {
           const auto& known = state_.KnownTargets()[aIndex];
           return MustAnswer(known, peers_, aQuery.rounds) &&
                  state_.MayHold(aRoute, known.target.service);
         });
}

auto FlowQueries::IsAnyMissing(Query& aQuery, const RelayRoute& aRoute) const
  -> bool
{
  if (IsMissing(aQuery.waitsFor, aQuery, aRoute)) {
    return true;
  }
  const auto missing = Missing(aQuery, aRoute);
  if (missing.empty()) {
    return false;
  }
  // Agents mostly answer in the order in which they were asked.
  aQuery.waitsFor = missing.back()->target.agent;
  return true;
}

auto FlowQueries::Begin(const Packet& aPacket,
                        const RelayRoute& aRoute,
                        RelayPort& aPort) -> void
{
  if (own_.contains(aPacket.flow) || own_.size() >= kMaxFlowQueries) {
    return;
  }
  auto query = MakeQuery(aPacket, 0);
  query.certain.insert(self_.ip);
  const auto entry = own_.emplace(aPacket.flow, std::move(query)).first;
  Ask(entry->second, aRoute, aPort);
  Conclude(entry);
}

auto FlowQueries::BeginDomain(std::uint32_t aAsker,
                              const Packet& aPacket,
                              const RelayRoute& aRoute,
                              RelayPort& aPort) -> void
{
  if (onBehalf_.contains(aPacket.flow) || onBehalf_.size() >= kMaxFlowQueries) {
    return;
  }
  const auto entry =
    onBehalf_.emplace(aPacket.flow, MakeQuery(aPacket, aAsker)).first;
  const auto domain = OwnDomain();
  InsertAbsent(entry->second, aRoute, domain);
  for (const auto* known : Missing(entry->second, aRoute)) {
    const auto ip = known->target.agent.ip;
    if (known->target.failureDomain == domain && ip != self_.ip) {
      AskAgent(ip, false, entry->second, aPort);
    }
  }
}

auto FlowQueries::InsertAbsent(Query& aQuery,
                               const RelayRoute& aRoute,
                               const std::string& aDomain) const -> void
{
  for (const auto service : state_.ServicesToSearch(aRoute)) {
    for (const auto index : state_.TargetsOfService(service)) {
      const auto& known = state_.KnownTargets()[index];
      if (known.target.failureDomain == aDomain && HasNoAgent(known, peers_)) {
        aQuery.certain.insert(known.target.agent.ip);
      }
    }
  }
}

auto FlowQueries::AskAgent(std::uint32_t aIp,
                           bool aWholeDomain,
                           const Query& aQuery,
                           RelayPort& aPort) const -> void
{
  const auto bytes = aQuery.packet->Get().bytes;
  aPort.SendToPeer(
    aIp,
    PeerMessage{ FlowQuery{ aWholeDomain, { bytes.data(), bytes.size() } } });
}

auto FlowQueries::Ask(Query& aQuery, const RelayRoute& aRoute, RelayPort& aPort)
  -> void
{
  const auto delay = kFlowQueryRound * (std::int64_t{ 1 } << aQuery.rounds);
  aQuery.nextRound = clock_.Now() + std::min(delay, kMaxFlowQueryRound);
  std::map<std::string, std::vector<std::uint32_t>> byDomain;
  for (const auto* known : Missing(aQuery, aRoute)) {
    const auto ip = known->target.agent.ip;
    if (!peers_.IsSilent(ip)) {
      byDomain[known->target.failureDomain].push_back(ip);
    }
  }
  const auto own = OwnDomain();
  for (const auto& [domain, agents] : byDomain) {
    if (domain == own || agents.size() < kMinAgentsForDomainQuery) {
      for (const auto ip : agents) {
        AskAgent(ip, false, aQuery, aPort);
      }
    } else {
      AskAgent(agents[random_() % agents.size()], true, aQuery, aPort);
    }
  }
}

auto FlowQueries::Conclude(Table::iterator aQuery) -> bool
{
  const auto* route = state_.FindRoute(aQuery->first.address);
  if (route && IsAnyMissing(aQuery->second, *route)) {
    return false;
  }
  if (route) {
    auto& query = aQuery->second;
    const auto took =
      std::chrono::duration_cast<Millis>(clock_.Now() - query.began);
    lost_.push_back({ std::move(query.packet), took, query.rounds });
  }
  own_.erase(aQuery);
  return true;
}

auto FlowQueries::AnswerForDomain(const FlowKey& aFlow,
                                  const Query& aQuery,
                                  const Endpoint& aHolder,
                                  RelayPort& aPort) const -> void
{
  FlowAnswer answer;
  answer.flow = aFlow;
  answer.holder = aHolder;
  for (const auto agent : aQuery.certain) {
    answer.certain.push_back(agent);
    if (answer.certain.size() == kMaxAgentsPerAnswer) {
      aPort.SendToPeer(aQuery.asker, PeerMessage{ answer });
      answer.certain.clear();
    }
  }
  aPort.SendToPeer(aQuery.asker, PeerMessage{ std::move(answer) });
}

auto FlowQueries::OnAnswer(const FlowAnswer& aAnswer, RelayPort& aPort) -> void
{
  const auto own = own_.find(aAnswer.flow);
  if (own != own_.end()) {
    if (aAnswer.holder.IsValid()) {
      own_.erase(own);
    } else {
      own->second.certain.insert(aAnswer.certain.begin(),
                                 aAnswer.certain.end());
      Conclude(own);
    }
  }
  const auto asked = onBehalf_.find(aAnswer.flow);
  if (asked == onBehalf_.end()) {
    return;
  }
  auto& query = asked->second;
  query.certain.insert(aAnswer.certain.begin(), aAnswer.certain.end());
  const auto* route = state_.FindRoute(aAnswer.flow.address);
  const auto domain = OwnDomain();
  const bool complete =
    route &&
    std::ranges::none_of(Missing(query, *route), [&](const auto* aKnown) {
      return aKnown->target.failureDomain == domain;
    });
  if (aAnswer.holder.IsValid() || complete) {
    AnswerForDomain(aAnswer.flow, query, aAnswer.holder, aPort);
    onBehalf_.erase(asked);
  }
}

auto FlowQueries::OnAgentStarted(std::uint32_t aIp, RelayPort& aPort) -> void
{
  if (own_.empty()) {
    return;
  }
  const auto& targets = state_.KnownTargets();
  const auto known = std::ranges::find_if(targets, [aIp](const auto& aKnown) {
    return aKnown.target.agent.ip == aIp;
  });
  if (known == targets.end()) {
    return;
  }
  for (const auto& [flow, query] : own_) {
    const auto* route = state_.FindRoute(flow.address);
    if (route && IsMissing(known->target.agent, query, *route)) {
      AskAgent(aIp, false, query, aPort);
    }
  }
}

auto FlowQueries::TakeLost() -> std::vector<Lost>
{
  return std::exchange(lost_, {});
}

auto FlowQueries::TakeUndecided() -> std::vector<Undecided>
{
  return std::exchange(undecided_, {});
}

auto FlowQueries::GiveUp(const FlowKey& aFlow, const Query& aQuery) -> void
{
  const auto* route = state_.FindRoute(aFlow.address);
  if (!route) {
    return;
  }
  Undecided undecided{ aFlow, {} };
  for (const auto* known : Missing(aQuery, *route)) {
    undecided.missing.push_back(known->target.agent);
  }
  undecided_.push_back(std::move(undecided));
}

auto FlowQueries::Tick(RelayPort& aPort) -> void
{
  const auto now = clock_.Now();
  for (auto entry = onBehalf_.begin(); entry != onBehalf_.end();) {
    if (now - entry->second.began < kDomainAnswerTimeout) {
      ++entry;
      continue;
    }
    AnswerForDomain(entry->first, entry->second, {}, aPort);
    entry = onBehalf_.erase(entry);
  }
  for (auto entry = own_.begin(); entry != own_.end();) {
    auto& query = entry->second;
    const auto next = std::next(entry);
    const auto* route = state_.FindRoute(entry->first.address);
    const bool expired = now - query.began >= kFlowQueryLifetime;
    const bool due = expired || now >= query.nextRound;
    query.rounds += due ? 1 : 0;
    if (!route) {
      own_.erase(entry);
    } else if (!Conclude(entry) && due) {
      if (expired) {
        GiveUp(entry->first, query);
        own_.erase(entry);
      } else {
        Ask(query, *route, aPort);
      }
    }
    entry = next;
  }
}

} // namespace damaskwalk
