// Which addresses of registrations have an agent. Entries of other programs may
// be valid in every field and name a balancer, the process that reads them, or
// an address that nobody has.

#include "relay/limits.h"
#include "relay/placement.h"
#include "relay/read_schedule.h"
#include "relay_model.h"
#include "test_support.h"

namespace damaskwalk {

namespace {

constexpr std::uint32_t kVacantIps = 0x0A0A0001;
constexpr std::uint32_t kIp = 0x0A000001;
const ServiceId kService = ServiceIdOf("service-0");
// Far more slots than any server has: preferred by placement.
constexpr std::uint32_t kManySlots = 4096;
constexpr Millis kFirstRetransmission{ 200 };
constexpr Millis kSecondRetransmission{ 400 };

auto EntryAt(std::uint32_t aIp, const ServiceId& aService = kService)
  -> RelayTarget
{
  RelayTarget entry;
  entry.id = "entry-" + std::to_string(aIp);
  entry.service = aService;
  entry.agent = { aIp, kModelAgentPort };
  entry.backendPort = kModelBackendPort;
  entry.failureDomain = "domain-0";
  entry.slots = kManySlots;
  entry.startedAtMillis = 1000;
  return entry;
}

auto HeartbeatOf(RelayRole aRole, std::uint64_t aIncarnation = 1)
  -> RelayHeartbeat
{
  RelayHeartbeat heartbeat;
  heartbeat.role = aRole;
  heartbeat.incarnation = aIncarnation;
  if (aRole == RelayRole::Agent) {
    heartbeat.load.emplace_back();
    heartbeat.load.front().service = kService;
  }
  return heartbeat;
}

// Callers open flows over a while, each with its two retransmissions.
// @return how many got an answer to a request.
auto Served(RelayModel& aModel, std::size_t aCount) -> std::size_t
{
  std::vector<std::size_t> flows;
  for (std::size_t i = 0; i < aCount; ++i) {
    const auto balancer = i % aModel.Balancers();
    const auto flow = aModel.Open(0, balancer);
    flows.push_back(flow);
    for (std::uint32_t copy = 1; copy <= 2; ++copy) {
      aModel.Run(copy == 1 ? kFirstRetransmission : kSecondRetransmission);
      if (!aModel.Flow(flow).open) {
        aModel.RetransmitFirstPacket(flow, balancer, copy);
      }
    }
    aModel.Run(Millis{ 10 });
    aModel.SendRequest(flow, balancer);
    aModel.Run(Millis{ 50 });
  }
  return static_cast<std::size_t>(std::ranges::count_if(
    flows, [&aModel](auto aFlow) { return aModel.Flow(aFlow).answers > 0; }));
}

// Packets between relays while no caller sends anything.
auto IdlePackets(RelayModel& aModel) -> std::uint32_t
{
  aModel.Run(Millis{ 1000 });
  const auto before = aModel.RelayedPackets();
  aModel.Run(Millis{ 3000 });
  return aModel.RelayedPackets() - before;
}

} // namespace

// Guards against balancers that pass first packets to each other for good: no
// flow opened, and each used a core without traffic.
TEST(AgentAddress, BalancersAtRegisteredAddressesGetNoFlows)
{
  RelayModel model({ 4, 2 }, 3);
  for (std::size_t i = 0; i < model.Balancers(); ++i) {
    model.AddEntry(EntryAt(model.BalancerIp(i)));
  }
  model.Publish();
  model.RestartAll();
  EXPECT_EQ(Served(model, 12), 12U);
  const auto strayed = model.StrayPackets();
  EXPECT_EQ(Served(model, 12), 12U);
  EXPECT_EQ(model.StrayPackets(), strayed);
  EXPECT_EQ(IdlePackets(model), 0U);
  model.RemoveEntries();
  model.Publish();
  EXPECT_EQ(IdlePackets(model), 0U);
}

// The same before any heartbeat tells the balancers apart from agents.
TEST(AgentAddress, APacketBetweenUnheardBalancersEnds)
{
  RelayModel model({ 1 }, 2);
  for (std::size_t i = 0; i < model.Balancers(); ++i) {
    model.AddEntry(EntryAt(model.BalancerIp(i)));
  }
  model.Publish();
  model.RestartAll();
  const auto before = model.RelayedPackets();
  const auto flow = model.Open(0, 0);
  model.Run(Millis{ 100 });
  EXPECT_LE(model.RelayedPackets() - before, kMaxFirstPacketHops + 1U);
  EXPECT_TRUE(model.Flow(flow).open || model.Flow(flow).reset);
}

// Guards against callers that get nothing for their deadline, as all three of
// their first packets go to addresses that nobody has.
TEST(AgentAddress, AddressesOfNobodyCostARetransmissionAtMost)
{
  RelayModel model({ 4 }, 2);
  for (std::uint32_t i = 0; i < 4; ++i) {
    model.AddEntry(EntryAt(kVacantIps + i));
  }
  model.Publish();
  model.RestartAll();
  EXPECT_EQ(Served(model, 20), 20U);
}

// Guards against lost flows without a verdict: an address of nobody answers no
// search, and callers waited for their deadline.
TEST(AgentAddress, AddressesOfNobodyKeepNoSearchFromItsVerdict)
{
  for (const std::size_t agents : { std::size_t{ 4 }, std::size_t{ 20 } }) {
    RelayModel model({ agents }, 2);
    const auto flows = model.OpenAnswered(10);
    ASSERT_EQ(flows.size(), 10U);
    for (std::uint32_t i = 0; i < 3; ++i) {
      model.AddEntry(EntryAt(kVacantIps + i));
    }
    model.Publish();
    for (std::size_t i = 0; i < model.Targets(); ++i) {
      model.CrashBackend(i);
      model.StartBackend(i);
    }
    model.RestartAll();
    model.Run(kVacantAddressTime + Millis{ 1000 });
    for (const auto flow : flows) {
      model.SendRequest(flow, 1);
    }
    model.Run(Millis{ 1000 });
    for (const auto flow : flows) {
      EXPECT_TRUE(model.Flow(flow).reset) << agents;
    }
  }
}

// Guards against resets of live flows whose server's entry another program made
// Guards against resets by a server that has just started and is not ready: its
// agent was asked for flows as soon as it was heard.
TEST(AgentAddress, AnAgentIsNotSearchedBeforeItsServerCouldRegister)
{
  ManualClock clock;
  FleetState state(clock);
  const Endpoint agent{ kIp, kModelAgentPort };
  TargetSet set;
  set.revision = 1;
  set.targets = { EntryAt(kIp + 1) };
  state.UpdateTargets(set, Millis{ 0 });
  EXPECT_FALSE(state.ObserveAgent(agent, kService));
  clock.Advance(kUnregisteredAgentDelay - Millis{ 1 });
  EXPECT_FALSE(state.ObserveAgent(agent, kService));
  EXPECT_EQ(state.TargetsOfService(kService).size(), 1U);
  clock.Advance(Millis{ 1 });
  EXPECT_TRUE(state.ObserveAgent(agent, kService));
  EXPECT_EQ(state.TargetsOfService(kService).size(), 2U);
}

// The same when no other server of the service is registered, so that no
// Guards against resets of live flows whose server's entry another program made
// unusable: the server is no target any more, but holds its flows.
TEST(AgentAddress, AServerWithoutAnEntryKeepsItsFlows)
{
  RelayModel model({ 5 }, 2);
  const auto flows = model.OpenAnswered(30);
  ASSERT_EQ(flows.size(), 30U);
  model.Register(0, false);
  model.Publish();
  const auto send = [&] {
    for (const auto flow : flows) {
      model.SendRequest(flow, flow % 2);
    }
    model.Run(Millis{ 5000 });
  };
  for (Millis passed{ 0 }; passed < kGoneTargetRetention + Millis{ 5000 };
       passed += Millis{ 5000 }) {
    send();
  }
  const auto opened = model.Opened(0);
  // Nothing is left of what anybody knew.
  model.RestartAll();
  model.Run(kUnregisteredAgentDelay + Millis{ 1000 });
  send();
  for (const auto flow : flows) {
    EXPECT_FALSE(model.Flow(flow).reset);
    EXPECT_EQ(model.Flow(flow).answers, model.Flow(flows.front()).answers);
  }
  EXPECT_EQ(model.Opened(0), opened);
}

// The same when no other server of the service is registered, so that no
// directory agent is left.
TEST(AgentAddress, TheOnlyServerOfAServiceKeepsItsFlowsWithoutAnEntry)
{
  RelayModel model({ 1 }, 2);
  const auto flows = model.OpenAnswered(3);
  ASSERT_EQ(flows.size(), 3U);
  model.Register(0, false);
  model.Publish();
  model.Run(Millis{ 4000 });
  for (const auto flow : flows) {
    model.SendRequest(flow, 1);
  }
  model.Run(Millis{ 300 });
  for (const auto flow : flows) {
    EXPECT_EQ(model.Flow(flow).answers, 2U);
    EXPECT_FALSE(model.Flow(flow).reset);
  }
}

// An address that an agent had, and a balancer has now. Guards against its
// former load, which made it preferred.
TEST(AgentAddress, ABalancerAtAnAgentsAddressHasNoLoad)
{
  ManualClock clock;
  PeerTable peers(clock);
  peers.OnHeartbeat(kIp, HeartbeatOf(RelayRole::Agent, 1));
  EXPECT_FALSE(peers.RunsNoAgent(kIp, TimePoint{}));
  peers.OnHeartbeat(kIp, HeartbeatOf(RelayRole::Balancer, 2));
  EXPECT_TRUE(peers.RunsNoAgent(kIp, clock.Now()));
  EXPECT_FALSE(peers.Find(kIp)->hasLoad);
  peers.OnHeartbeat(kIp, HeartbeatOf(RelayRole::Agent, 3));
  EXPECT_FALSE(peers.RunsNoAgent(kIp, TimePoint{}));
  EXPECT_TRUE(peers.Find(kIp)->hasLoad);
}

// The registration of an agent that was not heard yet came after the last
// heartbeat of a balancer that had its address. Guards against a new agent
// without flows.
TEST(AgentAddress, ANewAgentAtABalancersFormerAddressGetsFlows)
{
  ManualClock clock;
  FleetState state(clock);
  PeerTable peers(clock);
  peers.SetWatched({});
  peers.OnHeartbeat(kIp, HeartbeatOf(RelayRole::Balancer));
  clock.Advance(Millis{ 2000 });
  TargetSet set;
  set.revision = 1;
  set.targets = { EntryAt(kIp) };
  state.UpdateTargets(set, Millis{ 0 });
  peers.SetWatched({ kIp });
  const auto placement =
    MakePlacementExpectedWait({ "domain-0", 1 }, state, peers, clock);
  EXPECT_EQ(placement->Choose(kService, { { 7, 7 }, { 8, 443 } }, {}).agent.ip,
            kIp);
}

// A balancer's report of another domain names the address.
TEST(AgentAddress, ReportedBalancersAreNoAgents)
{
  ManualClock clock;
  PeerTable peers(clock);
  const auto registered = clock.Now();
  clock.Advance(Millis{ 1 });
  peers.OnBalancerReported(kIp);
  EXPECT_TRUE(peers.RunsNoAgent(kIp, registered));
  clock.Advance(Millis{ 1 });
  peers.OnHeartbeat(kIp, HeartbeatOf(RelayRole::Agent));
  EXPECT_FALSE(peers.RunsNoAgent(kIp, registered));
}

// Guards against an address of nobody that is believed anew each minute.
TEST(AgentAddress, AVacantAddressStaysVacant)
{
  ManualClock clock;
  PeerTable peers(clock);
  peers.SetWatched({ kIp, kIp + 1 });
  peers.OnHeartbeat(kIp + 1, HeartbeatOf(RelayRole::Agent));
  EXPECT_FALSE(peers.IsSilent(kIp));
  for (int period = 0; period < 400; ++period) {
    peers.ExpectHeartbeats(kIp);
    peers.ExpectHeartbeats(kIp + 1);
    clock.Advance(kRelayHeartbeatPeriod);
    peers.Tick();
    const auto passed = (period + 1) * kRelayHeartbeatPeriod;
    EXPECT_EQ(peers.IsVacant(kIp), passed > kVacantAddressTime);
    EXPECT_EQ(peers.IsSilent(kIp + 1),
              passed > kMaxMissedHeartbeats * kRelayHeartbeatPeriod);
  }
  peers.OnHeartbeat(kIp, HeartbeatOf(RelayRole::Agent));
  EXPECT_FALSE(peers.IsVacant(kIp));
  EXPECT_FALSE(peers.IsSilent(kIp));
}

// A balancer's own address, in an entry and in a hint.
TEST(AgentAddress, ABalancerSendsNothingToItself)
{
  RelayModel model({ 2 }, 1);
  model.AddEntry(EntryAt(model.BalancerIp(0)));
  model.Publish();
  for (int i = 0; i < 10; ++i) {
    const auto flow = model.Open(0, 0);
    model.Balancer(0).OnFlowLocation(
      { model.Flow(flow).key, { model.BalancerIp(0), kModelAgentPort }, true });
    model.Run(Millis{ 10 });
    model.SendRequest(flow, 0);
    model.Run(Millis{ 50 });
    EXPECT_EQ(model.Flow(flow).answers, 1U);
  }
  EXPECT_EQ(model.StrayPackets(), 0U);
}

// Entries of a service in use. Guards against a configuration that is read

// Entries of a service in use. Guards against a configuration that is read
// seconds late, as addresses of nobody rank before the agents that read it.
TEST(AgentAddress, AddressesOfNobodyReadNoStore)
{
  ManualClock clock;
  FleetState state(clock);
  PeerTable peers(clock);
  TargetSet set;
  set.revision = 1;
  std::vector<std::uint32_t> watched;
  for (std::uint32_t i = 0; i < 40; ++i) {
    set.targets.push_back(EntryAt(i < 3 ? kIp + i : kVacantIps + i));
    watched.push_back(set.targets.back().agent.ip);
  }
  state.UpdateTargets(set, Millis{ 0 });
  peers.SetWatched(watched);
  for (const auto ip : watched) {
    peers.ExpectHeartbeats(ip);
  }
  clock.Advance(kVacantAddressTime + Millis{ 1 });
  for (std::uint32_t i = 0; i < 3; ++i) {
    peers.OnHeartbeat(kIp + i, HeartbeatOf(RelayRole::Agent));
  }
  std::set<std::uint32_t> ranks;
  for (std::uint32_t i = 0; i < 3; ++i) {
    ranks.insert(ReaderRank(state, peers, { kIp + i, kModelAgentPort }));
  }
  EXPECT_EQ(ranks, (std::set<std::uint32_t>{ 0, 1, 2 }));
}

} // namespace damaskwalk
