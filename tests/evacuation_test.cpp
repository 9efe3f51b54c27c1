// Evacuations of failure domains: who knows of them, and where new flows go.

#include "platform/route_decoder.h"
#include "platform/store_decoder.h"
#include "relay/cold_start_limit.h"
#include "relay/limits.h"
#include "relay/state_transfer.h"
#include "relay_model.h"
#include "test_support.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace damaskwalk {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

using Domains = std::vector<std::string>;

auto Text(std::string_view aText) -> std::string
{
  namespace base64 = boost::beast::detail::base64;
  std::string encoded(base64::encoded_size(aText.size()), '\0');
  encoded.resize(base64::encode(encoded.data(), aText.data(), aText.size()));
  return encoded;
}

// A process that has routes, targets and the given evacuations.
struct Process
{
  explicit Process(const Clock& aClock)
    : state(aClock)
    , transfer(state)
  {
    state.UpdateRoutes({ 1, Millis{ 0 }, {}, {} });
    TargetSet set;
    set.revision = 1;
    state.UpdateTargets(set, Millis{ 0 });
  }

  // One exchange, if the peer's heartbeat calls for it.
  auto Hear(Process& aPeer) -> void
  {
    const auto digest = aPeer.state.Digest();
    state.Confirm(digest);
    if (!digest.IsNewerThan(state.Digest())) {
      return;
    }
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(
          request,
          DecodeStateRequest(EncodeStateRequest(transfer.MakeRequest())));
        const auto reply = aPeer.transfer.MakeReply(request);
        BOOST_LEAF_AUTO(read, DecodeStateReply(EncodeStateReply(reply)));
        transfer.Apply(std::move(read), Millis{ 1 });
        return {};
      },
      [] { FAIL() << "undecodable"; });
  }

  FleetState state;
  StateTransfer transfer;
};

auto OpenedInDomain(const RelayModel& aModel, std::uint32_t aDomain)
  -> std::uint32_t
{
  std::uint32_t opened = 0;
  for (std::size_t i = 0; i < aModel.Targets(); ++i) {
    opened += aModel.TargetIp(i) % 3 == aDomain ? aModel.Opened(i) : 0;
  }
  return opened;
}

auto OpenFlows(RelayModel& aModel, std::size_t aCount)
  -> std::vector<std::size_t>
{
  std::vector<std::size_t> flows;
  for (std::size_t i = 0; i < aCount; ++i) {
    flows.push_back(aModel.Open(0, i % aModel.Balancers()));
    aModel.Run(Millis{ 2 });
  }
  aModel.Run(Millis{ 100 });
  for (const auto flow : flows) {
    if (aModel.Flow(flow).open) {
      aModel.SendRequest(flow, 0);
    }
  }
  aModel.Run(Millis{ 100 });
  return flows;
}

} // namespace

TEST(Evacuation, NewFlowsLeaveTheDomainAndOpenOnesStay)
{
  RelayModel model({ 9, 3 }, 2);
  const auto flows = OpenFlows(model, 30);
  const auto before = OpenedInDomain(model, 0);
  EXPECT_GT(before, 0U);
  model.Evacuate({ "domain-0" });
  for (const auto flow : flows) {
    model.SendRequest(flow, 1);
  }
  OpenFlows(model, 30);
  EXPECT_EQ(OpenedInDomain(model, 0), before);
  for (const auto flow : flows) {
    EXPECT_EQ(model.Flow(flow).answers, 2U);
    EXPECT_FALSE(model.Flow(flow).reset);
  }
  model.Evacuate({});
  OpenFlows(model, 30);
  EXPECT_GT(OpenedInDomain(model, 0), before);
}

// First packets that wait in the queue of an agent when its domain is
// evacuated go to another domain.
TEST(Evacuation, WaitingFirstPacketsLeaveTheDomain)
{
  RelayModel model({ 6, 1 }, 1);
  for (std::size_t i = 0; i < 6; ++i) {
    model.SetSlots(i, 1);
    model.SetServiceTime(i, Millis{ 150 });
  }
  model.Publish();
  std::vector<std::size_t> waiting;
  for (std::size_t i = 0; i < 40; ++i) {
    waiting.push_back(model.Open(0, 0));
  }
  model.Run(Millis{ 20 });
  std::erase_if(waiting,
                [&model](std::size_t aFlow) { return model.Flow(aFlow).open; });
  ASSERT_GE(waiting.size(), 10U);
  model.Evacuate({ "domain-0" });
  for (int i = 0; i < 12; ++i) {
    model.Run(Millis{ 100 });
    for (const auto flow : waiting) {
      if (model.Flow(flow).open && model.Flow(flow).answers == 0) {
        model.SendRequest(flow, 0);
      }
    }
  }
  std::size_t elsewhere = 0;
  for (const auto flow : waiting) {
    const auto target = model.Flow(flow).target;
    EXPECT_TRUE(target == 0 || target % 3 != 0);
    elsewhere += target != 0 ? 1 : 0;
  }
  EXPECT_GT(elsewhere, 0U);
}

// Nothing but evacuated servers is left. Refused at once, not disobeyed.
TEST(Evacuation, FlowsAreRefusedIfEveryDomainIsEvacuated)
{
  RelayModel model({ 6, 1 }, 1);
  model.Evacuate({ "domain-0", "domain-1", "domain-2" });
  const auto flows = OpenFlows(model, 5);
  for (const auto flow : flows) {
    EXPECT_TRUE(model.Flow(flow).reset);
  }
  EXPECT_EQ(model.Opened(0) + model.Opened(1) + model.Opened(2), 0U);
}

// A balancer that has not heard of the evacuation still chooses the domain. The
// agents there pass its first packets on.
TEST(Evacuation, AgentsGuardAgainstABalancerThatDoesNotKnow)
{
  RelayModel model({ 9, 3 }, 2);
  model.Evacuate({ "domain-0" });
  model.RestartBalancer(0);
  const auto before = OpenedInDomain(model, 0);
  const auto flows = OpenFlows(model, 20);
  EXPECT_EQ(OpenedInDomain(model, 0), before);
  for (const auto flow : flows) {
    EXPECT_TRUE(model.Flow(flow).open);
  }
}

TEST(Evacuation, TheNewestRevisionHoldsInAnyOrder)
{
  Holds("the set of the highest revision is in force", [] {
    ManualClock clock;
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 12);
    std::vector<EvacuationSet> history;
    for (std::uint64_t revision = 1; revision <= count; ++revision) {
      Domains domains;
      for (const char* name : { "a", "b" }) {
        if (*rc::gen::arbitrary<bool>()) {
          domains.emplace_back(name);
        }
      }
      history.push_back({ revision, domains });
    }
    std::vector<std::unique_ptr<Process>> processes;
    for (int i = 0; i < 4; ++i) {
      processes.push_back(std::make_unique<Process>(clock));
    }
    const auto pick = [&] {
      return *rc::gen::inRange<std::size_t>(0, processes.size());
    };
    for (int step = 0; step < 30; ++step) {
      if (*rc::gen::inRange(0, 3) == 0) {
        // A read that is told to nobody yet, perhaps of a process that dies.
        const auto read = *rc::gen::inRange<std::size_t>(0, count);
        processes[pick()]->state.UpdateEvacuations(history[read]);
      } else if (*rc::gen::inRange(0, 6) == 0) {
        processes[pick()] = std::make_unique<Process>(clock);
      } else {
        processes[pick()]->Hear(*processes[pick()]);
      }
    }
    processes[0]->state.UpdateEvacuations(history.back());
    for (int round = 0; round < 3; ++round) {
      for (auto& process : processes) {
        for (auto& peer : processes) {
          process->Hear(*peer);
        }
      }
    }
    for (auto& process : processes) {
      RC_ASSERT(process->state.CurrentEvacuations().domains ==
                history.back().domains);
    }
  });
}

// A reader that was cut off holds a set of the time between two evacuations of
// the same domain. It must not end the second one.
TEST(Evacuation, AnOlderSetDoesNotEndALaterEvacuation)
{
  ManualClock clock;
  Process process(clock);
  Process reader(clock);
  Process cutOff(clock);
  process.state.UpdateEvacuations({ 90, { "a" } });
  cutOff.state.UpdateEvacuations({ 90, { "a" } });
  cutOff.state.UpdateEvacuations({ 95, {} });
  reader.state.UpdateEvacuations({ 100, { "a" } });
  process.Hear(reader);
  process.Hear(cutOff);
  EXPECT_EQ(process.state.CurrentEvacuations().domains, Domains{ "a" });
  cutOff.Hear(process);
  EXPECT_EQ(cutOff.state.CurrentEvacuations().domains, Domains{ "a" });
}

// A process that was suspended holds an evacuation that has ended. Its peers
// know of none and tell it so.
TEST(Evacuation, AProcessThatWasSuspendedHearsOfTheEnd)
{
  ManualClock clock;
  Process suspended(clock);
  Process peer(clock);
  suspended.state.UpdateEvacuations({ 10, { "a" } });
  peer.state.UpdateEvacuations({ 20, {} });
  peer.Hear(suspended);
  suspended.Hear(peer);
  EXPECT_TRUE(suspended.state.CurrentEvacuations().domains.empty());
}

// Earlier releases neither send nor read the new fields.
TEST(Evacuation, EarlierReleasesGetWhatTheyKnow)
{
  ManualClock clock;
  Process process(clock);
  process.state.UpdateEvacuations({ 10, { "a" } });
  StateRequest request;
  request.acceptsCompact = true;
  const auto reply = process.transfer.MakeReply(request);
  EXPECT_TRUE(reply.evacuations.empty() && reply.limits.empty() &&
              reply.history.empty());
}

// Fields that are cut or missing count as absent; the rest holds.
TEST(Evacuation, CutHeartbeatsKeepTheirOlderFields)
{
  RelayHeartbeat heartbeat;
  heartbeat.digest = { 7, 8, 9, Millis{ 5 }, 10, 11, 12, true };
  const auto bytes = EncodePeerMessage({ heartbeat });
  const auto decode = [](std::string_view aBytes) {
    return leaf::try_handle_all(
      [&]() -> leaf::result<StateDigest> {
        BOOST_LEAF_AUTO(message, DecodePeerMessage(aBytes));
        return std::get<RelayHeartbeat>(message.body).digest;
      },
      [] { return StateDigest{}; });
  };
  const auto whole = decode(bytes);
  EXPECT_EQ(whole.evacuations, 10U);
  EXPECT_EQ(whole.evacuationsHash, 11U);
  EXPECT_EQ(whole.historyHash, 12U);
  EXPECT_TRUE(whole.historyComplete);
  for (std::size_t cut = 1; cut <= 25; ++cut) {
    const auto rest =
      decode(std::string_view(bytes).substr(0, bytes.size() - cut));
    EXPECT_EQ(rest.targets, 8U);
    EXPECT_EQ(rest.evacuations, 0U);
    EXPECT_FALSE(rest.historyComplete);
  }
}

TEST(Evacuation, TheStoresKeysAreReadWhateverTheirValues)
{
  const auto item = [](const char* aKey, const std::string& aValue) {
    return json::object{ { "key", aKey }, { "value", aValue } };
  };
  const auto body = json::serialize(json::object{
    { "asOf", 40 },
    { "truncated", true },
    { "items",
      json::array{ item("op/config", Text("{}")),
                   item("op/evacuate/", Text("{}")),
                   item("op/evacuate/zone-a", "!!"),
                   json::object{ { "key", "op/evacuate/zone-b" } },
                   item("op/other", Text("x")),
                   7 } } });
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(page, platform::DecodeOperatorPage(body));
      EXPECT_EQ(page.revision, 40U);
      EXPECT_TRUE(page.hasMore);
      EXPECT_EQ(page.lastKey, "op/other");
      EXPECT_EQ(page.evacuated, (Domains{ "zone-a", "zone-b" }));
      EXPECT_TRUE(page.configuration && page.configuration->text == "{}");
      EXPECT_EQ(page.findings.size(), 2U);
      return {};
    },
    [] { FAIL() << "page refused"; });
}

// The key is removed and written again under the same name between two reads.
TEST(Evacuation, WatchedChangesAreInOrder)
{
  const auto event = [](const char* aKey, int aRevision, bool aDeleted) {
    json::object entry{ { "key", aKey }, { "revision", aRevision } };
    if (aDeleted) {
      entry["deleted"] = true;
    }
    return entry;
  };
  const auto body = json::serialize(
    json::object{ { "asOf", 9 },
                  { "events",
                    json::array{ event("op/evacuate/a", 6, true),
                                 event("op/evacuate/a", 7, false),
                                 event("op/evacuate/b", 8, true),
                                 event("op/evacuate/", 9, false) } } });
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(change, platform::DecodeWatch(body, "op/config"));
      EXPECT_TRUE(change.values.empty());
      EXPECT_EQ(change.evacuations.size(), 3U);
      EXPECT_TRUE(change.evacuations.at(1).evacuated);
      EXPECT_FALSE(change.evacuations.at(2).evacuated);
      return {};
    },
    [] { FAIL() << "watch refused"; });
}

TEST(Evacuation, LimitsOfColdServersHaveDefaults)
{
  const auto decoded = platform::DecodeRoutes(
    R"({"version":1,"routes":[],"services":[
      {"name":"a","coldStartS":2.5,"coldPerS":12.0},
      {"name":"b","coldStartS":2,"coldPerS":-3},
      {"name":"c","coldPerS":5},{"name":7,"coldStartS":1},"x",
      {"name":"d","coldStartS":"soon"}]})");
  ASSERT_TRUE(decoded.value);
  const auto& limits = decoded.value->limits;
  ASSERT_EQ(limits.size(), 2U);
  EXPECT_EQ(limits[0].coldStart, Millis{ 2500 });
  EXPECT_EQ(limits[0].coldFlowsPerSecond, 12.0);
  EXPECT_EQ(limits[1].coldFlowsPerSecond, 0.0);
  EXPECT_EQ(decoded.findings.size(), 3U); // with the missing idle timeout
}

// Many balancers send to a server that has just come back. Guards against a
// surge in any second that is not aligned with a clock second.
TEST(ColdStartLimit, HoldsInEverySecond)
{
  Holds("at most the limit opens in any second", [] {
    ManualClock clock;
    const ServiceLimits limits{ ServiceId{ 1 },
                                Millis{ 4000 },
                                double(*rc::gen::inRange(1, 40)) };
    ColdStartLimit limit(clock);
    limit.Update(&limits, clock.Now() + Millis{ 4000 });
    std::vector<TimePoint> opened;
    while (opened.size() < 200) {
      clock.Advance(Millis{ *rc::gen::inRange(0, 60) });
      if (limit.Admits()) {
        limit.OnAdmitted();
        opened.push_back(clock.Now());
      }
      if (clock.Now() >= TimePoint{} + Millis{ 3900 }) {
        break;
      }
    }
    const auto most = static_cast<std::size_t>(limits.coldFlowsPerSecond);
    for (std::size_t i = most; i < opened.size(); ++i) {
      RC_ASSERT(opened[i] - opened[i - most] >= std::chrono::seconds{ 1 });
    }
  });
}

TEST(ColdStartLimit, EndsWithTheColdPhaseAndIsOffWithoutALimit)
{
  ManualClock clock;
  const ServiceLimits limits{ ServiceId{ 1 }, Millis{ 500 }, 1.0 };
  ColdStartLimit limit(clock);
  limit.OnAdmitted();
  EXPECT_TRUE(limit.Admits());
  limit.Update(&limits, clock.Now() + Millis{ 500 });
  limit.OnAdmitted();
  EXPECT_FALSE(limit.Admits());
  EXPECT_GT(limit.TimeToAdmit(3), std::chrono::microseconds{ 0 });
  clock.Advance(Millis{ 500 });
  EXPECT_TRUE(limit.Admits());
  EXPECT_EQ(limit.TimeToAdmit(3), std::chrono::microseconds{ 0 });
}

// The limit was used up in a burst. Guards against a prediction by the mean
// rate, by which the next flow would open at once.
TEST(ColdStartLimit, PredictsTheWaitAfterABurst)
{
  ManualClock clock;
  const ServiceLimits limits{ ServiceId{ 1 }, Millis{ 9000 }, 5.0 };
  ColdStartLimit limit(clock);
  limit.Update(&limits, clock.Now() + Millis{ 9000 });
  for (int i = 0; i < 5; ++i) {
    limit.OnAdmitted();
    clock.Advance(Millis{ 2 });
  }
  EXPECT_EQ(limit.TimeToAdmit(0), Millis{ 990 });
  EXPECT_EQ(limit.TimeToAdmit(4), Millis{ 998 });
  EXPECT_EQ(limit.TimeToAdmit(5), Millis{ 1990 });
}

// The server's registration changes while it is cold after an evacuation, for
// example when it lapses and is renewed.
TEST(ColdStartLimit, SurvivesAChangeOfTheRegistration)
{
  ManualClock clock;
  FleetState state(clock);
  RouteTable table;
  table.version = 1;
  table.limits.push_back({ ServiceIdOf("s"), Millis{ 2000 }, 10 });
  state.UpdateRoutes(table);
  RelayTarget target;
  target.id = "t";
  target.service = ServiceIdOf("s");
  target.agent = { 1, 80 };
  target.failureDomain = "a";
  state.UpdateTargets({ 1, { target } }, Millis{ 0 });
  state.UpdateEvacuations({ 2, { "a" } });
  state.UpdateEvacuations({ 3, {} });
  target.slots = 7;
  state.UpdateTargets({ 4, { target } }, Millis{ 0 });
  EXPECT_EQ(state.FindAgent(target.agent)->coldUntil,
            clock.Now() + Millis{ 2000 });
}

// The servers of a domain are cold when its evacuation ends.
TEST(ColdStartLimit, BeginsWithTheEndOfAnEvacuation)
{
  ManualClock clock;
  FleetState state(clock);
  RouteTable table;
  table.version = 1;
  table.limits.push_back({ ServiceIdOf("s"), Millis{ 2000 }, 10 });
  state.UpdateRoutes(table);
  RelayTarget target;
  target.id = "t";
  target.service = ServiceIdOf("s");
  target.agent = { 1, 80 };
  target.failureDomain = "a";
  state.UpdateTargets({ 1, { target } }, Millis{ 0 });
  state.UpdateEvacuations({ 2, { "a" } });
  EXPECT_TRUE(state.FindAgent(target.agent)->evacuated);
  state.UpdateEvacuations({ 3, {} });
  const auto* known = state.FindAgent(target.agent);
  EXPECT_FALSE(known->evacuated);
  EXPECT_EQ(known->coldUntil, clock.Now() + Millis{ 2000 });
}

} // namespace damaskwalk
