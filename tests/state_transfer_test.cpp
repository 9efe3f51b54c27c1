// State between relays: targets travel as changes. Whatever is lost, repeated,
// reordered or wrong, a process ends with the same targets as the store.

#include "relay/state_transfer.h"
#include "test_support.h"

#include <algorithm>

namespace damaskwalk {

namespace {

auto TargetNumber(std::size_t aNumber, std::uint32_t aSlots) -> RelayTarget
{
  RelayTarget target;
  target.id = "t" + std::to_string(aNumber);
  target.service = ServiceIdOf("s");
  target.agent = { 0x0A000000 + static_cast<std::uint32_t>(aNumber), 80 };
  target.failureDomain = "d";
  target.slots = aSlots;
  return target;
}

auto SetOf(std::uint64_t aRevision, std::size_t aCount) -> TargetSet
{
  TargetSet set;
  set.revision = aRevision;
  for (std::size_t i = 0; i < aCount; ++i) {
    set.targets.push_back(TargetNumber(i, 4));
  }
  return set;
}

struct Process
{
  explicit Process(const Clock& aClock)
    : state(aClock)
    , transfer(state)
  {
    state.UpdateRoutes({ 1, Millis{ 0 }, {}, {} });
  }

  auto Take(const TargetSet& aSet) -> void
  {
    if (state.UpdateTargets(aSet, Millis{ 0 })) {
      transfer.OnTargetsChanged();
    }
  }
  // The reply of a peer, encoded and decoded.
  auto ReplyTo(Process& aRequester) -> StateReply
  {
    const auto bytes = EncodeStateRequest(aRequester.transfer.MakeRequest());
    return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<StateReply> {
        BOOST_LEAF_AUTO(request, DecodeStateRequest(bytes));
        return DecodeStateReply(EncodeStateReply(transfer.MakeReply(request)));
      },
      [] {
        ADD_FAILURE() << "message refused";
        return StateReply{};
      });
  }
  auto Apply(const StateReply& aReply) -> void
  {
    if (transfer.Apply(aReply, Millis{ 0 })) {
      transfer.OnTargetsChanged();
    }
  }

  FleetState state;
  StateTransfer transfer;
};

} // namespace

TEST(StateTransfer, ChangesTravelAsADelta)
{
  ManualClock clock;
  Process reader(clock);
  Process other(clock);
  auto set = SetOf(1, 200);
  reader.Take(set);
  const auto whole = reader.ReplyTo(other);
  EXPECT_EQ(whole.targets.size(), 1U);
  other.Apply(whole);
  set.revision = 2;
  set.targets[7].slots = 5;
  set.targets.erase(set.targets.begin() + 9);
  set.targets.push_back(TargetNumber(300, 2));
  reader.Take(set);
  const auto delta = reader.ReplyTo(other);
  EXPECT_TRUE(delta.targets.empty());
  ASSERT_EQ(delta.deltas.size(), 1U);
  EXPECT_EQ(delta.deltas.front().changed.size(), 2U);
  EXPECT_EQ(delta.deltas.front().removed, std::vector<std::string>{ "t9" });
  EXPECT_LT(EncodeStateReply(delta).size(), 400U);
  other.Apply(delta);
  EXPECT_EQ(other.state.Targets().Hash(), set.Hash());
  EXPECT_EQ(other.state.Digest().targets, 2U);
}

// A starting process gets everything packed: 900 routes and 136 targets take
// 20 kB of a seed's link instead of 190 kB of the store's.
TEST(StateTransfer, WholeStateIsPackedOnce)
{
  ManualClock clock;
  Process seed(clock);
  RouteTable table;
  table.version = 7;
  for (std::uint16_t i = 0; i < 900; ++i) {
    RelayRoute route;
    route.name = "r-3hh2b9w" + std::to_string(i);
    route.address = { 0xC6120000U + i, 8443 };
    route.timeout = Millis{ 3000 };
    route.services.push_back({ ServiceIdOf("s"), 1 });
    table.routes.push_back(route);
  }
  seed.state.UpdateRoutes(table);
  seed.Take(SetOf(5, 136));
  FleetState empty(clock);
  StateTransfer other(empty);
  const auto reply = seed.transfer.MakeReply(other.MakeRequest());
  const auto bytes = EncodeStateReply(reply);
  EXPECT_LT(bytes.size(), 20000U);
  EXPECT_EQ(seed.transfer.MakeReply(other.MakeRequest()).packed, reply.packed);
  boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<void> {
      BOOST_LEAF_AUTO(got, DecodeStateReply(bytes));
      EXPECT_TRUE(other.Apply(got, Millis{ 0 }));
      return {};
    },
    [] { FAIL() << "packed state refused"; });
  EXPECT_EQ(empty.Routes().routes.size(), 900U);
  EXPECT_EQ(empty.Targets().Hash(), seed.state.Targets().Hash());
  for (std::size_t size = 0; size < bytes.size(); size += 97) {
    boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(cut, DecodeStateReply({ bytes.data(), size }));
        EXPECT_TRUE(cut.routes.empty());
        return {};
      },
      [] {});
  }
}

// A process of an earlier release asks without deltas and gets the whole set.
TEST(StateTransfer, EarlierReleasesGetTheWholeSet)
{
  ManualClock clock;
  Process reader(clock);
  reader.Take(SetOf(1, 5));
  const auto known = reader.state.Digest();
  reader.Take(SetOf(2, 6));
  const auto reply = reader.transfer.MakeReply({ known, false });
  EXPECT_EQ(reply.targets.size(), 1U);
  EXPECT_TRUE(reply.deltas.empty());
}

// A delta that starts from another set, or claims another result, changes
// nothing; the whole set is asked for.
TEST(StateTransfer, AFalseDeltaLeadsToTheWholeSet)
{
  ManualClock clock;
  Process reader(clock);
  Process other(clock);
  reader.Take(SetOf(1, 20));
  other.Apply(reader.ReplyTo(other));
  reader.Take(SetOf(2, 21));
  auto reply = reader.ReplyTo(other);
  ASSERT_EQ(reply.deltas.size(), 1U);
  reply.deltas.front().changed.front().slots = 9;
  other.Apply(reply);
  EXPECT_EQ(other.state.Targets().targets.size(), 20U);
  EXPECT_EQ(other.transfer.Counts().deltasRefused, 1U);
  const auto whole = reader.ReplyTo(other);
  EXPECT_EQ(whole.targets.size(), 1U);
  other.Apply(whole);
  EXPECT_EQ(other.state.Targets().Hash(), reader.state.Targets().Hash());
}

TEST(StateTransfer, AnyOrderOfRepliesEndsWithTheStoresTargets)
{
  Holds("deltas lost, repeated, reordered, and restarts", [] {
    ManualClock clock;
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    std::vector<std::unique_ptr<Process>> processes;
    for (int i = 0; i < 4; ++i) {
      processes.push_back(std::make_unique<Process>(clock));
    }
    auto set = SetOf(1, 12);
    std::vector<std::pair<std::size_t, StateReply>> delayed;
    for (int step = 0; step < 120; ++step) {
      const auto reader = random() % 4;
      const auto other = random() % 4;
      switch (random() % 6) {
        case 0:
          ++set.revision.number;
          if (!set.targets.empty() && random() % 2 == 0) {
            set.targets.erase(set.targets.begin() +
                              std::ptrdiff_t(random() % set.targets.size()));
          } else {
            set.targets.push_back(TargetNumber(20 + std::size_t(step),
                                               std::uint32_t(random() % 3)));
          }
          break;
        case 1:
          processes[reader]->Take(set);
          break;
        case 2:
          delayed.emplace_back(other,
                               processes[reader]->ReplyTo(*processes[other]));
          break;
        case 3:
          if (!delayed.empty()) {
            const auto& [to, reply] = delayed[random() % delayed.size()];
            processes[to]->Apply(reply);
          }
          break;
        case 4:
          if (random() % 5 == 0) {
            processes[other] = std::make_unique<Process>(clock);
          }
          break;
        default:
          processes[other]->Apply(
            processes[reader]->ReplyTo(*processes[other]));
          break;
      }
    }
    ++set.revision.number;
    processes[0]->Take(set);
    for (int round = 0; round < 2; ++round) {
      for (int i = 1; i < 4; ++i) {
        processes[i]->Apply(processes[0]->ReplyTo(*processes[i]));
      }
    }
    for (const auto& process : processes) {
      RC_ASSERT(process->state.Targets().Hash() == set.Hash());
    }
  });
}

// A fleet of two releases, of which the earlier one does not know the ports of
// backend servers. Guards against sets that are equal and pass for different
// ones, so that every process pulls them whole at each change, and against
// ports that are lost by a pull from the earlier release.
TEST(StateTransfer, PortsDoNotSetReleasesApart)
{
  const ManualClock clock;
  Process later(clock);
  Process earlier(clock);
  auto set = SetOf(5, 20);
  earlier.Take(set);
  for (auto& target : set.targets) {
    target.backendPort = 8165;
  }
  later.Take(set);
  EXPECT_EQ(later.state.Digest().targetsHash,
            earlier.state.Digest().targetsHash);
  auto next = SetOf(6, 21);
  earlier.Take(next);
  later.transfer.Apply(earlier.ReplyTo(later), Millis{ 1 });
  const auto& targets = later.state.Targets().targets;
  ASSERT_EQ(targets.size(), 21U);
  EXPECT_EQ(std::ranges::count(targets, 8165, &RelayTarget::backendPort), 20);
  // The rest comes with the next pull from a process that knows it.
  Process other(clock);
  next = SetOf(7, 22);
  for (auto& target : next.targets) {
    target.backendPort = 8165;
  }
  other.Take(next);
  later.transfer.Apply(other.ReplyTo(later), Millis{ 1 });
  EXPECT_EQ(std::ranges::count(
              later.state.Targets().targets, 8165, &RelayTarget::backendPort),
            22);
}

} // namespace damaskwalk
