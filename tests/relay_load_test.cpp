// What agents measure of their backend servers and where balancers send new
// flows for it. Each test names the load that it answers.

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

// Pattern: callers close their direction once the request is sent. The request
// is still in flight until its answer comes.
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

// Pattern: many callers at once after an outage, more than the backend servers'
// own queues hold. None is broken off; all are served in time, or refused.
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
  EXPECT_EQ(model.ResetRequests(), 0U);
  for (const auto flow : flows) {
    EXPECT_EQ(model.Flow(flow).answers, 1U);
  }
}

namespace {

// Opens flows one after the other and asks once on each.
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

// Pattern: a server that breaks every request off looks idle and fast, and
// would draw all the traffic while its health check is good.
TEST(RelayLoad, AServerThatResetsAllRequestsIsEjected)
{
  RelayModel model({ 6, 1 }, 2);
  RunRequests(model, 50);
  model.SetResetShare(2, 1.0);
  RunRequests(model, 600);
  EXPECT_LE(model.ResetRequests(), 20U);
  // Once it is well again, trials bring it back.
  model.SetResetShare(2, 0);
  RunRequests(model, 1500);
  const auto opened = model.Opened(2);
  RunRequests(model, 300);
  EXPECT_GT(model.Opened(2), opened + 20);
}

// Pattern: a server fails part of its requests.
TEST(RelayLoad, AServerThatResetsSomeRequestsIsEjected)
{
  RelayModel model({ 6, 1 }, 2);
  model.SetResetShare(1, 0.4);
  RunRequests(model, 600);
  EXPECT_LE(model.ResetRequests(), 30U);
}

// Pattern: most of a service fails; ejecting it would overload the rest.
TEST(RelayLoad, FlowsOpenWhenMostOfAServiceFails)
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

// Pattern: a surge beyond what can be served before the callers' time is up. A
// refusal makes a caller try again within milliseconds, so whoever can send a
// copy is left to it, and only the last copy is refused, at once.
TEST(RelayLoad, DefersASurgeAndRefusesLastRetransmissions)
{
  RelayModel model({ 1, 1 }, 1);
  model.SetServiceTime(0, Millis{ 400 });
  for (std::size_t i = 0; i < 8; ++i) {
    const auto flow = model.Open(0, 0);
    model.Run(Millis{ 5 });
    model.SendRequest(flow, 0);
  }
  model.Run(Millis{ 1000 }); // its service time is known now
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

// Pattern: a server begins to drain, or stops answering, while first packets
// wait for it. They go on to other servers at once.
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

// The order in the queue: urgent kinds that can be on time, others that can,
// then those that are late either way.
TEST(OpeningQueue, TakesOnTimeThenUrgentOpeningsFirst)
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
  queue.Add(entry(3, 1, Millis{ 10 })); // would be late after 30 ms of work
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

// One backend server meets a backlog and, for a second, as many new requests as
// it can answer.
// @return answers within the default objective.
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

// Pattern: the surge after an outage. What the backend server has already
// delays the answer as much as the wait here; a first packet that would be late
// for that gives way to one that can be on time.
TEST(RelayLoad, AfterAnOutageFreshRequestsAreOnTime)
{
  EXPECT_GE(AnswersOnTime(Millis{ 40 }, 2, 30), 40U);
}

// Pattern: the same surge before cold servers. What waits inside the server
// cannot be put in order any more, so little is let in.
TEST(RelayLoad, ColdServersStillAnswerFreshRequestsOnTime)
{
  EXPECT_GE(AnswersOnTime(Millis{ 100 }, 4, 40), 36U);
}

// A copy of a waiting first packet neither doubles nor delays it.
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
  EXPECT_EQ(queue.DropExpired(now + kMaxFirstPacketAge), 1U);
  EXPECT_EQ(queue.Size(), 0U);
}

} // namespace damaskwalk
