// Entries of other programs among the registrations: what they say of a VM must
// not decide what the agent there believes of its own backend server.

#include "relay/heartbeat_plan.h"
#include "relay/limits.h"
#include "relay/placement.h"
#include "relay/read_schedule.h"
#include "relay/search_order.h"
#include "relay_model.h"
#include "test_support.h"

namespace damaskwalk {

namespace {

constexpr std::uint32_t kIp = 0x0A000001;
const ServiceId kService = ServiceIdOf("service-0");
const Endpoint kAgent{ kIp, kModelAgentPort };
const OwnTarget kOwn{ kAgent, kService, kModelBackendPort };

auto Entry(std::string aId,
           ServiceId aService,
           std::uint16_t aPort,
           TargetState aState,
           std::int64_t aStart) -> RelayTarget
{
  RelayTarget entry;
  entry.id = std::move(aId);
  entry.service = aService;
  entry.agent = kAgent;
  entry.backendPort = aPort;
  entry.failureDomain = "domain-0";
  entry.state = aState;
  entry.startedAtMillis = aStart;
  return entry;
}

// An entry that is not the server's: of another service, or of another port.
auto AnyForeignEntry(int aNumber) -> RelayTarget
{
  const auto service = *rc::gen::element(
    kService, ServiceIdOf("service-1"), ServiceIdOf("exporter"));
  auto port = *rc::gen::elementOf(
    std::vector<std::uint16_t>{ kModelBackendPort, 9100, 1 });
  if (service == kService && port == kModelBackendPort) {
    port = 9100;
  }
  return Entry(
    *rc::gen::element<std::string>("a", "m", "z") + std::to_string(aNumber),
    service,
    port,
    *rc::gen::element(TargetState::Ready, TargetState::Draining),
    *rc::gen::element<std::int64_t>(INT64_MIN, -1, 0, 999, 1001, INT64_MAX));
}

} // namespace

// Any entries of other programs come and go at an agent's address, before and
// after the server's own. Its own registration stays what it is, and searches
// for its service's flows visit it.
TEST(ForeignEntry, AnAgentsOwnRegistrationIsWhatItsServerWrote)
{
  Holds("an agent's own registration", [] {
    ManualClock clock;
    FleetState state(clock);
    std::uint64_t revision = 0;
    std::vector<RelayTarget> foreign;
    std::optional<RelayTarget> own;
    for (int step = 0; step < 8; ++step) {
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          foreign.push_back(AnyForeignEntry(step));
          break;
        case 1:
          if (!foreign.empty()) {
            foreign.erase(foreign.begin());
          }
          break;
        case 2:
          own =
            Entry("own", kService, kModelBackendPort, TargetState::Ready, 1000);
          break;
        default:
          if (own) {
            own->state = TargetState::Draining;
          }
          break;
      }
      TargetSet set;
      set.revision = ++revision;
      set.targets = foreign;
      if (own) {
        set.targets.insert(set.targets.begin() +
                             *rc::gen::inRange<std::ptrdiff_t>(
                               0, std::ptrdiff_t(foreign.size()) + 1),
                           *own);
      }
      state.UpdateTargets(set, Millis{ 0 });
      if (!own) {
        continue;
      }
      const auto found = state.FindOwn(kOwn);
      RC_ASSERT(found.known != nullptr);
      RC_ASSERT(found.known->target.id == "own");
      RC_ASSERT((found.standing == TargetStanding::Leaving) ==
                found.known->draining);
      const auto listed = state.TargetsOfService(kService);
      RC_ASSERT(std::ranges::count_if(listed, [&](auto aIndex) {
                  return state.KnownTargets()[aIndex].target.agent == kAgent;
                }) == 1);
    }
  });
}

// A later start under another id holds the port. An entry that drains means
// that the server drains, whichever started later.
TEST(ForeignEntry, AServerDrainsIfAnyEntryOfItsPortDrains)
{
  const ManualClock clock;
  FleetState state(clock);
  TargetSet set;
  set.revision = 1;
  set.targets = {
    Entry("own", kService, kModelBackendPort, TargetState::Draining, 1000),
    Entry("later", kService, kModelBackendPort, TargetState::Ready, 2000)
  };
  state.UpdateTargets(set, Millis{ 0 });
  EXPECT_EQ(state.FindOwn(kOwn).standing, TargetStanding::Leaving);
  set.revision = 2;
  set.targets.erase(set.targets.begin());
  state.UpdateTargets(set, Millis{ 0 });
  EXPECT_EQ(state.FindOwn(kOwn).standing, TargetStanding::Open);
}

// Entries for the VMs of live servers, of a service that no route names, of one
// that another route names, and of their own service at another port. Guards
// against resets of live flows, against servers that get no new flows, and
// against flows of another service.
TEST(ForeignEntry, LiveFlowsStayAndNewOnesOpen)
{
  for (const auto* name : { "exporter", "service-1", "service-0" }) {
    RelayModel model({ 6, 4 }, 2);
    const auto flows = model.OpenAnswered(30);
    ASSERT_EQ(flows.size(), 30U);
    for (std::uint32_t i = 0; i < 3; ++i) {
      auto entry = Entry("foreign-" + std::to_string(i),
                         ServiceIdOf(name),
                         9100,
                         i == 1 ? TargetState::Draining : TargetState::Ready,
                         i == 2 ? 0 : 1'000'000);
      entry.agent.ip = model.TargetIp(i);
      model.AddEntry(entry);
    }
    model.Publish();
    std::vector<std::uint32_t> opened;
    for (std::size_t i = 0; i < 3; ++i) {
      opened.push_back(model.Opened(i));
    }
    EXPECT_EQ(model.OpenAnswered(30).size(), 30U);
    for (std::size_t i = 0; i < 3; ++i) {
      EXPECT_GT(model.Opened(i), opened[i]);
    }
    for (std::size_t i = 0; i < model.Targets(); ++i) {
      model.RestartAgent(i);
    }
    model.RestartBalancer(1);
    for (const auto flow : flows) {
      model.SendRequest(flow, 1);
    }
    model.Run(Millis{ 300 });
    for (const auto flow : flows) {
      EXPECT_FALSE(model.Flow(flow).reset);
      EXPECT_EQ(model.Flow(flow).answers, 2U);
    }
    EXPECT_EQ(model.ForeignPackets(), 0U);
  }
}

// An entry of another program at another port outlives the server's own, which
// drains and leaves. No first packet may reach the server for it.
TEST(ForeignEntry, AForeignEntryDoesNotKeepADrainingServerOpen)
{
  RelayModel model({ 6, 4 }, 2);
  auto entry = Entry("foreign", kService, 9100, TargetState::Ready, 1'000'000);
  entry.agent.ip = model.TargetIp(0);
  model.AddEntry(entry);
  model.SetDraining(0);
  model.Publish();
  const auto opened = model.Opened(0);
  EXPECT_EQ(model.OpenAnswered(20).size(), 20U);
  model.Register(0, false);
  model.Publish();
  EXPECT_EQ(model.OpenAnswered(20).size(), 20U);
  EXPECT_EQ(model.Opened(0), opened);
}

// Registrations of one service at the address of another's agent. New flows go
// elsewhere once the agent has reported what it serves.
TEST(ForeignEntry, AnAgentsReportOutweighsTheEntry)
{
  ManualClock clock;
  FleetState state(clock);
  PeerTable peers(clock);
  const auto placement =
    MakePlacementExpectedWait({ "domain-0", 1 }, state, peers, clock);
  TargetSet set;
  set.revision = 1;
  set.targets = {
    Entry("foreign", kService, 9100, TargetState::Ready, 2000),
    Entry("own", kService, kModelBackendPort, TargetState::Ready, 1000)
  };
  set.targets.back().agent.ip = kIp + 1;
  state.UpdateTargets(set, Millis{ 0 });
  clock.Advance(Millis{ 1 });
  RelayHeartbeat heartbeat;
  heartbeat.role = RelayRole::Agent;
  heartbeat.incarnation = 1;
  heartbeat.load.emplace_back();
  heartbeat.load.front().service = ServiceIdOf("service-1");
  peers.OnHeartbeat(kIp, heartbeat);
  for (std::uint16_t port = 1; port < 100; ++port) {
    const FlowKey flow{ { 7, port }, { 8, 443 } };
    EXPECT_EQ(placement->Choose(kService, flow, {}).agent.ip, kIp + 1);
  }
}

// Ports reach the agents with the state, whole and as changes; replies of
// earlier releases have none.
TEST(ForeignEntry, PortsTravelWithTheState)
{
  StateReply reply;
  reply.deltas.emplace_back();
  reply.deltas.front().changed.push_back(
    Entry("own", kService, kModelBackendPort, TargetState::Ready, 1));
  TargetSet set;
  set.targets = reply.deltas.front().changed;
  reply.packed = PackState({}, { set });
  boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<void> {
      BOOST_LEAF_AUTO(got, DecodeStateReply(EncodeStateReply(reply)));
      EXPECT_EQ(got.deltas.front().changed.front().backendPort,
                kModelBackendPort);
      EXPECT_EQ(got.targets.front().targets.front().backendPort,
                kModelBackendPort);
      return {};
    },
    [] { FAIL() << "unreadable reply"; });
}

namespace {

// Agents of the route's service, and entries of a service that no route names,
// at addresses without an agent, over three domains.
auto MakeFleet(FleetState& aState,
               std::uint32_t aAgents,
               std::uint32_t aForeign) -> void
{
  RelayRoute route;
  route.address = { 0xC6120001, 443 };
  route.services.push_back({ kService, 1 });
  RouteTable routes;
  routes.version = 1;
  routes.routes.push_back(route);
  aState.UpdateRoutes(routes);
  TargetSet set;
  set.revision = 1;
  for (std::uint32_t i = 0; i < aAgents + aForeign; ++i) {
    const bool isForeign = i >= aAgents;
    auto entry = Entry("t" + std::to_string(i),
                       isForeign ? ServiceIdOf("exporter") : kService,
                       kModelBackendPort,
                       TargetState::Ready,
                       1000);
    entry.agent.ip = kIp + i;
    entry.failureDomain = "domain-" + std::to_string(i % 3);
    set.targets.push_back(entry);
  }
  aState.UpdateTargets(set, Millis{ 0 });
}

auto PlanOf(const FleetState& aState, const Clock& aClock) -> HeartbeatPlan
{
  HeartbeatPlan plan({ kIp, RelayRole::Agent, "domain-0", kService, 1 });
  plan.Update(aState, PeerTable(aClock));
  return plan;
}

} // namespace

// 36 entries without an agent ranked before the real readers, so that the
// configuration was read every 4 s and dropped routes stayed in force.
TEST(ForeignEntry, EntriesOfUnusedServicesReadNoStore)
{
  ManualClock clock;
  FleetState state(clock);
  constexpr std::uint32_t kAgents = 3;
  MakeFleet(state, kAgents, 36);
  const PeerTable peers(clock);
  std::set<std::uint32_t> ranks;
  for (std::uint32_t i = 0; i < kAgents; ++i) {
    ranks.insert(ReaderRank(state, peers, { kIp + i, kModelAgentPort }));
  }
  EXPECT_EQ(ranks, (std::set<std::uint32_t>{ 0, 1, 2 }));
}

// 110 entries without an agent made a fleet of six agents one of more than 100,
// whose failure domains report to each other; the reports went to addresses
// without an agent, and running domains were taken for lost.
TEST(ForeignEntry, EntriesOfUnusedServicesMakeNoLargeFleet)
{
  ManualClock clock;
  FleetState state(clock);
  MakeFleet(state, 6, 110);
  const auto plan = PlanOf(state, clock);
  EXPECT_EQ(plan.Agents(), 6U);
  EXPECT_TRUE(plan.IsFullMesh());
}

// The same in a fleet that is large without them.
TEST(ForeignEntry, DomainsReportToAgentsOnly)
{
  ManualClock clock;
  FleetState state(clock);
  constexpr std::uint32_t kAgents = 120;
  MakeFleet(state, kAgents, 300);
  const auto plan = PlanOf(state, clock);
  EXPECT_FALSE(plan.IsFullMesh());
  EXPECT_EQ(plan.Near().size(), kAgents / 3 - 1);
  EXPECT_EQ(plan.Far().size(), kAgents * 2 / 3);
  for (const auto& [domain, agents] : plan.FarDomains()) {
    EXPECT_EQ(agents.size(), kAgents / 3);
  }
  // An agent there would learn from heartbeats that its service is used now.
  EXPECT_EQ(plan.Unused().size(), 100U);
}

// A service that a route named until now may hold flows of it; its agents are
// still watched.
TEST(ForeignEntry, AFormerServiceOfARouteIsInUse)
{
  ManualClock clock;
  FleetState state(clock);
  MakeFleet(state, 1, 1);
  EXPECT_FALSE(state.IsInUse(ServiceIdOf("exporter")));
  auto routes = state.Routes();
  routes.version = 2;
  routes.routes.front().services = { { ServiceIdOf("exporter"), 1 } };
  state.UpdateRoutes(routes);
  EXPECT_TRUE(state.IsInUse(ServiceIdOf("exporter")));
  EXPECT_TRUE(state.IsInUse(kService));
}

} // namespace damaskwalk
