// Shares of callers and of priorities among the first packets that wait in an
// agent. Each test states the load or the failure that it guards against.

#include "relay/caller_shares.h"

#include "relay/limits.h"
#include "relay/opening_queue.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>

namespace damaskwalk {

namespace {

constexpr TimePoint kStart{ std::chrono::seconds{ 1000 } };
constexpr Millis kTimeToAnswer{ 30 };
constexpr std::uint32_t kHeavy = 1;

// An agent's queue in front of a backend server that opens one flow per 10 ms.
class QueueModel
{
public:
  // Callers from 1 on.
  auto SetRate(std::uint32_t aCaller,
               std::uint32_t aPriority,
               double aPerSecond) -> void
  {
    rates_[{ aCaller, aPriority }] = aPerSecond;
  }

  auto Run(Millis aFor) -> void
  {
    constexpr Millis kStep{ 10 };
    for (const auto end = now_ + aFor; now_ < end; now_ += kStep) {
      std::vector<Source> arrivals;
      for (const auto& [source, rate] : rates_) {
        std::poisson_distribution<std::size_t> count(rate * 0.010);
        arrivals.insert(arrivals.end(), count(random_), source);
      }
      std::ranges::shuffle(arrivals, random_);
      for (const auto& [caller, priority] : arrivals) {
        Add(caller, priority);
      }
      expired_ += queue_.TakeExpired(now_, kTimeToAnswer).size();
      if (const auto taken = queue_.TakeNext(now_, kTimeToAnswer)) {
        queue_.OnAdmitted(taken->flow.caller.ip, now_);
        ++admitted_;
        ++byCaller_[taken->flow.caller.ip];
        ++byPriority_[taken->priority];
        waitedForShare_ += taken->waitedForShare ? 1 : 0;
        byFloor_ += taken->takenByFloor ? 1 : 0;
      }
    }
  }

  auto ResetCounts() -> void
  {
    admitted_ = 0;
    sent_.clear();
    byCaller_.clear();
    byPriority_.clear();
  }
  auto Sent(std::uint32_t aCaller) -> double { return sent_[aCaller]; }
  auto Admitted() const -> double { return admitted_; }
  auto ByCaller(std::uint32_t aCaller) -> double { return byCaller_[aCaller]; }
  auto ByPriority(std::uint32_t aPriority) -> double
  {
    return byPriority_[aPriority];
  }
  auto WaitedForShare() const -> std::size_t { return waitedForShare_; }
  auto ByFloor() const -> std::size_t { return byFloor_; }
  auto Expired() const -> std::size_t { return expired_; }

private:
  auto Add(std::uint32_t aCaller, std::uint32_t aPriority) -> void
  {
    ++sent_[aCaller];
    WaitingOpening opening;
    opening.flow = { { aCaller, nextPort_++ }, { 0x0A010001, 80 } };
    opening.firstSentAt = now_;
    opening.objectiveDeadline = now_ + kDefaultLatencyObjective;
    opening.expiresAt = now_ + kDefaultRouteTimeout;
    opening.priority = aPriority;
    queue_.Add(std::move(opening));
  }

  using Source = std::pair<std::uint32_t, std::uint32_t>;

  TimePoint now_ = kStart;
  OpeningQueue queue_;
  std::map<Source, double> rates_;
  std::mt19937 random_{ 1 };
  std::uint16_t nextPort_ = 1;
  double admitted_ = 0;
  std::map<std::uint32_t, double> sent_;
  std::map<std::uint32_t, double> byCaller_;
  std::map<std::uint32_t, double> byPriority_;
  std::size_t waitedForShare_ = 0;
  std::size_t byFloor_ = 0;
  std::size_t expired_ = 0;
};

} // namespace

// One caller sends ten times what each of the others does and would get half of
// the capacity, while the others' first packets expire.
TEST(CallerShares, AHeavyCallerGetsNoMoreThanItsShare)
{
  QueueModel model;
  model.SetRate(kHeavy, 0, 150);
  for (std::uint32_t caller = 2; caller <= 10; ++caller) {
    model.SetRate(caller, 0, 15);
  }
  model.Run(Millis{ 5000 });
  const auto mean = model.Admitted() / 10;
  RecordProperty("share_of_mean",
                 std::to_string(model.ByCaller(kHeavy) / mean));
  EXPECT_LE(model.ByCaller(kHeavy), 1.3 * mean);
  for (std::uint32_t caller = 2; caller <= 10; ++caller) {
    EXPECT_GE(model.ByCaller(caller), 0.7 * mean) << caller;
  }
  EXPECT_GT(model.WaitedForShare(), 0U);
}

// Capacity that the others do not use must not stay idle because a caller is
// above its share.
TEST(CallerShares, UnusedSharesAreLent)
{
  QueueModel model;
  model.SetRate(kHeavy, 0, 150);
  model.Run(Millis{ 100 });
  model.ResetCounts();
  model.Run(Millis{ 2000 });
  EXPECT_EQ(model.ByCaller(kHeavy), 200);
  // The others ask for 45 of 100 openings a second; the rest is lent.
  for (std::uint32_t caller = 2; caller <= 10; ++caller) {
    model.SetRate(caller, 0, 5);
  }
  model.Run(Millis{ 1000 });
  model.ResetCounts();
  model.Run(Millis{ 4000 });
  EXPECT_EQ(model.Admitted(), 400);
  double others = 0;
  for (std::uint32_t caller = 2; caller <= 10; ++caller) {
    others += model.Sent(caller);
    EXPECT_GE(model.ByCaller(caller), model.Sent(caller) - 1) << caller;
  }
  EXPECT_GE(model.ByCaller(kHeavy), 400 - others - 5);
}

// A caller that had all of the capacity must not be served last for long after
// it has stopped sending more than the others.
TEST(CallerShares, AShareRecoversWithinASecond)
{
  CallerShares shares;
  auto now = kStart;
  for (std::uint32_t i = 0; i < 100; ++i, now += Millis{ 1 }) {
    shares.OnWaiting(2, now);
    shares.OnAdmitted(kHeavy, now);
  }
  ASSERT_TRUE(shares.IsAboveShare(kHeavy, now));
  for (const auto end = now + Millis{ 1000 }; now < end; now += Millis{ 10 }) {
    shares.OnWaiting(2, now);
    shares.OnAdmitted(2, now);
  }
  EXPECT_FALSE(shares.IsAboveShare(kHeavy, now));
  EXPECT_FALSE(shares.IsAboveShare(kHeavy, now + Millis{ 1000 }));
}

// The caller that waits for the first time must go before the backlog of the
// only caller so far, and not only after its own first admission.
TEST(CallerShares, AnOnlyCallerIsAboveItsShareOnceAnotherWaits)
{
  CallerShares shares;
  shares.OnWaiting(kHeavy, kStart);
  shares.OnAdmitted(kHeavy, kStart);
  EXPECT_FALSE(shares.IsAboveShare(kHeavy, kStart));
  shares.OnWaiting(2, kStart);
  EXPECT_TRUE(shares.IsAboveShare(kHeavy, kStart));
  EXPECT_FALSE(shares.IsAboveShare(2, kStart));
}

// More callers than counters: nobody below its share may be marked, and a
// caller that has more than two counters' worth of the admissions must be.
TEST(CallerShares, ErrorsWithThousandsOfCallersAreBounded)
{
  CallerShares shares;
  std::mt19937 random(1);
  std::uniform_int_distribution<std::uint32_t> others(100, 5099);
  std::map<std::uint32_t, double> admitted;
  constexpr std::uint32_t kAdmissions = 20000;
  shares.OnWaiting(kHeavy, kStart);
  for (std::uint32_t i = 0; i < kAdmissions; ++i) {
    // Callers 1 to 5 have 4% each.
    const auto caller = i % 5 == 0 ? 1 + i / 5 % 5 : others(random);
    shares.OnAdmitted(caller, kStart);
    ++admitted[caller];
  }
  const auto mean = kAdmissions / double(admitted.size());
  for (const auto& [caller, count] : admitted) {
    const bool marked = shares.IsAboveShare(caller, kStart);
    EXPECT_TRUE(!marked || count > mean) << caller;
    EXPECT_TRUE(marked || count <= 2.0 * kAdmissions / kCallerShareCounters)
      << caller;
  }
  EXPECT_LE(shares.KnownCallers(), 2 * kCallerShareCounters);
}

// The counter that a new caller takes over holds the admissions of another one.
TEST(CallerShares, ANewCallerDoesNotInheritAdmissions)
{
  CallerShares shares;
  shares.OnWaiting(100, kStart);
  for (std::uint32_t i = 0; i < 50 * kCallerShareCounters; ++i) {
    shares.OnAdmitted(100 + i % kCallerShareCounters, kStart);
  }
  EXPECT_FALSE(shares.IsAboveShare(kHeavy, kStart));
  shares.OnAdmitted(kHeavy, kStart);
  EXPECT_FALSE(shares.IsAboveShare(kHeavy, kStart));
  EXPECT_EQ(shares.KnownCallers(), kCallerShareCounters);
}

// Without waiting first packets no state is kept, and it ends a second after
// the last one.
TEST(CallerShares, AreOffWhileNothingWaits)
{
  CallerShares shares;
  shares.OnAdmitted(kHeavy, kStart);
  EXPECT_EQ(shares.KnownCallers(), 0U);
  shares.OnWaiting(2, kStart);
  shares.OnAdmitted(kHeavy, kStart + kCallerShareMemory - Millis{ 1 });
  EXPECT_TRUE(
    shares.IsAboveShare(kHeavy, kStart + kCallerShareMemory - Millis{ 1 }));
  shares.OnAdmitted(3, kStart + kCallerShareMemory);
  EXPECT_EQ(shares.KnownCallers(), 2U);
}

// A VM that was suspended continues with a time that is far ahead; admissions
// from before it must not count as recent.
TEST(CallerShares, AreForgottenAfterASuspension)
{
  CallerShares shares;
  shares.OnWaiting(2, kStart);
  for (int i = 0; i < 100; ++i) {
    shares.OnAdmitted(kHeavy, kStart);
  }
  ASSERT_TRUE(shares.IsAboveShare(kHeavy, kStart));
  const auto later = kStart + std::chrono::hours{ 1 };
  EXPECT_FALSE(shares.IsAboveShare(kHeavy, later));
  shares.OnWaiting(2, later);
  shares.OnAdmitted(kHeavy, later);
  shares.OnAdmitted(2, later);
  EXPECT_FALSE(shares.IsAboveShare(kHeavy, later));
  EXPECT_EQ(shares.KnownCallers(), 2U);
}

// The mark of a share must not put an urgent caller behind a less urgent one,
// nor one that can be on time behind a late one.
TEST(CallerShares, OrderOnlyWithinAClassAndPriority)
{
  OpeningQueue queue;
  const auto add =
    [&](std::uint32_t aCaller, std::uint32_t aPriority, Millis aLeft) {
      WaitingOpening opening;
      opening.flow = { { aCaller, 1000 }, { 0x0A010001, 80 } };
      opening.firstSentAt = kStart;
      opening.objectiveDeadline = kStart + aLeft;
      opening.priority = aPriority;
      queue.Add(std::move(opening));
    };
  add(kHeavy, 0, Millis{ 200 });
  add(2, 1, Millis{ 200 });
  add(3, 0, Millis{ 10 });
  add(4, 0, Millis{ 200 });
  queue.TakeNext(kStart, kTimeToAnswer); // starts the counting
  add(kHeavy, 0, Millis{ 200 });
  add(5, 0, Millis{ 200 });
  queue.OnAdmitted(kHeavy, kStart);
  std::vector<std::uint32_t> order;
  std::vector<std::uint32_t> waitedForShare;
  while (const auto next = queue.TakeNext(kStart, kTimeToAnswer)) {
    order.push_back(next->flow.caller.ip);
    if (next->waitedForShare) {
      waitedForShare.push_back(next->flow.caller.ip);
    }
  }
  EXPECT_EQ(order, (std::vector<std::uint32_t>{ 4, 5, kHeavy, 2, 3 }));
  EXPECT_EQ(waitedForShare, (std::vector<std::uint32_t>{ kHeavy }));
}

// A flood of urgent first packets; the less urgent kinds would be served only
// once they are late, or never.
TEST(OpeningQueueFloor, NoPriorityWaitsIndefinitely)
{
  QueueModel model;
  model.SetRate(1, 0, 200);
  model.SetRate(2, 3, 20);
  model.SetRate(3, 5, 20);
  model.Run(Millis{ 10000 });
  RecordProperty("urgent",
                 std::to_string(model.ByPriority(0) / model.Admitted()));
  EXPECT_GE(model.ByPriority(0), 0.85 * model.Admitted());
  EXPECT_GE(model.ByPriority(3), 0.05 * model.Admitted());
  EXPECT_GE(model.ByPriority(5), 0.05 * model.Admitted());
  EXPECT_GE(model.ByFloor(), std::size_t(0.11 * model.Admitted()));
}

// The floor must not take capacity from the only priority that waits, nor go to
// first packets that are late in any case.
TEST(OpeningQueueFloor, IsOffWhileOnePriorityWaits)
{
  QueueModel model;
  model.SetRate(1, 0, 200);
  model.SetRate(2, 0, 20);
  model.Run(Millis{ 3000 });
  EXPECT_EQ(model.ByFloor(), 0U);

  OpeningQueue queue;
  for (std::uint16_t port = 1; port <= 40; ++port) {
    WaitingOpening opening;
    opening.flow = { { 1, port }, { 0x0A010001, 80 } };
    opening.priority = port % 2;
    opening.objectiveDeadline = kStart + Millis{ port % 2 ? 10 : 200 };
    queue.Add(std::move(opening));
  }
  while (const auto next = queue.TakeNext(kStart, kTimeToAnswer)) {
    EXPECT_FALSE(next->takenByFloor);
  }
}

// A less urgent first packet that the floor serves in time must not be refused
// on arrival because of the urgent ones before it.
TEST(OpeningQueueFloor, IsKnownToThePredictedWait)
{
  OpeningQueue queue;
  WaitingOpening opening;
  opening.objectiveDeadline = kStart + Millis{ 200 };
  for (std::uint16_t port = 1; port <= 100; ++port) {
    opening.flow = { { 1, port }, { 0x0A010001, 80 } };
    queue.Add(opening);
  }
  opening.flow = { { 2, 1 }, { 0x0A010001, 80 } };
  opening.priority = 1;
  const auto ahead = queue.CountAhead(opening, kStart, kTimeToAnswer);
  EXPECT_EQ(ahead, kAdmissionsPerFloor - 1);
  queue.Add(opening);
  std::size_t taken = 0;
  while (queue.TakeNext(kStart, kTimeToAnswer)->priority == 0) {
    ++taken;
  }
  EXPECT_EQ(taken, ahead);
}

} // namespace damaskwalk
