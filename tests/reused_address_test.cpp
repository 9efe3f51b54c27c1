// Addresses outlive the VMs that had them: what was known of a former VM must
// not be believed of its successor.

#include "relay/limits.h"
#include "relay/peer_table.h"
#include "relay/search_order.h"
#include "relay_model.h"
#include "test_support.h"

namespace damaskwalk {

namespace {

constexpr std::uint32_t kIp = 0x0A000001;

auto HeartbeatOf(std::uint64_t aIncarnation, bool aStopping) -> RelayHeartbeat
{
  RelayHeartbeat heartbeat;
  heartbeat.role = RelayRole::Agent;
  heartbeat.incarnation = aIncarnation;
  heartbeat.stopping = aStopping;
  heartbeat.load.emplace_back();
  heartbeat.load.front().noFlows = aStopping;
  return heartbeat;
}

} // namespace

// The former VM's registration has not lapsed, and the successor's is not known
// anywhere. Guards against first packets of the former service, and against
// requests that the successor's server runs for it.
TEST(ReusedAddress, OpensNoFlowOfItsFormerServiceBeforeItsRegistration)
{
  RelayModel model({ 6, 3 }, 2);
  model.ReuseAddress(1, 1);
  model.ReuseAddress(2, 1);
  const std::vector<std::uint32_t> opened{ model.Opened(1), model.Opened(2) };
  std::vector<std::size_t> flows;
  for (std::size_t i = 0; i < 200; ++i) {
    flows.push_back(model.Open(0, i % 2));
    model.Run(Millis{ 5 });
    model.SendRequest(flows.back(), i % 2);
  }
  model.Run(Millis{ 300 });
  EXPECT_EQ(model.Opened(1), opened[0]);
  EXPECT_EQ(model.Opened(2), opened[1]);
  EXPECT_EQ(model.ForeignPackets(), 0U);
  for (const auto flow : flows) {
    EXPECT_EQ(model.Flow(flow).answers, 1U);
  }
}

// VMs are lost and their addresses used again in any order, with restarts and
// changes of routes, while registrations lag behind at some processes.
TEST(ReusedAddress, NoServerGetsFirstPacketsOfAnotherService)
{
  Holds("no first packet reaches another service's server", [] {
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    RelayModel model({ 4, 3, 2 }, 2, seed);
    std::vector<std::size_t> flows;
    for (int step = 0; step < *rc::gen::inRange(3, 12); ++step) {
      const auto target = *rc::gen::inRange<std::size_t>(0, model.Targets());
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
        case 1:
          model.ReuseAddress(target, *rc::gen::inRange<std::size_t>(0, 3));
          break;
        case 2:
          model.RestartAgent(target);
          break;
        case 3:
          model.PublishTo([seed, step](std::uint32_t aIp) {
            return Mix(aIp, seed + static_cast<std::uint64_t>(step)) % 2 == 0;
          });
          break;
        default:
          model.RestartAll();
          break;
      }
      for (std::size_t i = 0; i < 9; ++i) {
        flows.push_back(model.Open(i % 3, i % 2));
      }
      model.Run(Millis{ *rc::gen::inRange(1, 200) });
      for (const auto flow : flows) {
        if (model.Flow(flow).open && !model.Flow(flow).reset) {
          model.SendRequest(flow, 0);
        }
      }
      model.Run(Millis{ 30 });
      RC_ASSERT(model.ForeignPackets() == 0U);
    }
  });
}

// The last report of a former process arrives after the first of its successor.
// Guards against a successor that passes for stopped.
TEST(ReusedAddress, ALateReportOfTheFormerProcessIsIgnored)
{
  ManualClock clock;
  PeerTable peers(clock);
  peers.OnHeartbeat(kIp, HeartbeatOf(1, false));
  EXPECT_TRUE(peers.OnHeartbeat(kIp, HeartbeatOf(2, false)));
  EXPECT_FALSE(peers.OnHeartbeat(kIp, HeartbeatOf(1, true)));
  EXPECT_FALSE(peers.IsSilent(kIp));
  EXPECT_FALSE(peers.HasStoppedWithoutFlows(kIp, clock.Now()));
  EXPECT_EQ(peers.Find(kIp)->incarnation, 2U);
}

// An agent stopped without flows. That says nothing of a server that registered
// at its address later, nor of an agent whose next start is not announced here.
TEST(ReusedAddress, AnAgentThatStoppedWithoutFlowsMayHaveASuccessor)
{
  ManualClock clock;
  PeerTable peers(clock);
  const auto registered = clock.Now();
  peers.OnHeartbeat(kIp, HeartbeatOf(1, true));
  EXPECT_TRUE(peers.HasStoppedWithoutFlows(kIp, registered));
  clock.Advance(Millis{ 2000 });
  EXPECT_FALSE(peers.HasStoppedWithoutFlows(kIp, clock.Now()));
  peers.SetWatched({ kIp + 1 });
  EXPECT_FALSE(peers.HasStoppedWithoutFlows(kIp, registered));
  peers.SetWatched({ kIp });
  EXPECT_TRUE(peers.HasStoppedWithoutFlows(kIp, registered));
  peers.SetFar({ kIp }, { { DomainIdOf("far"), { kIp } } });
  EXPECT_FALSE(peers.HasStoppedWithoutFlows(kIp, registered));
}

// A balancer's address is used again by an agent that has not been heard, while
// the balancer's last heartbeat is remembered. Guards against a search that
// leaves the agent out.
TEST(ReusedAddress, ABalancersAddressMayHaveAnAgentNow)
{
  ManualClock clock;
  PeerTable peers(clock);
  const auto before = clock.Now();
  clock.Advance(Millis{ 1 });
  RelayHeartbeat heartbeat;
  heartbeat.incarnation = 1;
  peers.OnHeartbeat(kIp, heartbeat);
  EXPECT_TRUE(peers.RunsNoAgent(kIp, before));
  clock.Advance(Millis{ 2000 });
  EXPECT_FALSE(peers.RunsNoAgent(kIp, clock.Now()));
  EXPECT_FALSE(peers.RunsNoAgent(kIp + 1, before));
}

} // namespace damaskwalk
