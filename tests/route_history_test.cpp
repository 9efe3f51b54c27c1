// Changes of routes leave open flows where they are: searches reach the servers
// of services that a route named before.

#include "relay/heartbeat_plan.h"
#include "relay/limits.h"
#include "relay/peer_exchange.h"
#include "relay/route_history.h"
#include "relay/state_transfer.h"
#include "relay_model.h"
#include "test_support.h"

namespace damaskwalk {

namespace {

using Services = std::vector<std::size_t>;

const Endpoint kAddress{ 0xC6120001, 443 };
const ServiceId kGateway = ServiceIdOf("gateway");
const ServiceId kDepot = ServiceIdOf("depot");
const ServiceId kOther = ServiceIdOf("other");

auto TableOf(DocumentVersion aVersion, std::vector<ServiceId> aServices)
  -> RouteTable
{
  RelayRoute route;
  route.address = kAddress;
  for (const auto service : aServices) {
    route.services.push_back({ service, 1 });
  }
  RouteTable table;
  table.version = aVersion;
  table.routes.push_back(route);
  return table;
}

// One target of each service.
auto TargetsOf(const std::vector<ServiceId>& aServices) -> TargetSet
{
  TargetSet set;
  set.revision = 1;
  for (const auto service : aServices) {
    RelayTarget target;
    target.id = std::to_string(set.targets.size());
    target.service = service;
    target.agent = { static_cast<std::uint32_t>(set.targets.size() + 1), 80 };
    set.targets.push_back(target);
  }
  return set;
}

// Sends a request on every flow through a balancer and counts those that were
// reset or not answered.
auto CountBroken(RelayModel& aModel,
                 const std::vector<std::size_t>& aFlows,
                 std::size_t aBalancer) -> std::size_t
{
  std::vector<std::uint32_t> answers;
  for (const auto flow : aFlows) {
    answers.push_back(aModel.Flow(flow).answers);
    aModel.SendRequest(flow, aBalancer);
  }
  aModel.Run(Millis{ 500 });
  std::size_t broken = 0;
  for (std::size_t i = 0; i < aFlows.size(); ++i) {
    const auto& flow = aModel.Flow(aFlows[i]);
    broken += flow.reset || flow.answers == answers[i] ? 1 : 0;
  }
  return broken;
}

auto HeldFlows(RelayModel& aModel, const std::vector<std::size_t>& aFlows)
  -> std::vector<std::size_t>
{
  std::vector<std::size_t> held;
  for (const auto flow : aFlows) {
    if (aModel.IsHeld(aModel.Flow(flow))) {
      held.push_back(flow);
    }
  }
  return held;
}

auto SendOnOpenFlows(RelayModel& aModel,
                     const std::vector<std::size_t>& aFlows,
                     std::size_t aBalancer) -> void
{
  for (const auto flow : aFlows) {
    if (aModel.Flow(flow).open && !aModel.Flow(flow).reset) {
      aModel.SendRequest(flow, aBalancer);
    }
  }
}

auto OpenSix(RelayModel& aModel,
             std::vector<std::size_t>& aFlows,
             std::size_t aBalancer) -> void
{
  for (int i = 0; i < 6; ++i) {
    aFlows.push_back(aModel.Open(0, aBalancer));
  }
}

// Publishes to about half of the processes.
auto PublishToHalf(RelayModel& aModel, std::uint64_t aDraw) -> void
{
  aModel.PublishTo(
    [aDraw](std::uint32_t aIp) { return Mix(aIp, aDraw) % 2 == 0; });
}

} // namespace

TEST(RouteHistory, RemembersAServiceForTheLifetimeOfAFlow)
{
  ManualClock clock;
  FleetState state(clock);
  state.UpdateRoutes(TableOf(1, { kGateway, kDepot }));
  state.UpdateRoutes(TableOf(2, { kGateway }));
  const auto& route = *state.FindRoute(kAddress);
  EXPECT_TRUE(state.MayHold(route, kDepot));
  clock.Advance(kDefaultMaxFlowLifetime - Millis{ 1 });
  state.Tick();
  EXPECT_TRUE(state.MayHold(route, kDepot));
  clock.Advance(Millis{ 1 });
  EXPECT_TRUE(state.Tick());
  EXPECT_FALSE(state.MayHold(route, kDepot));
  EXPECT_TRUE(state.MayHold(route, kGateway));
}

// A process that starts knows no former services, so any registered one may
// hold a flow, however long no peer is heard that knows more.
TEST(RouteHistory, AProcessThatStartsSearchesEveryServiceUntilAPeerKnows)
{
  ManualClock clock;
  FleetState state(clock);
  state.UpdateTargets(TargetsOf({ kGateway, kDepot, kOther }), Millis{ 0 });
  state.UpdateRoutes(TableOf(1, { kGateway }));
  const auto& route = *state.FindRoute(kAddress);
  clock.Advance(kDefaultMaxFlowLifetime / 2);
  state.Tick();
  EXPECT_EQ(state.ServicesToSearch(route).size(), 3U);
  EXPECT_TRUE(state.MayHold(route, kOther));
  EXPECT_EQ(state.ServicesHolding(route), std::vector{ kGateway });
  EXPECT_TRUE(state.History().Merge(
    { true, { { kAddress, kDepot, Millis{ 100 } } } }, 1, Millis{ 5 }));
  EXPECT_EQ(state.ServicesToSearch(route), (std::vector{ kDepot, kGateway }));
  EXPECT_FALSE(state.MayHold(route, kOther));
}

// After the lifetime of a flow, no flow is left that an earlier process opened.
TEST(RouteHistory, IsCompleteAfterTheLifetimeOfAFlow)
{
  ManualClock clock;
  RouteHistory history(clock);
  history.OnFirstRoutes(1);
  clock.Advance(kDefaultMaxFlowLifetime - Millis{ 1 });
  EXPECT_FALSE(history.IsComplete());
  clock.Advance(Millis{ 1 });
  EXPECT_TRUE(history.IsComplete());
}

// A process that was cut off while routes changed, or whose peer skipped a
// version, must not pass for one that knows every former service.
TEST(RouteHistory, ASkippedVersionLeavesTheHistoryIncomplete)
{
  ManualClock clock;
  FleetState state(clock);
  state.History().SetComplete();
  state.UpdateRoutes(TableOf(1, { kGateway }));
  EXPECT_TRUE(state.History().IsComplete());
  state.UpdateRoutes(TableOf(5, { kDepot }));
  EXPECT_FALSE(state.History().IsComplete());
  // The peer has the versions between the two.
  state.History().Merge(
    { true, { { kAddress, kOther, Millis{ 50 } } } }, 5, Millis{ 0 });
  EXPECT_TRUE(state.History().IsComplete());
  EXPECT_TRUE(state.MayHold(*state.FindRoute(kAddress), kGateway));
  EXPECT_TRUE(state.MayHold(*state.FindRoute(kAddress), kOther));
  // Nobody has: it is complete when the flows of before have ended.
  state.UpdateRoutes(TableOf(9, { kGateway }));
  clock.Advance(kDefaultMaxFlowLifetime / 2);
  state.UpdateRoutes(TableOf(12, { kDepot }));
  clock.Advance(kDefaultMaxFlowLifetime - Millis{ 1 });
  EXPECT_FALSE(state.History().IsComplete());
  clock.Advance(Millis{ 1 });
  EXPECT_TRUE(state.History().IsComplete());
}

// A reader of the store sees every version, also those that were replaced
// between two reads.
TEST(RouteHistory, AReaderOfEveryVersionKnowsThoseBetweenTwoReads)
{
  ManualClock clock;
  FleetState state(clock);
  state.History().SetComplete();
  state.UpdateRoutes(TableOf(1, { kGateway }));
  state.ApplySuccession(
    { 1, { TableOf(2, { kOther }), TableOf(3, { kDepot }) } });
  EXPECT_EQ(state.Routes().version, 3U);
  EXPECT_TRUE(state.History().IsComplete());
  EXPECT_TRUE(state.MayHold(*state.FindRoute(kAddress), kOther));
  EXPECT_TRUE(state.MayHold(*state.FindRoute(kAddress), kGateway));
  // A peer was faster with the newest version.
  state.UpdateRoutes(TableOf(6, { kGateway }));
  EXPECT_FALSE(state.History().IsComplete());
  const auto other = ServiceIdOf("fifth");
  state.ApplySuccession(
    { 3, { TableOf(5, { other }), TableOf(6, { kGateway }) } });
  EXPECT_TRUE(state.History().IsComplete());
  EXPECT_TRUE(state.MayHold(*state.FindRoute(kAddress), other));
  // Versions may be missing before this read.
  state.ApplySuccession({ std::nullopt, { TableOf(8, { kDepot }) } });
  EXPECT_FALSE(state.History().IsComplete());
}

// The read of an older version that a slow store answers late.
TEST(RouteHistory, AnOlderVersionThatIsReadLateCountsAsFormer)
{
  ManualClock clock;
  FleetState state(clock);
  state.History().SetComplete();
  state.UpdateRoutes(TableOf(1, { kGateway }));
  state.UpdateRoutes(TableOf(3, { kDepot }));
  EXPECT_FALSE(state.ApplySuccession({ 1, { TableOf(2, { kOther }) } }));
  EXPECT_FALSE(state.History().IsComplete());
  EXPECT_FALSE(state.ApplySuccession({ 2, { TableOf(3, { kDepot }) } }));
  EXPECT_TRUE(state.History().IsComplete());
  EXPECT_TRUE(state.MayHold(*state.FindRoute(kAddress), kOther));
}

// Newer routes that a peer has may name services that are not known here.
TEST(RouteHistory, IsIncompleteWhileAPeerHasNewerRoutes)
{
  ManualClock clock;
  FleetState state(clock);
  state.History().SetComplete();
  state.UpdateRoutes(TableOf(1, { kGateway }));
  StateDigest peer;
  peer.routes = 2;
  state.Confirm(peer);
  EXPECT_FALSE(state.History().IsComplete());
  state.ApplySuccession({ 1, { TableOf(2, { kGateway }) } });
  EXPECT_TRUE(state.History().IsComplete());
}

// A process of a first start that gets its first routes when others have
// already changed theirs.
TEST(RouteHistory, AFirstStartWithLateRoutesIsNotComplete)
{
  ManualClock clock;
  RouteHistory history(clock);
  history.SetComplete();
  clock.Advance(kFirstStartTime + Millis{ 1 });
  history.OnFirstRoutes(7);
  EXPECT_FALSE(history.IsComplete());
}

// More former services than a process keeps: those that are left out may hold
// flows.
TEST(RouteHistory, TooManyFormerServicesLeaveTheHistoryIncomplete)
{
  ManualClock clock;
  FleetState state(clock);
  state.History().SetComplete();
  state.UpdateRoutes(TableOf(1, { kGateway }));
  RouteHistoryReport report{ true, {} };
  for (std::size_t i = 0; i < kMaxFormerServices; ++i) {
    report.former.push_back({ kAddress, ServiceId{ i + 1 }, Millis{ 1 } });
  }
  state.History().Merge(report, 1, Millis{ 0 });
  EXPECT_TRUE(state.History().IsComplete());
  state.ApplySuccession({ 1, { TableOf(2, { kDepot }) } });
  EXPECT_FALSE(state.History().IsComplete());
}

// A seed reads newer routes from the store while a peer that has the older ones
// answers it. The peer's own services are in neither history.
TEST(RouteHistory, AReplyWithOlderRoutesIsNotComplete)
{
  ManualClock clock;
  FleetState peerState(clock);
  peerState.History().SetComplete();
  peerState.UpdateRoutes(TableOf(1, { kGateway, kDepot }));
  peerState.UpdateTargets({ 1, {} }, Millis{ 0 });
  StateTransfer peer(peerState);
  FleetState seedState(clock);
  StateTransfer seed(seedState);
  const auto request = seed.MakeRequest();
  seedState.UpdateRoutes(TableOf(2, { kGateway }));
  seed.Apply(peer.MakeReply(request), Millis{ 1 });
  EXPECT_EQ(seedState.Routes().version, 2U);
  EXPECT_FALSE(seedState.History().IsComplete());
}

// Reports from a process that was suspended, or with a wrong age, add nothing.
TEST(RouteHistory, IgnoresReportsThatAreTooOldOrOutOfRange)
{
  ManualClock clock;
  RouteHistory history(clock);
  EXPECT_FALSE(
    history.Merge({ false, { { kAddress, kDepot, kDefaultMaxFlowLifetime } } },
                  1,
                  Millis{ 0 }));
  EXPECT_FALSE(history.Merge({ false, { { kAddress, kDepot, Millis{ 100 } } } },
                             1,
                             kDefaultMaxFlowLifetime));
  EXPECT_FALSE(history.Merge(
    { false, { { kAddress, kDepot, Millis{ -9 } } } }, 1, Millis{ 0 }));
  EXPECT_EQ(history.Hash(), 0U);
}

TEST(RouteHistory, OrderAndRepetitionOfReportsDoNotMatter)
{
  Holds("histories merge alike in any order", [] {
    ManualClock clock;
    std::vector<RouteHistoryReport> reports;
    for (int i = 0; i < *rc::gen::inRange(1, 8); ++i) {
      const auto service = *rc::gen::inRange<std::uint64_t>(1, 4);
      const Millis age{ *rc::gen::inRange(0, 59000) };
      reports.push_back({ false, { { kAddress, ServiceId{ service }, age } } });
    }
    RouteHistory forward(clock);
    RouteHistory backward(clock);
    for (std::size_t i = 0; i < reports.size(); ++i) {
      forward.Merge(reports[i], 1, Millis{ 0 });
      backward.Merge(reports[reports.size() - 1 - i], 1, Millis{ 0 });
      backward.Merge(reports[reports.size() - 1 - i], 1, Millis{ 0 });
    }
    RC_ASSERT(forward.Hash() == backward.Hash());
    const auto one = forward.Report().former;
    const auto other = backward.Report().former;
    for (std::size_t i = 0; i < one.size(); ++i) {
      RC_ASSERT(one[i].age == other[i].age);
    }
  });
}

// The route is split over two services and then names one of them only. Packets
// then meet a balancer that does not know the flows. Guards against resets of
// flows whose service the route no longer names.
TEST(RouteHistory, OpenFlowsOfAFormerServiceAreFound)
{
  for (const auto& sizes : { Services{ 20, 6 }, Services{ 6, 3 } }) {
    RelayModel model(sizes, 3);
    model.SetRoute(0, { 0, 1 });
    model.Publish();
    const auto flows = model.OpenAnswered(60);
    ASSERT_GE(flows.size(), 40U);
    model.SetRoute(0, { 0 });
    model.Publish();
    EXPECT_EQ(CountBroken(model, flows, 1), 0U);
    for (std::size_t i = 0; i < sizes[0] + sizes[1]; i += 2) {
      model.RestartAgent(i);
    }
    model.RestartBalancer(2);
    EXPECT_EQ(CountBroken(model, flows, 2), 0U);
    EXPECT_EQ(model.ForeignPackets(), 0U);
  }
}

// The flow's server is gone, and its service is no longer named. Its caller
// must still hear so.
TEST(RouteHistory, LostFlowsOfAFormerServiceAreReset)
{
  RelayModel model({ 20, 6 }, 2);
  model.SetRoute(0, { 1 });
  model.Publish();
  const auto flows = model.OpenAnswered(20);
  model.SetRoute(0, { 0 });
  model.Publish();
  for (std::size_t i = 20; i < model.Targets(); ++i) {
    model.CrashBackend(i);
    model.StartBackend(i);
    model.RestartAgent(i);
  }
  model.RestartBalancer(1);
  model.Publish();
  model.Run(Millis{ 600 });
  for (const auto flow : flows) {
    model.SendRequest(flow, 1);
  }
  model.Run(Millis{ 300 });
  for (const auto flow : flows) {
    EXPECT_TRUE(model.Flow(flow).reset);
  }
}

// Every process loses the history, once or several times, before, between and
// after changes of the route. Guards against resets of flows whose former
// service nobody knows any more.
TEST(RouteHistory, LiveFlowsOfServicesThatNobodyKnowsAreFound)
{
  for (const auto& sizes :
       { Services{ 6, 3, 2 }, Services{ 20, 6, 3 }, Services{ 90, 45, 15 } }) {
    RelayModel model(sizes, 3);
    std::vector<std::size_t> flows;
    for (const auto& named : { Services{ 1 }, Services{ 2 }, Services{ 0 } }) {
      model.SetRoute(0, named);
      model.Publish();
      const auto opened = model.OpenAnswered(15);
      flows.insert(flows.end(), opened.begin(), opened.end());
    }
    ASSERT_GE(flows.size(), 30U);
    model.RestartAll();
    EXPECT_EQ(CountBroken(model, flows, 1), 0U);
    model.SetRoute(0, { 1 });
    model.RestartAll();
    model.Publish();
    model.RestartAll();
    EXPECT_EQ(CountBroken(model, flows, 2), 0U);
    model.Run(Millis{ 3000 });
    EXPECT_EQ(CountBroken(model, flows, 0), 0U);
    EXPECT_EQ(model.ForeignPackets(), 0U);
  }
}

// Nobody knows the former services, and the flows are gone with their servers.
// The verdict needs the answers of all services' agents, and no more.
TEST(RouteHistory, FlowsAreLostWhenEveryAgentHasAnswered)
{
  RelayModel model({ 20, 6 }, 2);
  const auto flows = model.OpenAnswered(20);
  for (std::size_t i = 0; i < model.Targets(); ++i) {
    model.CrashBackend(i);
    model.StartBackend(i);
  }
  model.RestartAll();
  model.StopAgent(22);
  model.Publish();
  model.Run(Millis{ 600 });
  for (const auto flow : flows) {
    model.SendRequest(flow, 1);
  }
  model.Run(Millis{ 300 });
  const auto resets = [&] {
    return std::ranges::count_if(
      flows, [&](auto aFlow) { return model.Flow(aFlow).reset; });
  };
  EXPECT_EQ(resets(), 0);
  model.RestartAgent(22);
  model.Announce(22);
  model.Run(Millis{ 60 });
  EXPECT_EQ(resets(), std::ptrdiff_t(flows.size()));
}

// Agents of two services that share a route search each other's flows. Guards
// against an agent that counts as silent because it sends no heartbeats here.
TEST(RouteHistory, AgentsOfServicesThatShareARouteWatchEachOther)
{
  ManualClock clock;
  FleetState state(clock);
  TargetSet set;
  set.revision = 1;
  const auto add = [&set](std::uint32_t aIp, ServiceId aService) {
    RelayTarget target;
    target.id = std::to_string(aIp);
    target.service = aService;
    target.agent = { aIp, 80 };
    set.targets.push_back(target);
  };
  add(1, kGateway);
  add(2, kDepot);
  add(3, ServiceIdOf("other"));
  state.UpdateTargets(set, Millis{ 0 });
  HeartbeatPlan plan({ 1, RelayRole::Agent, "a", kGateway, 1 });
  state.UpdateRoutes(TableOf(1, { kGateway, kDepot }));
  PeerTable peers(clock);
  plan.Update(state, peers);
  EXPECT_EQ(plan.Near(), std::vector<std::uint32_t>{ 2 });
  state.UpdateRoutes(TableOf(2, { kGateway }));
  plan.Update(state, peers);
  EXPECT_EQ(plan.Near(), std::vector<std::uint32_t>{ 2 });

  peers.SetWatched(plan.Near());
  RelayHeartbeat heartbeat;
  heartbeat.role = RelayRole::Agent;
  heartbeat.incarnation = 1;
  peers.OnHeartbeat(2, heartbeat);
  peers.OnHeartbeat(3, heartbeat);
  clock.Advance(4 * kRelayHeartbeatPeriod);
  EXPECT_TRUE(peers.IsSilent(2));
  EXPECT_FALSE(peers.IsSilent(3));
  heartbeat.stopping = true;
  peers.OnHeartbeat(3, heartbeat);
  EXPECT_TRUE(peers.IsSilent(3));
}

// Route changes among other faults. For every flow that its server holds, the
// search ends there.
TEST(RouteHistory, LiveFlowsAreReachedAfterAnyRouteChanges)
{
  Holds("live flows stay reachable", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto first = *rc::gen::element<std::size_t>(5, 18);
    RelayModel model({ first, 3 }, 3, seed);
    std::vector<std::size_t> flows;
    const auto steps = *rc::gen::inRange(4, 16);
    for (int step = 0; step < steps; ++step) {
      const auto balancer = *rc::gen::inRange<std::size_t>(0, 3);
      switch (*rc::gen::inRange(0, 6)) {
        case 0:
          model.RestartAgent(
            *rc::gen::inRange<std::size_t>(0, model.Targets()));
          break;
        case 1:
          model.RestartBalancer(balancer);
          break;
        case 2:
          model.SetRoute(
            0,
            *rc::gen::element(Services{ 0 }, Services{ 1 }, Services{ 0, 1 }));
          PublishToHalf(model, seed + static_cast<std::uint64_t>(step));
          break;
        case 3:
          model.Publish();
          break;
        default:
          OpenSix(model, flows, balancer);
          break;
      }
      model.Run(Millis{ *rc::gen::inRange(1, 300) });
      SendOnOpenFlows(model, flows, balancer);
      model.Run(Millis{ *rc::gen::inRange(1, 100) });
    }
    model.Publish();
    model.Run(Millis{ 1200 });
    RC_ASSERT(CountBroken(model, HeldFlows(model, flows), 1) == 0U);
    RC_ASSERT(model.ForeignPackets() == 0U);
  });
}

// As above, among restarts of all processes, which leave nobody with a history.
// No reset is allowed at any time while the server holds the flow.
TEST(RouteHistory, NoLiveFlowIsResetWhateverIsForgotten)
{
  Holds("live flows are not reset", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto first = *rc::gen::element<std::size_t>(4, 18);
    RelayModel model({ first, 3, 2 }, 3, seed);
    std::vector<std::size_t> flows;
    const auto steps = *rc::gen::inRange(4, 20);
    for (int step = 0; step < steps; ++step) {
      const auto balancer = *rc::gen::inRange<std::size_t>(0, 3);
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          model.RestartAgent(
            *rc::gen::inRange<std::size_t>(0, model.Targets()));
          break;
        case 1:
          model.RestartBalancer(balancer);
          break;
        case 2:
          model.RestartAll();
          break;
        case 3:
          model.SetRoute(
            0,
            *rc::gen::element(
              Services{ 0 }, Services{ 1 }, Services{ 2 }, Services{ 0, 1 }));
          PublishToHalf(model, seed + static_cast<std::uint64_t>(step));
          break;
        case 4:
          model.Publish();
          break;
        default:
          OpenSix(model, flows, balancer);
          break;
      }
      model.Run(Millis{ *rc::gen::inRange(1, 300) });
      SendOnOpenFlows(model, flows, balancer);
      model.Run(Millis{ *rc::gen::inRange(1, 100) });
      for (const auto flow : flows) {
        RC_ASSERT(!model.IsHeld(model.Flow(flow)) || !model.Flow(flow).reset);
      }
    }
    model.Publish();
    model.Run(Millis{ 1200 });
    RC_ASSERT(CountBroken(model, HeldFlows(model, flows), 1) == 0U);
  });
}

} // namespace damaskwalk
