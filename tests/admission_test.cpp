#include "test_support.h"

#include "core/admission.h"
#include "core/budget.h"
#include "core/flow_table.h"
#include "core/placement.h"

#include <map>

namespace damaskwalk {
namespace {

using std::chrono::seconds;

auto MakeTicket(std::uint64_t aId, const std::string& aCaller, TimePoint aNow)
  -> Ticket
{
  return { aId, aCaller, 1, 1, aNow + seconds(60), aNow };
}

TEST(FairQueue, HeavyCallerGetsOnlyItsShare)
{
  ManualClock clock;
  FairQueue queue({ 10000, 10000 });
  std::uint64_t id = 0;
  for (int i = 0; i < 5000; ++i) {
    queue.Push(MakeTicket(++id, "heavy", clock.Now()));
  }
  for (int i = 0; i < 100; ++i) {
    for (const auto* caller : { "a", "b", "c" }) {
      queue.Push(MakeTicket(++id, caller, clock.Now()));
    }
  }
  std::map<std::string, int> served;
  std::vector<Ticket> expired;
  for (int i = 0; i < 200; ++i) {
    ++served[queue.Pop(clock.Now(), expired)->caller];
  }
  for (const auto& [caller, count] : served) {
    EXPECT_NEAR(count, 50, 2) << caller;
  }
}

TEST(FairQueue, DoubleWeightGetsTwiceTheTurns)
{
  ManualClock clock;
  FairQueue queue({ 10000, 10000 });
  std::uint64_t id = 0;
  for (int i = 0; i < 3000; ++i) {
    auto ticket = MakeTicket(++id, "double", clock.Now());
    ticket.weight = 2;
    queue.Push(ticket);
    queue.Push(MakeTicket(++id, "single", clock.Now()));
  }
  std::map<std::string, int> served;
  std::vector<Ticket> expired;
  for (int i = 0; i < 900; ++i) {
    ++served[queue.Pop(clock.Now(), expired)->caller];
  }
  EXPECT_NEAR(served["double"], 600, 5);
}

TEST(FairQueue, LowPriorityIsNotStarved)
{
  ManualClock clock;
  FairQueue queue({ 10000, 10000 });
  std::uint64_t id = 0;
  for (int i = 0; i < 200; ++i) {
    auto ticket = MakeTicket(++id, "c", clock.Now());
    ticket.priority = i % 2 == 0 ? 0 : 2;
    queue.Push(ticket);
  }
  int late = 0;
  std::vector<Ticket> expired;
  for (int i = 0; i < 100; ++i) {
    late += queue.Pop(clock.Now(), expired)->priority == 2 ? 1 : 0;
  }
  EXPECT_NEAR(late, 20, 2);
}

// No ticket is lost or served twice under any order of calls.
TEST(FairQueue, EveryTicketLeavesTheQueueOnce)
{
  Holds("tickets end once", [](std::uint64_t aSeed) {
    std::mt19937_64 random(aSeed);
    ManualClock clock;
    FairQueue queue({ 200, 60 });
    std::map<std::uint64_t, int> ends;
    std::size_t waiting = 0;
    std::uint64_t id = 0;
    const auto end = [&](std::uint64_t aId) {
      ++ends[aId];
      --waiting;
    };
    for (int step = 0; step < 800; ++step) {
      std::vector<Ticket> expired;
      switch (random() % 6) {
        case 0:
        case 1:
        case 2: {
          auto ticket =
            MakeTicket(++id, "c" + std::to_string(random() % 5), clock.Now());
          ticket.priority = random() % 4;
          ticket.deadline = clock.Now() + Millis{ 1 + random() % 200 };
          waiting += queue.Push(ticket) == Refusal::None ? 1 : 0;
          break;
        }
        case 3:
          if (auto ticket = queue.Pop(clock.Now(), expired)) {
            if (random() % 3 == 0) {
              queue.PushFront(*ticket);
            } else {
              end(ticket->id);
            }
          }
          break;
        case 4:
          if (id > 0) {
            const auto victim = 1 + random() % id;
            if (queue.Remove(victim)) {
              end(victim);
            }
          }
          break;
        default:
          clock.Advance(Millis{ random() % 30 });
          expired = queue.TakeExpired(clock.Now());
          break;
      }
      for (const auto& ticket : expired) {
        end(ticket.id);
      }
      RC_ASSERT(queue.Size() == waiting);
    }
    for (const auto& [ticket, times] : ends) {
      RC_ASSERT(times == 1);
    }
  });
}

TEST(SlotGauge, LimitGrowsWithCompletionsUpToTheSlots)
{
  ManualClock clock;
  SlotGauge gauge(4, clock.Now());
  EXPECT_EQ(gauge.Limit(), 1U);
  for (int i = 0; i < 40; ++i) {
    while (gauge.TryAcquire(clock.Now())) {
    }
    EXPECT_LE(gauge.Busy(), 4U);
    clock.Advance(Millis{ 10 });
    while (gauge.Busy() > 0) {
      gauge.Release(clock.Now());
      gauge.OnCompletion(Millis{ 10 }, true, clock.Now());
    }
  }
  EXPECT_EQ(gauge.Limit(), 4U);
  gauge.OnShed();
  EXPECT_EQ(gauge.Limit(), 2U);
  gauge.OnColdStart();
  EXPECT_EQ(gauge.Limit(), 1U);
}

TEST(SlotGauge, FastErrorsMakeServerUnhealthyUntilRetryDelay)
{
  ManualClock clock;
  SlotGauge gauge(4, clock.Now());
  for (int i = 0; i < 10; ++i) {
    gauge.OnCompletion(Millis{ 1 }, false, clock.Now());
  }
  EXPECT_FALSE(gauge.IsHealthy(clock.Now()));
  clock.Advance(Millis{ 2500 });
  EXPECT_TRUE(gauge.IsHealthy(clock.Now()));
}

// A caller sends unevenly through several agents, which exchange its demand
// twice a second.
TEST(RateShare, AgentsTogetherAdmitThePublishedRate)
{
  for (const std::size_t agents : { 2U, 4U, 8U }) {
    ManualClock clock;
    std::mt19937_64 random(agents);
    std::vector<RateShare> shares(agents);
    std::size_t admitted = 0;
    for (int step = 0; step < 20000; ++step) {
      clock.Advance(Millis{ 1 });
      // 500 requests per second; over half of them through the first agent.
      if (step % 2 == 0) {
        const auto agent = random() % 2 == 0 ? 0 : random() % agents;
        const bool in = shares[agent].Admit("c", 100, clock.Now());
        admitted += in && step >= 5000 ? 1 : 0;
      }
      if (step % 500 == 0) {
        for (std::size_t from = 0; from < agents; ++from) {
          for (std::size_t to = 0; to < agents; ++to) {
            if (from != to) {
              shares[to].OnReport(Agent(static_cast<std::uint16_t>(from)),
                                  shares[from].HeaviestCallers(clock.Now()),
                                  clock.Now());
            }
          }
        }
      }
    }
    EXPECT_NEAR(static_cast<double>(admitted) / 15, 100, 10) << agents;
  }
}

TEST(ControlBudget, BudgetIsNotExceededAndReservesRoomForLiveness)
{
  ManualClock clock;
  ControlBudget budget({ 5000, 20000 }, clock.Now());
  while (budget.TrySpend(ControlClass::Hint, 100, clock.Now())) {
  }
  EXPECT_TRUE(budget.TrySpend(ControlClass::Directory, 1000, clock.Now()));
  while (budget.TrySpend(ControlClass::Document, 100, clock.Now())) {
  }
  EXPECT_TRUE(budget.TrySpend(ControlClass::Liveness, 1000, clock.Now()));
  for (int step = 0; step < 10000; ++step) {
    clock.Advance(Millis{ 1 });
    for (int i = 0; i < 5; ++i) {
      budget.TrySpend(static_cast<ControlClass>(i % 4), 80, clock.Now());
    }
  }
  EXPECT_LE(budget.TotalBytes(), 20000U + 10U * 5000U);
}

TEST(Placement, UnusableOrFullAgentIsNotChosen)
{
  Holds("only usable ones", [](std::uint64_t aSeed) {
    std::mt19937_64 random(aSeed);
    std::vector<Candidate> candidates(1 + random() % 9);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
      candidates[i].agent = Agent(static_cast<std::uint16_t>(i));
      candidates[i].usable = random() % 3 != 0;
      candidates[i].limit = 1 + random() % 4;
      candidates[i].busy = random() % 5;
    }
    for (const auto kind : { PlacementKind::Spare,
                             PlacementKind::FlowsOnly,
                             PlacementKind::TwoChoices,
                             PlacementKind::Random,
                             PlacementKind::RoundRobin,
                             PlacementKind::Hash }) {
      const auto policy = MakePlacement(kind, aSeed);
      const auto flow = policy->PlaceFlow(candidates, aSeed);
      // RC_ASSERT evaluates both sides of an or.
      const bool flowFits = flow == Placement::kNone || candidates[flow].usable;
      RC_ASSERT(flowFits);
      const auto server = policy->PlaceRequest(candidates, 0);
      const bool serverFits =
        server == Placement::kNone || candidates[server].HasFreeSlot();
      RC_ASSERT(serverFits);
    }
  });
}

TEST(Directory, HigherEpochWinsAndFirstOwnerStays)
{
  Directory directory;
  const auto flow = FlowNumber(1);
  EXPECT_EQ(directory.Register({ flow, Agent(1), 1, 0 }),
            RegisterResult::Accepted);
  EXPECT_EQ(directory.Register({ flow, Agent(2), 1, 0 }),
            RegisterResult::Rejected);
  EXPECT_EQ(directory.Register({ flow, Agent(2), 2, 0 }),
            RegisterResult::Moved);
  directory.Release(flow, Agent(1));
  EXPECT_EQ(directory.Find(flow)->owner, Agent(2));
  EXPECT_EQ(directory.FlowsOf(Agent(2)).size(), 1U);
}

TEST(HintTable, TableIsBoundedAndDropsDeadOwner)
{
  HintTable hints(1024);
  for (std::uint16_t i = 0; i < 20000; ++i) {
    hints.Set(FlowNumber(i), Agent(i % 7));
  }
  EXPECT_LE(hints.Size(), 1024U);
  hints.DropOwner(Agent(3));
  for (std::uint16_t i = 0; i < 20000; ++i) {
    EXPECT_NE(hints.Find(FlowNumber(i)), Agent(3));
  }
}

} // namespace
} // namespace damaskwalk
