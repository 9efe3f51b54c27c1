// The relays' state: versions, lapsed registrations, ages, the schedule of
// store reads and pulls, peer liveness, placement, and the messages between
// relays.

#include "relay/limits.h"
#include "relay/peer_messages.h"
#include "relay/peer_table.h"
#include "relay/placement.h"
#include "relay/pull_schedule.h"
#include "relay/read_schedule.h"
#include "relay/search_order.h"
#include "test_support.h"

#include <set>

#include <algorithm>

namespace damaskwalk {

namespace {

auto Target(std::uint16_t aNumber, TargetState aState = TargetState::Ready)
  -> RelayTarget
{
  RelayTarget target;
  target.id = "t" + std::to_string(aNumber);
  target.service = ServiceIdOf("s");
  target.agent = Agent(aNumber);
  target.agent.ip += aNumber;
  target.failureDomain = aNumber % 2 == 0 ? "even" : "odd";
  target.slots = 4;
  target.state = aState;
  return target;
}

auto SetOf(std::uint64_t aRevision, std::vector<RelayTarget> aTargets)
  -> TargetSet
{
  return { aRevision, std::move(aTargets) };
}

auto StandingOf(const FleetState& aState, std::uint16_t aNumber)
  -> TargetStanding
{
  const auto id = "t" + std::to_string(aNumber);
  const auto& known = aState.KnownTargets();
  const auto found = std::ranges::find_if(
    known, [&id](const auto& aKnown) { return aKnown.target.id == id; });
  EXPECT_NE(found, known.end());
  return found != known.end() ? found->standing : TargetStanding::Gone;
}

} // namespace

TEST(FleetState, VersionsOnlyRise)
{
  const ManualClock clock;
  FleetState state(clock);
  EXPECT_TRUE(state.UpdateRoutes({ 5, {}, {}, {} }));
  EXPECT_FALSE(state.UpdateRoutes({ 5, {}, {}, {} }));
  EXPECT_FALSE(state.UpdateRoutes({ 4, {}, {}, {} }));
  EXPECT_TRUE(state.UpdateTargets(SetOf(10, { Target(1) }), Millis{ 0 }));
  EXPECT_FALSE(state.UpdateTargets(SetOf(9, {}), Millis{ 0 }));
  EXPECT_EQ(state.KnownTargets().size(), 1U);
}

// Registrations lapse during a store outage and are renewed after it.
TEST(FleetState, ALapsedTargetIsGoneOnlyAfterItsGracePeriod)
{
  ManualClock clock;
  FleetState state(clock);
  state.UpdateTargets(SetOf(1, { Target(1), Target(2) }), Millis{ 0 });
  state.UpdateTargets(SetOf(2, { Target(1) }), Millis{ 0 });
  EXPECT_EQ(StandingOf(state, 2), TargetStanding::Vanished);
  clock.Advance(kLapsedTargetGracePeriod - Millis{ 100 });
  state.Tick();
  EXPECT_EQ(StandingOf(state, 2), TargetStanding::Vanished);
  clock.Advance(Millis{ 200 });
  EXPECT_TRUE(state.Tick());
  EXPECT_EQ(StandingOf(state, 2), TargetStanding::Gone);
  state.UpdateTargets(SetOf(3, { Target(1), Target(2) }), Millis{ 0 });
  EXPECT_EQ(StandingOf(state, 2), TargetStanding::Open);
}

TEST(FleetState, ADrainedTargetIsGoneAtOnce)
{
  const ManualClock clock;
  FleetState state(clock);
  state.UpdateTargets(SetOf(1, { Target(1, TargetState::Draining), Target(2) }),
                      Millis{ 0 });
  EXPECT_EQ(StandingOf(state, 1), TargetStanding::Leaving);
  state.UpdateTargets(SetOf(2, { Target(2) }), Millis{ 0 });
  EXPECT_EQ(StandingOf(state, 1), TargetStanding::Gone);
}

// The address of a deregistered server is reused by another service. New flows
// of the former service must not go there once the agent has spoken; the lapsed
// registration is forgotten like any other.
TEST(FleetState, AReusedAddressBelongsToItsNewService)
{
  ManualClock clock;
  FleetState state(clock);
  PeerTable peers(clock);
  const SearchOrder order(state, peers);
  state.UpdateTargets(SetOf(1, { Target(1) }), Millis{ 0 });
  auto reused = Target(1);
  reused.id = "other";
  reused.service = ServiceIdOf("other-service");
  state.UpdateTargets(SetOf(2, { reused }), Millis{ 0 });
  EXPECT_EQ(state.FindAgent(reused.agent)->target.service, reused.service);
  const auto former = state.TargetsOfService(ServiceIdOf("s"));
  ASSERT_EQ(former.size(), 1U);
  EXPECT_FALSE(order.AcceptsNewFlows(state.KnownTargets()[former.front()]));
  EXPECT_EQ(state.FindOwn({ reused.agent, reused.service }).standing,
            TargetStanding::Open);
  clock.Advance(kLapsedTargetGracePeriod);
  state.Tick();
  clock.Advance(kGoneTargetRetention);
  state.Tick();
  EXPECT_TRUE(state.TargetsOfService(ServiceIdOf("s")).empty());
}

// A server restarts under a new id before its old registration lapses, then
// drains and deregisters. Only one process can hold the port, so the old
// registration must not count.
TEST(FleetState, TheLatestStartAtAnAddressWins)
{
  ManualClock clock;
  FleetState state(clock);
  auto former = Target(1);
  former.startedAtMillis = 1000;
  auto later = Target(1, TargetState::Draining);
  later.id = "later";
  later.startedAtMillis = 2000;
  state.UpdateTargets(SetOf(1, { former, later }), Millis{ 0 });
  ASSERT_NE(state.FindAgent(former.agent), nullptr);
  EXPECT_EQ(state.FindAgent(former.agent)->standing, TargetStanding::Leaving);
  state.UpdateTargets(SetOf(2, {}), Millis{ 0 });
  EXPECT_EQ(state.FindAgent(former.agent)->standing, TargetStanding::Gone);
}

TEST(FleetState, EqualTargetsConfirmEachOther)
{
  ManualClock clock;
  FleetState state(clock);
  FleetState other(clock);
  state.UpdateTargets(SetOf(1, { Target(1), Target(2) }), Millis{ 0 });
  clock.Advance(Millis{ 700 });
  other.UpdateTargets(SetOf(9, { Target(2), Target(1) }), Millis{ 100 });
  EXPECT_FALSE(other.Digest().IsNewerThan(state.Digest()));
  state.Confirm(other.Digest());
  EXPECT_EQ(*state.Age(), Millis{ 100 });
  EXPECT_EQ(state.Digest().targets, 9U);
}

// Many agents of one service; the store reader dies or is disconnected.
TEST(ReadSchedule, RankZeroReadsAndTheNextTakesOver)
{
  ManualClock clock;
  FleetState state(clock);
  std::vector<RelayTarget> targets;
  for (std::uint16_t i = 1; i <= 20; ++i) {
    targets.push_back(Target(i));
  }
  state.UpdateTargets(SetOf(1, targets), Millis{ 0 });
  const PeerTable peers(clock);
  std::vector<std::uint32_t> ranks;
  for (const auto& target : targets) {
    ranks.push_back(ReaderRank(state, peers, target.agent));
  }
  std::ranges::sort(ranks);
  for (std::uint32_t i = 0; i < ranks.size(); ++i) {
    EXPECT_EQ(ranks[i], i);
  }
  const ReadSchedule schedule(clock, Millis{ 0 });
  const auto due = [&](std::uint32_t aRank, Millis aAge) {
    return schedule.IsDue(aRank, aAge);
  };
  EXPECT_TRUE(due(0, kStoreReadPeriod));
  EXPECT_FALSE(due(1, kStoreReadPeriod + Millis{ 200 }));
  EXPECT_TRUE(due(1, Millis{ 1100 }));
  EXPECT_FALSE(due(5, Millis{ 1100 }));
  EXPECT_TRUE(due(ReaderRank(state, peers, Endpoint{}), Millis{ 2200 }));
  EXPECT_TRUE(schedule.IsDue(7, std::nullopt));
}

// After a power failure of all VMs, the first peer that is asked has not
// started yet and would answer only after a second.
TEST(PullSchedule, ASilentPeerDoesNotDelayOtherPulls)
{
  ManualClock clock;
  PullSchedule pulls(clock);
  EXPECT_TRUE(pulls.Begin(1));
  EXPECT_FALSE(pulls.Begin(2)) << "the reply of peer 1 is not overdue yet";
  clock.Advance(kNextPullDelay);
  EXPECT_FALSE(pulls.Begin(1)) << "a pull from peer 1 is running";
  EXPECT_TRUE(pulls.Begin(2));
  pulls.End(2);
  EXPECT_TRUE(pulls.Begin(2)) << "the overdue pull must not block others";
}

// After a loss of power the seeds may start last. A peer that announces itself
// is asked soon, although no seed answers.
TEST(PullSchedule, SilentSeedsDoNotDelayAProcessWithoutState)
{
  ManualClock clock;
  PullSchedule pulls(clock);
  for (std::uint32_t seed = 1; seed <= 3; ++seed) {
    EXPECT_TRUE(pulls.Begin(seed, true));
    EXPECT_FALSE(pulls.Begin(9, true));
    clock.Advance(kNextUrgentPullDelay);
  }
  EXPECT_TRUE(pulls.Begin(9, true));
  EXPECT_FALSE(pulls.Begin(10, true));
}

TEST(PullSchedule, ConcurrentPullsAreLimited)
{
  ManualClock clock;
  PullSchedule pulls(clock);
  std::uint32_t begun = 0;
  for (std::uint32_t peer = 1; peer <= 100; ++peer) {
    clock.Advance(kNextPullDelay);
    begun += pulls.Begin(peer) ? 1 : 0;
  }
  EXPECT_EQ(begun, kMaxConcurrentPulls);
}

// 2,000 processes that start together would ask the store 86,000 times at once.
// The seeds ask it, the others ask them, and the store only if they are silent.
TEST(ReadSchedule, AStartingProcessAsksItsSeedsFirst)
{
  const std::vector<std::uint32_t> seeds = { 3, 4, 5 };
  EXPECT_EQ(StartReadDelay({ 4, seeds, true }), Millis{ 0 });
  EXPECT_EQ(StartReadDelay({ 9, {}, true }), Millis{ 0 });
  std::set<Millis> delays;
  std::size_t early = 0;
  for (std::uint32_t ip = 10; ip < 410; ++ip) {
    const auto first = StartReadDelay({ ip, seeds, true });
    EXPECT_GE(first, kFirstStartReadDelay);
    EXPECT_LT(first, 2 * kFirstStartReadDelay);
    const auto restart = StartReadDelay({ ip, seeds, false });
    early += restart < 2 * kRestartReadDelay ? 1 : 0;
    EXPECT_LT(restart, 2 * kLateRestartReadDelay);
    delays.insert(first);
  }
  EXPECT_GE(delays.size(), 300U);
  EXPECT_GE(early, 30U);
  EXPECT_LE(early, 75U);
  ManualClock clock;
  const ReadSchedule schedule(clock, Millis{ 100 });
  EXPECT_FALSE(schedule.IsDue(kMaxStoreTakeoverRank, std::nullopt));
  clock.Advance(Millis{ 100 });
  EXPECT_TRUE(schedule.IsDue(kMaxStoreTakeoverRank, std::nullopt));
  EXPECT_EQ(schedule.CauseOf(0, std::nullopt), ReadCause::Start);
}

TEST(ReadSchedule, AFailedReadDelaysTheNext)
{
  ManualClock clock;
  ReadSchedule schedule(clock, Millis{ 0 });
  schedule.OnReadFinished(false);
  EXPECT_FALSE(schedule.IsDue(0, Millis{ 5000 }));
  clock.Advance(kStoreRetryDelay);
  EXPECT_TRUE(schedule.IsDue(0, Millis{ 5000 }));
}

// Guards against reads at every tick when what is read is older than the state
// in force, so that its age is not renewed.
TEST(ReadSchedule, AReadThatRenewsNothingDelaysTheNext)
{
  ManualClock clock;
  ReadSchedule schedule(clock, Millis{ 0 });
  int reads = 0;
  for (Millis passed{ 0 }; passed < Millis{ 4000 }; passed += Millis{ 25 }) {
    if (schedule.IsDue(0, Millis{ 5000 } + passed)) {
      ++reads;
      schedule.OnReadFinished(true);
    }
    clock.Advance(Millis{ 25 });
  }
  EXPECT_EQ(reads, 4000 / kMinStoreReadGap.count());
}

TEST(PeerTable, AnAgentThatSendsNoLoadReportInTimeIsSilent)
{
  ManualClock clock;
  PeerTable peers(clock);
  RelayHeartbeat heartbeat;
  heartbeat.role = RelayRole::Agent;
  heartbeat.load.emplace_back();
  EXPECT_TRUE(peers.OnHeartbeat(1, heartbeat));
  EXPECT_FALSE(peers.OnHeartbeat(1, heartbeat));
  peers.OnFlowPlaced(1);
  clock.Advance(kLoadReportTimeout + Millis{ 1 });
  EXPECT_TRUE(peers.IsSilent(1));
  peers.OnHeartbeat(1, heartbeat);
  EXPECT_FALSE(peers.IsSilent(1));
  clock.Advance(kMaxMissedHeartbeats * kRelayHeartbeatPeriod + Millis{ 1 });
  EXPECT_TRUE(peers.IsSilent(1));
  heartbeat.incarnation = 2;
  EXPECT_TRUE(peers.OnHeartbeat(1, heartbeat));
}

TEST(PeerTable, AStoppedPeerIsSilentUntilItsSuccessorIsHeard)
{
  ManualClock clock;
  PeerTable peers(clock);
  RelayHeartbeat heartbeat;
  heartbeat.role = RelayRole::Agent;
  heartbeat.incarnation = 1;
  peers.OnHeartbeat(1, heartbeat);
  auto last = heartbeat;
  last.stopping = true;
  peers.OnHeartbeat(1, last);
  EXPECT_TRUE(peers.IsSilent(1));
  peers.OnHeartbeat(1, heartbeat);
  EXPECT_TRUE(peers.IsSilent(1)) << "an older datagram that arrived late";
  heartbeat.incarnation = 2;
  EXPECT_TRUE(peers.OnHeartbeat(1, heartbeat));
  EXPECT_FALSE(peers.IsSilent(1));
}

TEST(PeerTable, APeerThatNeverAnswersIsSilent)
{
  ManualClock clock;
  PeerTable peers(clock);
  EXPECT_FALSE(peers.IsSilent(1));
  peers.ExpectHeartbeats(1);
  EXPECT_FALSE(peers.IsSilent(1));
  clock.Advance(kMaxMissedHeartbeats * kRelayHeartbeatPeriod + Millis{ 1 });
  EXPECT_TRUE(peers.IsSilent(1));
}

// Backend servers of uneven speed and load in two failure domains; those in the
// other domain are chosen only if they save time.
class ExpectedWaitTest : public ::testing::Test
{
protected:
  ExpectedWaitTest()
    : state_(clock_)
    , peers_(clock_)
    , placement_(
        MakePlacementExpectedWait({ "even", 1 }, state_, peers_, clock_))
  {
    std::vector<RelayTarget> targets;
    for (std::uint16_t i = 1; i <= 4; ++i) {
      targets.push_back(Target(i));
      Report(i, 20000, 0);
    }
    state_.UpdateTargets(SetOf(1, targets), Millis{ 0 });
  }

  auto Report(std::uint16_t aNumber,
              std::uint32_t aServiceMicros,
              std::uint32_t aInFlight,
              bool aAcceptsFlows = true) -> void
  {
    RelayHeartbeat heartbeat;
    heartbeat.role = RelayRole::Agent;
    BackendLoad load;
    load.service = ServiceIdOf("s");
    load.slots = 4;
    load.serviceMicros = aServiceMicros;
    load.inFlight = aInFlight;
    load.acceptsFlows = aAcceptsFlows;
    heartbeat.load.push_back(load);
    peers_.OnHeartbeat(Target(aNumber).agent.ip, heartbeat);
  }

  auto Share(std::uint16_t aNumber) -> double
  {
    int hits = 0;
    for (std::uint16_t i = 0; i < 400; ++i) {
      const auto choice =
        placement_->Choose(ServiceIdOf("s"), FlowNumber(i), Endpoint{});
      hits += choice.agent == Target(aNumber).agent ? 1 : 0;
    }
    return hits / 400.0;
  }

  ManualClock clock_;
  FleetState state_;
  PeerTable peers_;
  std::unique_ptr<FirstPacketPlacement> placement_;
};

TEST_F(ExpectedWaitTest, StaysInItsFailureDomain)
{
  EXPECT_EQ(Share(1) + Share(3), 0);
  EXPECT_GT(Share(2), 0.0);
}

TEST_F(ExpectedWaitTest, GoesFartherWhenThatIsFaster)
{
  Report(2, 20000, 12);
  Report(4, 20000, 12);
  EXPECT_EQ(Share(2) + Share(4), 0);
}

TEST_F(ExpectedWaitTest, PrefersTheFasterServer)
{
  Report(2, 60000, 0);
  Report(4, 18000, 0);
  EXPECT_EQ(Share(2), 0);
}

TEST_F(ExpectedWaitTest, CountsItsOwnPlacementsBetweenReports)
{
  std::map<Endpoint, int> hits;
  for (std::uint16_t i = 0; i < 40; ++i) {
    const auto choice =
      placement_->Choose(ServiceIdOf("s"), FlowNumber(i), Endpoint{});
    peers_.OnFlowPlaced(choice.agent.ip);
    ++hits[choice.agent];
  }
  EXPECT_EQ(hits.size(), 4U);
}

TEST_F(ExpectedWaitTest, UsesAnUnresponsiveServerOnlyAsLastResort)
{
  Report(2, 20000, 0, false);
  Report(4, 20000, 0, false);
  EXPECT_EQ(Share(2) + Share(4), 0);
  Report(1, 20000, 0, false);
  Report(3, 20000, 0, false);
  EXPECT_GT(Share(1), 0);
}

TEST(PeerMessages, DecodeToWhatWasEncoded)
{
  FlowRegistration registration{ Agent(1), { FlowNumber(1), FlowNumber(2) } };
  const auto bytes = EncodePeerMessage({ registration });
  boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<void> {
      BOOST_LEAF_AUTO(message, DecodePeerMessage(bytes));
      const auto& got = std::get<FlowRegistration>(message.body);
      EXPECT_EQ(got.agent, registration.agent);
      EXPECT_EQ(got.flows, registration.flows);
      return {};
    },
    [] { FAIL() << "encoded message refused"; });
  StateReply reply;
  reply.targets.push_back(SetOf(3, { Target(1), Target(2) }));
  RouteTable table{ 4, Millis{ 15000 }, {}, {} };
  table.routes.emplace_back();
  table.routes.back().services.push_back({ ServiceIdOf("s"), 3 });
  reply.routes.push_back(table);
  boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<void> {
      BOOST_LEAF_AUTO(got, DecodeStateReply(EncodeStateReply(reply)));
      EXPECT_EQ(got.targets.front().Hash(), reply.targets.front().Hash());
      EXPECT_EQ(got.routes.front().routes.front().services.front().weight, 3U);
      return {};
    },
    [] { FAIL() << "encoded message refused"; });
}

TEST(PeerMessages, DecodersAcceptOrRefuseAnyBytes)
{
  Holds("peer messages of any bytes", [] {
    auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    if (!bytes.empty() && *rc::gen::arbitrary<bool>()) {
      bytes[0] = 1;
    }
    const auto refused = [](auto aDecode) {
      return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
          BOOST_LEAF_CHECK(aDecode());
          return false;
        },
        [] { return true; });
    };
    refused([&] { return DecodePeerMessage(bytes); });
    refused([&] { return DecodeStateRequest(bytes); });
    refused([&] { return DecodeStateReply(bytes); });
  });
}

TEST(PeerMessages, TruncatedMessagesAreRefused)
{
  const auto whole =
    EncodePeerMessage({ FlowLocation{ FlowNumber(1), Agent(2) } });
  for (std::size_t size = 0; size < whole.size(); ++size) {
    const bool refused = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_CHECK(DecodePeerMessage({ whole.data(), size }));
        return false;
      },
      [] { return true; });
    EXPECT_TRUE(refused) << size << " bytes accepted";
  }
}

} // namespace damaskwalk
