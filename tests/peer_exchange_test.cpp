// Who hears whom in fleets beyond a full mesh: the real exchange of many
// processes on a manual clock, over links with delay, loss and cuts.

#include "relay/limits.h"
#include "relay/peer_exchange.h"
#include "test_support.h"

#include <algorithm>
#include <deque>
#include <memory>

namespace damaskwalk {

namespace {

constexpr std::uint32_t kAgentIps = 0x0A010000;
constexpr std::uint32_t kBalancerIps = 0x0A020000;
constexpr std::uint32_t kVacantIps = 0x0A030000;
constexpr std::uint16_t kAgentPort = 8172;
constexpr Millis kStep{ 25 };

struct Traffic
{
  std::uint64_t near = 0;
  std::uint64_t far = 0;
  std::uint64_t farStates = 0; // pulls from another domain
};

// A fleet with as many balancers as a third of its agents, in five domains.
class ExchangeFleet
{
public:
  // @param aVacant registrations of addresses that nobody has.
  ExchangeFleet(std::size_t aAgents,
                double aLoss,
                std::uint64_t aSeed = 1,
                std::size_t aVacant = 0)
    : random_(aSeed)
    , loss_(aLoss)
  {
    for (std::size_t i = 0; i < aAgents + aAgents / 3; ++i) {
      const bool isAgent = i < aAgents;
      const auto number = isAgent ? i : i - aAgents;
      nodes_.push_back(
        std::make_unique<Node>(*this,
                               static_cast<std::uint32_t>(
                                 (isAgent ? kAgentIps : kBalancerIps) + number),
                               isAgent ? RelayRole::Agent : RelayRole::Balancer,
                               number % 5));
      byIp_[nodes_.back()->ip] = i;
    }
    for (std::size_t i = 0; i < aAgents; ++i) {
      RelayTarget target;
      target.id = "t" + std::to_string(i);
      target.service = ServiceIdOf("s");
      target.agent = { nodes_[i]->ip, kAgentPort };
      target.failureDomain = DomainName(i % 5);
      set_.targets.push_back(target);
    }
    for (std::size_t i = 0; i < aVacant; ++i) {
      RelayTarget target;
      target.id = "v" + std::to_string(i);
      target.service = ServiceIdOf("s");
      target.agent = { static_cast<std::uint32_t>(kVacantIps + i), kAgentPort };
      target.failureDomain = DomainName(i % 5);
      set_.targets.push_back(target);
    }
    agents_ = aAgents;
    Publish();
  }

  // All processes learn the targets at once.
  auto Publish() -> void
  {
    ++set_.revision.number;
    for (auto& node : nodes_) {
      node->state.UpdateRoutes({ 1, Millis{ 0 }, {}, {} });
      node->state.UpdateTargets(set_, Millis{ 0 });
      node->exchange->OnStateChanged();
    }
  }

  // Only this process reads newer targets and announces them.
  auto PublishAt(std::size_t aNode) -> void
  {
    ++set_.revision.number;
    set_.targets.front().slots += 1;
    auto& node = *nodes_[aNode];
    node.state.UpdateTargets(set_, Millis{ 0 });
    node.exchange->OnStateChanged();
    node.exchange->Announce(node);
  }

  auto Run(Millis aTime) -> void
  {
    for (Millis done{ 0 }; done < aTime; done += kStep) {
      clock_.Advance(kStep);
      for (auto& message : std::exchange(network_, {})) {
        auto& receiver = *nodes_[byIp_.at(message.to)];
        if (receiver.running) {
          receiver.Receive(message.from, message.bytes);
        }
      }
      for (auto& node : nodes_) {
        if (node->running) {
          node->exchange->Tick(*node);
        }
      }
    }
  }

  auto SetRunning(std::size_t aNode, bool aRunning) -> void
  {
    nodes_[aNode]->running = aRunning;
  }
  // Nothing that the process sends arrives; it hears all others.
  auto CutSender(std::size_t aNode) -> void { nodes_[aNode]->muted = true; }

  // Processes, other than itself, that take the agent for silent.
  auto SilentAt(std::size_t aAgent) const -> std::size_t
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(nodes_, [&](const auto& aNode) {
        return aNode->running && aNode->ip != nodes_[aAgent]->ip &&
               aNode->peers.IsSilent(nodes_[aAgent]->ip);
      }));
  }
  auto WithNewestTargets() const -> std::size_t
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(nodes_, [&](const auto& aNode) {
        return aNode->state.Targets().revision == set_.revision;
      }));
  }
  auto FalselySilent() const -> std::size_t
  {
    std::size_t count = 0;
    for (std::size_t i = 0; i < agents_; ++i) {
      count += nodes_[i]->running && !nodes_[i]->muted ? SilentAt(i) : 0;
    }
    return count;
  }
  auto InFullMesh() const -> std::size_t
  {
    return static_cast<std::size_t>(
      std::ranges::count_if(nodes_, [](const auto& aNode) {
        return aNode->exchange->Plan().IsFullMesh();
      }));
  }
  auto Size() const -> std::size_t { return nodes_.size(); }
  auto Agents() const -> std::size_t { return agents_; }
  auto Sent() const -> const Traffic& { return sent_; }
  auto ResetTraffic() -> void { sent_ = {}; }
  auto KnownBalancers(std::size_t aAgent) const -> std::size_t
  {
    return nodes_[aAgent]->balancers.size();
  }

private:
  struct Node final
    : public RelayPort
    , public PeerExchangeHost
  {
    Node(ExchangeFleet& aFleet,
         std::uint32_t aIp,
         RelayRole aRole,
         std::size_t aDomain)
      : fleet(aFleet)
      , ip(aIp)
      , role(aRole)
      , domain(aDomain)
      , state(aFleet.clock_)
      , peers(aFleet.clock_)
      , exchange(
          std::make_unique<PeerExchange>(HeartbeatPlanInit{ aIp,
                                                            aRole,
                                                            DomainName(aDomain),
                                                            ServiceIdOf("s"),
                                                            aIp },
                                         state,
                                         peers,
                                         aFleet.clock_,
                                         *this))
    {
    }

    auto Receive(std::uint32_t aFrom, const std::string& aBytes) -> void
    {
      boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(message, DecodePeerMessage(aBytes));
          if (auto* heartbeat = std::get_if<RelayHeartbeat>(&message.body)) {
            exchange->OnHeartbeat(aFrom, *heartbeat, *this);
          } else if (auto* report = std::get_if<DomainReport>(&message.body)) {
            exchange->OnDomainReport(aFrom, *report, *this);
          }
          return {};
        },
        [] { FAIL() << "undecodable message"; });
    }

    auto MakeHeartbeat() -> RelayHeartbeat override
    {
      RelayHeartbeat heartbeat;
      heartbeat.role = role;
      heartbeat.incarnation = 7;
      heartbeat.digest = state.Digest();
      if (role == RelayRole::Agent) {
        heartbeat.load.push_back({});
      }
      return heartbeat;
    }
    auto PullState(std::uint32_t aIp) -> void override
    {
      auto& from = *fleet.nodes_[fleet.byIp_.at(aIp)];
      fleet.Count(*this, from, 70 * fleet.agents_);
      fleet.sent_.farStates += domain == from.domain ? 0 : 1;
      if (state.UpdateTargets(from.state.Targets(), Millis{ 0 })) {
        exchange->OnStateChanged();
        exchange->OnStatePulled(aIp, *this);
      }
    }
    auto OnBalancer(std::uint32_t aIp) -> void override
    {
      balancers.insert(aIp);
    }
    auto OnAgentStarted(std::uint32_t) -> void override {}

    auto SendToPeer(std::uint32_t aIp, const PeerMessage& aMessage)
      -> void override
    {
      auto bytes = EncodePeerMessage(aMessage);
      if (!fleet.byIp_.contains(aIp)) {
        return;
      }
      auto& to = *fleet.nodes_[fleet.byIp_.at(aIp)];
      fleet.Count(*this, to, bytes.size());
      const auto draw =
        std::uniform_real_distribution<double>(0, 1)(fleet.random_);
      if (!muted && draw >= fleet.loss_) {
        fleet.network_.push_back({ ip, aIp, std::move(bytes) });
      }
    }
    auto SendToAgent(const Endpoint&, const Packet&) -> void override {}
    auto SendToBackend(const Packet&) -> void override {}
    auto SendToCaller(const Packet&) -> void override {}
    auto ResetCaller(const FlowKey&, std::uint32_t) -> void override {}

    ExchangeFleet& fleet;
    std::uint32_t ip;
    RelayRole role;
    std::size_t domain;
    FleetState state;
    PeerTable peers;
    std::unique_ptr<PeerExchange> exchange;
    std::set<std::uint32_t> balancers;
    bool running = true;
    bool muted = false;
  };
  struct InFlight
  {
    std::uint32_t from;
    std::uint32_t to;
    std::string bytes;
  };

  static auto DomainName(std::size_t aDomain) -> std::string
  {
    return "domain-" + std::to_string(aDomain);
  }
  auto Count(const Node& aFrom, const Node& aTo, std::size_t aBytes) -> void
  {
    (aFrom.domain == aTo.domain ? sent_.near : sent_.far) += aBytes;
  }

  ManualClock clock_;
  std::mt19937_64 random_;
  double loss_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::unordered_map<std::uint32_t, std::size_t> byIp_;
  std::deque<InFlight> network_;
  TargetSet set_;
  std::size_t agents_ = 0;
  Traffic sent_;
};

// Time until half and until all of the other processes take a stopped agent for
// silent.
auto DetectionTime(ExchangeFleet& aFleet, std::size_t aAgent) -> Millis
{
  aFleet.SetRunning(aAgent, false);
  Millis passed{ 0 };
  while (aFleet.SilentAt(aAgent) < aFleet.Size() - 1 &&
         passed < Millis{ 10000 }) {
    aFleet.Run(Millis{ 100 });
    passed += Millis{ 100 };
  }
  return passed;
}

} // namespace

// The time grows with the agents of a domain, at most kMaxNearAgents, but not
// with the fleet.
TEST(PeerExchange, ASilentAgentIsKnownEverywhereInAStatedTime)
{
  for (const std::size_t agents : { 120, 200, 480 }) {
    ExchangeFleet fleet(agents, 0.01);
    fleet.Run(Millis{ 4000 });
    EXPECT_EQ(fleet.FalselySilent(), 0U);
    EXPECT_LE(DetectionTime(fleet, 3), Millis{ 5000 }) << agents;
    EXPECT_EQ(fleet.FalselySilent(), 0U);
  }
}

TEST(PeerExchange, BytesBetweenDomainsOfAProcessDoNotGrowWithTheFleet)
{
  double small = 0;
  double large = 0;
  for (const std::size_t agents : { 120, 480 }) {
    ExchangeFleet fleet(agents, 0);
    fleet.Run(Millis{ 3000 });
    fleet.ResetTraffic();
    fleet.Run(Millis{ 5000 });
    const auto perSecond =
      double(fleet.Sent().far) / double(fleet.Size()) / 5.0;
    (agents == 120 ? small : large) = perSecond;
  }
  EXPECT_LE(small, 500.0);
  EXPECT_LE(large, small * 1.1);
}

// One process reads the store; the state crosses once a domain, not once a
// process.
TEST(PeerExchange, NewTargetsAreEverywhereSoonAndCrossOnceADomain)
{
  ExchangeFleet fleet(150, 0.02);
  fleet.Run(Millis{ 3000 });
  fleet.ResetTraffic();
  fleet.Run(Millis{ 1000 });
  const auto idle = fleet.Sent().far;
  fleet.ResetTraffic();
  fleet.PublishAt(7);
  fleet.Run(Millis{ 1000 });
  EXPECT_EQ(fleet.WithNewestTargets(), fleet.Size());
  // Four other domains, three announcements each.
  constexpr std::uint64_t kAnnouncements = 12;
  constexpr std::uint64_t kAnnouncementBytes = 250;
  EXPECT_LE(fleet.Sent().farStates, kAnnouncements);
  EXPECT_LE(fleet.Sent().far,
            idle + fleet.Sent().farStates * 70 * fleet.Agents() +
              kAnnouncements * kAnnouncementBytes);
}

// The agents to which the state was announced die with it. The next heartbeats
// and announcements bring it.
TEST(PeerExchange, NewTargetsSurviveTheLossOfTheirFirstReceivers)
{
  ExchangeFleet fleet(150, 0.3);
  fleet.Run(Millis{ 3000 });
  fleet.PublishAt(7);
  for (std::size_t i = 10; i < 30; ++i) {
    fleet.SetRunning(i, false);
  }
  fleet.Run(Millis{ 1500 });
  for (std::size_t i = 10; i < 30; ++i) {
    fleet.SetRunning(i, true);
  }
  fleet.Run(Millis{ 2000 });
  EXPECT_EQ(fleet.WithNewestTargets(), fleet.Size());
}

// An agent whose messages get lost is silent for its neighbours; one that hears
// nobody reports nothing wrong to the others.
TEST(PeerExchange, AOneWayCutIsNoReasonToDoubtOthers)
{
  ExchangeFleet fleet(120, 0.01);
  fleet.Run(Millis{ 4000 });
  fleet.CutSender(5);
  fleet.Run(Millis{ 6000 });
  EXPECT_GE(fleet.SilentAt(5), fleet.Size() * 9 / 10);
  EXPECT_EQ(fleet.FalselySilent(), 0U);
}

// All processes of a domain stop, as when a zone loses power.
TEST(PeerExchange, ALostDomainIsSilentForAllOthers)
{
  ExchangeFleet fleet(120, 0);
  fleet.Run(Millis{ 4000 });
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    const auto number = i < fleet.Agents() ? i : i - fleet.Agents();
    if (number % 5 == 2) {
      fleet.SetRunning(i, false);
    }
  }
  fleet.Run(Millis{ 4000 });
  const auto others = fleet.Size() * 4 / 5;
  for (std::size_t i = 2; i < fleet.Agents(); i += 5) {
    EXPECT_GE(fleet.SilentAt(i), others) << i;
  }
  EXPECT_EQ(fleet.FalselySilent(), 0U);
}

// Agents send hints to balancers of other domains, which send them nothing.
TEST(PeerExchange, AgentsKnowTheBalancersOfAllDomains)
{
  ExchangeFleet fleet(120, 0.05);
  fleet.Run(Millis{ 6000 });
  EXPECT_EQ(fleet.KnownBalancers(0), fleet.Size() - fleet.Agents());
}

// Entries of a service in use at addresses of nobody make no large fleet of a
// small one. Guards against domains that are taken for lost, as their reports
// go to nobody.
TEST(PeerExchange, AddressesOfNobodyMakeNoLargeFleet)
{
  ExchangeFleet fleet(10, 0.01, 1, 150);
  fleet.Run(kVacantAddressTime + Millis{ 5000 });
  EXPECT_EQ(fleet.InFullMesh(), fleet.Size());
  fleet.Run(Millis{ 4000 });
  EXPECT_EQ(fleet.FalselySilent(), 0U);
}

// Nor do they take the place of agents in a fleet that is large without them.
TEST(PeerExchange, AddressesOfNobodyLeaveALargeFleetItsHeartbeats)
{
  ExchangeFleet fleet(150, 0.01, 1, 100);
  fleet.Run(kVacantAddressTime + Millis{ 5000 });
  for (int second = 0; second < 10; ++second) {
    fleet.Run(Millis{ 1000 });
    EXPECT_EQ(fleet.InFullMesh(), 0U);
    EXPECT_EQ(fleet.FalselySilent(), 0U);
  }
  EXPECT_LE(DetectionTime(fleet, 3), Millis{ 5000 });
}

// Small fleets stay as they were: everybody hears all agents.
TEST(PeerExchange, ASmallFleetIsAFullMesh)
{
  ExchangeFleet fleet(60, 0.01);
  fleet.Run(Millis{ 4000 });
  EXPECT_EQ(fleet.FalselySilent(), 0U);
  EXPECT_LE(DetectionTime(fleet, 3), Millis{ 2200 });
}

} // namespace damaskwalk
