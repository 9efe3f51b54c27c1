// Large requests and large answers at an agent: what occupies a backend server
// is its work, not the time that bytes take on the way.

#include "relay/request_arrival.h"
#include "relay_model.h"
#include "test_support.h"

#include <algorithm>

namespace damaskwalk {

namespace {

constexpr std::uint32_t kParts = kModelUploadBytes / kModelPartBytes;

auto OpenFlows(RelayModel& aModel, std::size_t aCount)
  -> std::vector<std::size_t>
{
  std::vector<std::size_t> flows;
  for (std::size_t i = 0; i < aCount; ++i) {
    flows.push_back(aModel.Open(0, 0));
  }
  aModel.Run(Millis{ 10 });
  return flows;
}

// Sends the whole upload, with a pause after each packet.
auto Upload(RelayModel& aModel, std::size_t aFlow, Millis aPause) -> void
{
  for (std::uint32_t part = 0; part < kParts; ++part) {
    aModel.SendUploadPart(aFlow, 0, part);
    aModel.Run(aPause);
  }
}

} // namespace

// A sender on a slow link takes 1.2 s for its request; the server works 10 ms.
TEST(RelayUpload, ASlowSenderIsNoSlowServer)
{
  RelayModel model({ 1, 1 }, 1);
  model.SetServiceTime(0, Millis{ 10 });
  for (int i = 0; i < 5; ++i) {
    const auto flow = OpenFlows(model, 1).front();
    Upload(model, flow, Millis{ 100 });
    model.Run(Millis{ 50 });
    EXPECT_EQ(model.Flow(flow).answers, 1U);
  }
  EXPECT_NEAR(model.Agent(0).Report().serviceMicros, 10000, 2000);
}

// A packet is lost and sent again 200 ms later, after all others.
TEST(RelayUpload, ALostPacketDelaysTheSenderNotTheServer)
{
  RelayModel model({ 1, 1 }, 1);
  model.SetServiceTime(0, Millis{ 10 });
  for (int i = 0; i < 5; ++i) {
    const auto flow = OpenFlows(model, 1).front();
    for (std::uint32_t part = 0; part < kParts; ++part) {
      if (part != 4) {
        model.SendUploadPart(flow, 0, part);
      }
    }
    model.Run(Millis{ 200 });
    EXPECT_EQ(model.Agent(0).Report().inFlight, 0U);
    model.SendUploadPart(flow, 0, 4);
    model.Run(Millis{ 50 });
    EXPECT_EQ(model.Flow(flow).answers, 1U);
  }
  EXPECT_NEAR(model.Agent(0).Report().serviceMicros, 10000, 2000);
}

// Many slow senders keep their flows open at an idle server. They must not keep
// others out.
TEST(RelayUpload, SlowSendersLeaveRoomForOthers)
{
  RelayModel model({ 1, 1 }, 1);
  model.SetServiceTime(0, Millis{ 20 });
  model.SetSlots(0, 2);
  model.Publish();
  for (int i = 0; i < 20; ++i) {
    const auto slow = OpenFlows(model, 1).front();
    model.SendUploadPart(slow, 0, 0);
    model.Run(Millis{ 110 });
  }
  const auto flow = OpenFlows(model, 1).front();
  EXPECT_TRUE(model.Flow(flow).open);
  Upload(model, flow, Millis{ 0 });
  model.Run(Millis{ 50 });
  EXPECT_EQ(model.Flow(flow).answers, 1U);
}

// A burst of uploads on one server: those that opened together must not arrive
// together beyond the server's own queue.
TEST(RelayUpload, ABurstOfUploadsIsNotReset)
{
  RelayModel model({ 1, 1 }, 1);
  model.SetQueueLimit(8);
  model.SetServiceTime(0, Millis{ 10 });
  std::vector<std::size_t> flows;
  for (std::size_t i = 0; i < 60; ++i) {
    flows.push_back(model.Open(0, 0));
  }
  std::map<std::size_t, std::uint32_t> sent;
  for (int step = 0; step < 400; ++step) {
    model.Run(Millis{ 2 });
    for (const auto flow : flows) {
      if (model.Flow(flow).open && sent[flow] < kParts) {
        model.SendUploadPart(flow, 0, sent[flow]++);
      }
    }
  }
  EXPECT_EQ(model.RequestsReset(), 0U);
  for (const auto flow : flows) {
    EXPECT_EQ(model.Flow(flow).answers, 1U);
  }
}

// A planned stop of the server while a body is on its way: the flow stays and
// the request is answered once.
TEST(RelayUpload, ADrainingServerGetsTheRestOfTheBody)
{
  RelayModel model({ 2, 1 }, 2);
  const auto flow = OpenFlows(model, 1).front();
  const auto target = model.Flow(flow).target;
  for (std::uint32_t part = 0; part < kParts; ++part) {
    if (part == kParts / 2) {
      model.SetDraining(model.TargetIp(0) == target ? 0 : 1);
      model.Publish();
      model.RestartBalancer(0);
    }
    model.SendUploadPart(flow, part % 2, part);
    model.Run(Millis{ 5 });
  }
  model.Run(Millis{ 50 });
  EXPECT_FALSE(model.Flow(flow).reset);
  EXPECT_EQ(model.Flow(flow).answers, 1U);
}

// An agent that starts while a body is on its way has not seen its head. It
// measures nothing, and the answer passes.
TEST(RelayUpload, ARestartedAgentMeasuresNoPartOfARequest)
{
  RelayModel model({ 1, 1 }, 1);
  model.SetServiceTime(0, Millis{ 10 });
  const auto flow = OpenFlows(model, 1).front();
  for (std::uint32_t part = 0; part < kParts; ++part) {
    if (part == 6) {
      model.RestartAgent(0);
      model.Publish();
      model.Run(Millis{ 20 });
    }
    model.SendUploadPart(flow, 0, part);
    model.Run(Millis{ 40 });
  }
  EXPECT_EQ(model.Flow(flow).answers, 1U);
  EXPECT_EQ(model.Agent(0).Report().serviceMicros, 0U);
  EXPECT_EQ(model.Agent(0).Report().inFlight, 0U);
}

// A caller takes its large answer slowly: the packets that follow the first
// change neither load nor speed of the server.
TEST(RelayUpload, ASlowReceiverIsNoSlowServer)
{
  RelayModel model({ 1, 1 }, 1);
  model.SetServiceTime(0, Millis{ 10 });
  const auto flow = OpenFlows(model, 1).front();
  model.SendRequest(flow, 0);
  model.Run(Millis{ 30 });
  const auto before = model.Agent(0).Report();
  for (int i = 0; i < 30; ++i) {
    model.SendAnswerPart(0, flow);
    model.Run(Millis{ 40 });
  }
  const auto after = model.Agent(0).Report();
  EXPECT_EQ(before.serviceMicros, after.serviceMicros);
  EXPECT_EQ(after.inFlight, 0U);
}

TEST(RequestArrival, IsWholeWhenEveryByteArrivedInAnyOrder)
{
  Holds("arrival in any order, across the end of the numbers", [] {
    const auto first = *rc::gen::elementOf(
      std::vector<std::uint32_t>{ 1, 1U << 31, 0U - 3000, 0U - 12000 });
    std::vector<std::uint32_t> order;
    for (std::uint32_t part = 0; part < kParts; ++part) {
      order.push_back(part);
    }
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    std::ranges::shuffle(order, random);
    RequestArrival arrival;
    for (std::size_t i = 0; i < order.size(); ++i) {
      RC_ASSERT(!arrival.IsWhole());
      const auto part = order[i];
      const auto head =
        part == 0 ? std::optional(kModelUploadBytes) : std::nullopt;
      arrival.OnData(first + part * kModelPartBytes, kModelPartBytes, head);
      const auto again = order[random() % (i + 1)];
      arrival.OnData(
        first + again * kModelPartBytes, kModelPartBytes, std::nullopt);
    }
    RC_ASSERT(arrival.IsWhole());
    arrival.Begin();
    RC_ASSERT(!arrival.IsWhole());
  });
}

} // namespace damaskwalk
