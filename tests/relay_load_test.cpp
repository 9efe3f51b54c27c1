// Load and health that agents measure of their backend servers, and the
// queueing, ejection and placement that follow. Each test states the load that
// it guards against.

#include "relay/backend_meter.h"
#include "relay_model.h"
#include "test_support.h"

#include <algorithm>
#include <set>

namespace damaskwalk {

namespace {

auto ReportOf(RelayModel& aModel, std::size_t aTarget) -> BackendLoad
{
  return aModel.Agent(aTarget).Report();
}

} // namespace

// Callers close their direction after sending the request. The request stays in
// flight until its answer arrives.
TEST(RelayLoad, AHalfClosedFlowIsStillBusy)
{
  RelayModel model({ 1, 1 }, 1);
  model.SetServiceTime(0, Millis{ 50 });
  const auto flow = model.Open(0, 0);
  model.Run(Millis{ 10 });
  model.SendRequest(flow, 0);
  model.Close(flow, 0);
  model.Run(Millis{ 20 });
  EXPECT_EQ(ReportOf(model, 0).inFlight, 1U);
  model.Run(Millis{ 100 });
  EXPECT_EQ(ReportOf(model, 0).inFlight, 0U);
  EXPECT_NEAR(ReportOf(model, 0).serviceMicros, 50000, 2000);
}

// After an outage, more callers open flows at once than the backend servers'
// own queues hold. No request may be reset, and all are answered.
TEST(RelayLoad, ASurgeWaitsAtTheAgents)
{
  RelayModel model({ 3, 1 }, 2);
  model.SetQueueLimit(16);
  std::vector<std::size_t> flows;
  for (std::size_t i = 0; i < 200; ++i) {
    flows.push_back(model.Open(0, i % 2));
  }
  std::set<std::size_t> requested;
  for (int step = 0; step < 150; ++step) {
    model.Run(Millis{ 10 });
    for (const auto flow : flows) {
      if (model.Flow(flow).open && requested.insert(flow).second) {
        model.SendRequest(flow, flow % 2);
      }
    }
  }
  EXPECT_EQ(model.RequestsReset(), 0U);
  for (const auto flow : flows) {
    EXPECT_EQ(model.Flow(flow).answers, 1U);
  }
}

namespace {

// Opens flows one after the other and sends one request on each.
auto RunRequests(RelayModel& aModel, int aCount) -> void
{
  for (int i = 0; i < aCount; ++i) {
    const auto flow = aModel.Open(0, std::size_t(i) % aModel.Balancers());
    for (int wait = 0; wait < 20 && !aModel.Flow(flow).open; ++wait) {
      aModel.Run(Millis{ 2 });
    }
    aModel.SendRequest(flow, std::size_t(i) % aModel.Balancers());
    aModel.Run(Millis{ 2 });
  }
}

} // namespace

// A server that resets every request looks idle and fast, and would attract all
// traffic while its health check succeeds.
TEST(RelayLoad, AServerThatResetsAllRequestsIsEjected)
{
  RelayModel model({ 6, 1 }, 2);
  RunRequests(model, 50);
  model.SetResetShare(2, 1.0);
  RunRequests(model, 600);
  EXPECT_LE(model.RequestsReset(), 20U);
  // Once it works again, trials restore it.
  model.SetResetShare(2, 0);
  RunRequests(model, 1500);
  const auto opened = model.Opened(2);
  RunRequests(model, 300);
  EXPECT_GT(model.Opened(2), opened + 20);
}

// A server resets 40% of its requests.
TEST(RelayLoad, AServerThatResetsSomeRequestsIsEjected)
{
  RelayModel model({ 6, 1 }, 2);
  model.SetResetShare(1, 0.4);
  RunRequests(model, 600);
  EXPECT_LE(model.RequestsReset(), 30U);
}

// Every server of a service fails half of its requests. A service is never
// ejected as a whole, since that would overload the rest.
TEST(RelayLoad, AServiceIsNeverEjectedAsAWhole)
{
  RelayModel model({ 4, 1 }, 2);
  for (std::size_t i = 0; i < 4; ++i) {
    model.SetResetShare(i, 0.5);
  }
  RunRequests(model, 400);
  std::uint32_t opened = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    opened += model.Opened(i);
  }
  EXPECT_EQ(opened, 400U);
}

// A surge exceeds what can be served before the callers give up. A refusal
// makes a caller try again within milliseconds, so a first packet that will be
// retransmitted is dropped, and only the last retransmission is refused, at
// once.
TEST(RelayLoad, DefersASurgeAndRefusesLastRetransmissions)
{
  RelayModel model({ 1, 1 }, 1);
  model.SetServiceTime(0, Millis{ 400 });
  for (std::size_t i = 0; i < 8; ++i) {
    const auto flow = model.Open(0, 0);
    model.Run(Millis{ 5 });
    model.SendRequest(flow, 0);
  }
  model.Run(Millis{ 1000 }); // the agent has measured the service time by now
  std::vector<std::size_t> flows;
  for (std::size_t i = 0; i < 60; ++i) {
    flows.push_back(model.Open(0, 0));
  }
  model.Run(Millis{ 10 });
  const auto refused = [&] {
    return std::ranges::count_if(
      flows, [&](std::size_t aFlow) { return model.Flow(aFlow).reset; });
  };
  EXPECT_EQ(refused(), 0);
  for (const auto flow : flows) {
    model.RetransmitFirstPacket(flow, 0, 2);
  }
  model.Run(Millis{ 10 });
  EXPECT_GE(refused(), 40);
  EXPECT_LE(refused(), 52);
}

// A server begins to drain, or stops answering, while first packets are queued
// for it. They must be redirected to other servers at once.
TEST(RelayLoad, WaitingFirstPacketsLeaveADrainingServer)
{
  RelayModel model({ 2, 1 }, 1);
  model.SetServiceTime(0, Millis{ 300 });
  std::vector<std::size_t> flows;
  for (std::size_t i = 0; i < 60; ++i) {
    flows.push_back(model.Open(0, 0));
  }
  model.Run(Millis{ 10 });
  for (const auto flow : flows) {
    if (model.Flow(flow).open) {
      model.SendRequest(flow, 0);
    }
  }
  model.Run(Millis{ 10 });
  const auto opened = model.Opened(0);
  ASSERT_GT(model.Agent(0).QueuedOpenings(), 0U);
  model.SetDraining(0);
  model.Publish();
  model.Run(Millis{ 30 });
  EXPECT_EQ(model.Agent(0).QueuedOpenings(), 0U);
  model.Run(Millis{ 1000 });
  EXPECT_EQ(model.Opened(0), opened);
}

// An agent is stopped while first packets wait for room at its server. They go
// on at once instead of being lost until the callers' retransmissions.
TEST(RelayLoad, WaitingFirstPacketsLeaveAStoppingAgent)
{
  RelayModel model({ 2, 1 }, 1);
  model.SetServiceTime(0, Millis{ 300 });
  std::vector<std::size_t> flows;
  for (std::size_t i = 0; i < 60; ++i) {
    flows.push_back(model.Open(0, 0));
  }
  model.Run(Millis{ 10 });
  const auto waiting = model.Agent(0).QueuedOpenings();
  const auto elsewhere = model.Opened(1) + model.Agent(1).QueuedOpenings();
  ASSERT_GT(waiting, 0U);
  model.StopAgentGracefully(0);
  model.Run(Millis{ 20 });
  EXPECT_GE(model.Opened(1) + model.Agent(1).QueuedOpenings(),
            elsewhere + waiting);
}

TEST(RelayLoad, ARetransmissionOpensAfterTheSurge)
{
  RelayModel model({ 1, 1 }, 1);
  model.SetServiceTime(0, Millis{ 100 });
  RunRequests(model, 8);
  model.Run(Millis{ 1000 });
  std::vector<std::size_t> flows;
  for (std::size_t i = 0; i < 80; ++i) {
    flows.push_back(model.Open(0, 0));
  }
  std::set<std::size_t> requested;
  for (int step = 0; step < 200; ++step) {
    model.Run(Millis{ 10 });
    for (const auto flow : flows) {
      if (step == 20 || step == 60) {
        model.RetransmitFirstPacket(flow, 0, step == 20 ? 1 : 2);
      }
      if (model.Flow(flow).open && requested.insert(flow).second) {
        model.SendRequest(flow, 0);
      }
    }
  }
  const auto answered = std::ranges::count_if(
    flows, [&](std::size_t aFlow) { return model.Flow(aFlow).answers == 1; });
  EXPECT_GE(answered, 50);
}

// Order of the queue: openings that can meet their objective, by priority, then
// those that are late in any case, by priority.
TEST(OpeningQueue, TakesOnTimeOpeningsFirstByPriority)
{
  const TimePoint now{ std::chrono::seconds{ 10 } };
  const auto entry =
    [&](std::uint16_t aNumber, std::uint32_t aPriority, Millis aLeft) {
      WaitingOpening opening;
      opening.flow = FlowNumber(aNumber);
      opening.firstSentAt = now;
      opening.objectiveDeadline = now + aLeft;
      opening.priority = aPriority;
      return opening;
    };
  OpeningQueue queue;
  queue.Add(entry(1, 2, Millis{ -10 }));
  queue.Add(entry(2, 2, Millis{ 100 }));
  // Its answer would come 30 ms from now, after its objective.
  queue.Add(entry(3, 1, Millis{ 10 }));
  queue.Add(entry(4, 1, Millis{ 100 }));
  queue.Add(entry(5, 2, Millis{ 90 }));
  std::vector<FlowKey> order;
  while (const auto next =
           queue.TakeNext(now, std::chrono::milliseconds{ 30 })) {
    order.push_back(next->flow);
  }
  const std::vector<FlowKey> expected = {
    FlowNumber(4), FlowNumber(2), FlowNumber(5), FlowNumber(3), FlowNumber(1)
  };
  EXPECT_EQ(order, expected);
}

namespace {

// One backend server gets a backlog of flows and, for a second, as many new
// requests as it can answer.
// @return number of answers within the default latency objective.
auto AnswersOnTime(Millis aServiceTime, std::uint32_t aSlots, int aBacklog)
  -> std::size_t
{
  constexpr Millis kStep{ 5 };
  RelayModel model({ 1, 1 }, 1);
  model.SetServiceTime(0, aServiceTime);
  model.SetSlots(0, aSlots);
  model.Publish();
  RunRequests(model, 8);
  model.Run(Millis{ 1000 });
  std::map<std::size_t, TimePoint> begun;
  std::set<std::size_t> requested;
  std::set<std::size_t> answered;
  std::size_t onTime = 0;
  const auto open = [&] { begun[model.Open(0, 0)] = model.Now(); };
  for (int i = 0; i < aBacklog; ++i) {
    open();
  }
  Millis sinceOpened{ 0 };
  for (int step = 0; step < 400; ++step) {
    sinceOpened += kStep;
    if (step < 200 && sinceOpened * aSlots >= aServiceTime) {
      sinceOpened = Millis{ 0 };
      open();
    }
    model.Run(kStep);
    for (const auto& [flow, since] : begun) {
      if (model.Flow(flow).open && requested.insert(flow).second) {
        model.SendRequest(flow, 0);
      }
      if (model.Flow(flow).answers == 1 && answered.insert(flow).second) {
        onTime += model.Now() - since <= kDefaultLatencyObjective ? 1 : 0;
      }
    }
  }
  return onTime;
}

} // namespace

// A surge after an outage. Requests already at the backend server delay an
// answer as much as the queue does; a first packet that would be late because
// of them must yield to one that can still be on time.
TEST(RelayLoad, AfterAnOutageFreshRequestsAreOnTime)
{
  EXPECT_GE(AnswersOnTime(Millis{ 40 }, 2, 30), 40U);
}

// The same surge with a slow server. Requests queued inside the server cannot
// be reordered, so the agent must admit only a few.
TEST(RelayLoad, ColdServersStillAnswerFreshRequestsOnTime)
{
  EXPECT_GE(AnswersOnTime(Millis{ 100 }, 4, 40), 36U);
}

// A request that can be on time is not deferred behind a long queue of late
// ones, since it is served before them.
TEST(OpeningQueue, CountsWhatIsServedFirst)
{
  const TimePoint now{ std::chrono::seconds{ 10 } };
  const auto entry = [&](std::uint16_t aNumber, Millis aLeft) {
    WaitingOpening opening;
    opening.flow = FlowNumber(aNumber);
    opening.firstSentAt = now;
    opening.objectiveDeadline = now + aLeft;
    opening.expiresAt = now + Millis{ 1000 };
    return opening;
  };
  OpeningQueue queue;
  for (std::uint16_t i = 0; i < 50; ++i) {
    queue.Add(entry(i, Millis{ i < 3 ? 100 : 10 }));
  }
  const Millis time{ 30 };
  EXPECT_EQ(queue.CountAhead(entry(90, Millis{ 200 }), now, time), 3U);
  EXPECT_EQ(queue.CountAhead(entry(90, Millis{ 10 }), now, time), 50U);
  // Nothing can be answered within 30 ms from 980 ms on.
  EXPECT_TRUE(queue.TakeExpired(now + Millis{ 960 }, time).empty());
  EXPECT_EQ(queue.TakeExpired(now + Millis{ 980 }, time).size(), 50U);
}

// A route's time is shorter than what its server takes: a clerk who waits for
// the last retransmission would be told after 600 ms. Requests whose answer
// cannot come in time are refused at once, those that can are answered.
TEST(RelayLoad, WhatCannotBeAnsweredInTimeIsRefusedAtOnce)
{
  RelayModel model({ 1, 1 }, 1);
  model.SetRouteTimeout(Millis{ 500 });
  model.SetServiceTime(0, Millis{ 450 });
  model.SetSlots(0, 2);
  model.Publish();
  RunRequests(model, 2);
  model.Run(Millis{ 1000 }); // the agent has measured the service time by now
  std::vector<std::size_t> flows;
  for (std::size_t i = 0; i < 10; ++i) {
    flows.push_back(model.Open(0, 0));
  }
  model.Run(Millis{ 10 });
  std::size_t open = 0;
  for (const auto flow : flows) {
    if (model.Flow(flow).open) {
      model.SendRequest(flow, 0);
      ++open;
    }
  }
  EXPECT_GE(open, 2U);
  model.Run(Millis{ 40 });
  const auto refused = std::ranges::count_if(
    flows, [&](std::size_t aFlow) { return model.Flow(aFlow).reset; });
  EXPECT_EQ(open + std::size_t(refused), flows.size());
}

// A retransmission of a queued first packet neither adds an entry nor delays
// the expiry of the first one.
TEST(OpeningQueue, ARetransmissionReplacesTheQueuedOpening)
{
  const TimePoint now{ std::chrono::seconds{ 10 } };
  OpeningQueue queue;
  for (int i = 0; i < 3; ++i) {
    WaitingOpening opening;
    opening.flow = FlowNumber(1);
    opening.firstSentAt = now + Millis{ i };
    opening.expiresAt = now + 2 * kMaxFirstPacketAge;
    queue.Add(opening);
  }
  EXPECT_EQ(queue.Size(), 1U);
  EXPECT_EQ(queue.TakeExpired(now + kMaxFirstPacketAge, {}).size(), 1U);
  EXPECT_EQ(queue.Size(), 0U);
}

// One caller opens a burst of flows, and others one each right after it. They
// must not wait for the whole burst.
TEST(RelayLoad, OtherCallersAreServedDuringABurstOfOne)
{
  RelayModel model({ 1, 1 }, 1);
  model.SetServiceTime(0, Millis{ 20 });
  RunRequests(model, 20);
  model.Run(Millis{ 1500 });
  std::vector<std::size_t> burst;
  std::vector<std::size_t> others;
  model.SetCaller(1);
  for (std::size_t i = 0; i < 40; ++i) {
    burst.push_back(model.Open(0, 0));
  }
  model.Run(Millis{ 10 });
  for (std::uint32_t caller = 2; caller < 7; ++caller) {
    model.SetCaller(caller);
    others.push_back(model.Open(0, 0));
  }
  const auto openOf = [&](const std::vector<std::size_t>& aFlows) {
    return std::ranges::count_if(
      aFlows, [&](std::size_t aFlow) { return model.Flow(aFlow).open; });
  };
  std::set<std::size_t> requested;
  int steps = 0;
  for (; steps < 200 && openOf(others) < 5; ++steps) {
    for (const auto& flows : { burst, others }) {
      for (const auto flow : flows) {
        if (model.Flow(flow).open && requested.insert(flow).second) {
          model.SendRequest(flow, 0);
        }
      }
    }
    model.Run(Millis{ 5 });
  }
  RecordProperty("burst_opened", std::to_string(openOf(burst)));
  RecordProperty("waited",
                 std::to_string(model.Agent(0).Counters().waitedForShare));
  EXPECT_EQ(openOf(others), 5);
  EXPECT_LE(openOf(burst), 20);
  EXPECT_GT(model.Agent(0).Counters().waitedForShare, 0U);
}

} // namespace damaskwalk
