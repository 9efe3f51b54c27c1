// Benchmarks of the decisions that are made per packet and per request, and of
// the membership, document and directory operations behind them.

#include "balancer/balancer.h"
#include "core/admission.h"
#include "core/placement.h"
#include "relay/limits.h"
#include "relay/opening_mover.h"
#include "relay/opening_queue.h"

#include <benchmark/benchmark.h>

namespace damaskwalk {
namespace {

constexpr std::size_t kHintedFlows = 1000000;

auto FleetDocument(std::size_t aServices, std::size_t aBackends) -> std::string
{
  std::string text = "[document]\nteams = t\n";
  for (std::size_t s = 0; s < aServices; ++s) {
    const auto name = "s" + std::to_string(s);
    text += "[service " + name + "]\nowner = t\naddresses = 10." +
            std::to_string(s >> 8) + "." + std::to_string(s & 255) + ".1:80\n";
    for (std::size_t b = 0; b < aBackends; ++b) {
      const auto at = s * aBackends + b;
      const auto address = "11." + std::to_string(at >> 16) + "." +
                           std::to_string((at >> 8) & 255) + "." +
                           std::to_string(at & 255);
      text += "[backend " + name + "-" + std::to_string(b) +
              "]\nowner = t\nservice = " + name + "\nagent = " + address +
              ":7100\nserver = " + address + ":8100\nslots = 4\n" +
              "failure_domain = d" + std::to_string(b % 12) + "\n";
    }
  }
  return text;
}

auto FlowFrame(std::uint64_t aNumber) -> Frame
{
  Frame frame;
  frame.source = { static_cast<std::uint32_t>(0x0A000000 + (aNumber >> 14)),
                   static_cast<std::uint16_t>(1024 + (aNumber & 0x3FFF)) };
  frame.destination = { 0x0A000001, 80 };
  frame.flags = flag::kAck;
  return frame;
}

// @param Range(0) share of hinted flows in percent.
void BalancerDecision(benchmark::State& aState)
{
  const auto parsed = ParseDocument(FleetDocument(1, 7), 1);
  const SystemClock clock;
  Membership members({ { 1, 1 }, Role::Balancer, "a", 1, 1 }, clock);
  for (const auto& backend : parsed.document->services[0].backends) {
    members.OnMessageFrom(backend.agent, Role::Agent, 1);
  }
  BalancerSettings settings;
  settings.hintCapacity = 1U << 22;
  Router router(settings, members);
  router.SetDocument(*parsed.document);
  const auto& service = parsed.document->services[0];
  if (aState.range(0) > 0) {
    for (std::uint64_t i = 0; i < kHintedFlows; ++i) {
      router.Hints().Set(FlowOf(FlowFrame(i)), service.backends[i % 7].agent);
    }
  }
  std::uint64_t next = 0;
  for (auto _ : aState) {
    next = (next + 7919) % kHintedFlows;
    benchmark::DoNotOptimize(router.Decide(service, FlowFrame(next)));
  }
}
BENCHMARK(BalancerDecision)->Arg(0)->Arg(100);

// Admission of one request and the choice of its backend server, with 10,000
// callers and 64 candidates.
void AdmissionAndChoice(benchmark::State& aState)
{
  FairQueue queue({ 1000000, 1000 });
  const auto policy = MakePlacement(PlacementKind::Spare, 1);
  std::vector<Candidate> candidates(64);
  std::mt19937_64 random(1);
  for (auto& candidate : candidates) {
    candidate.limit = 4;
    candidate.utilisation = static_cast<double>(random() % 1000) / 1000;
  }
  std::vector<std::string> callers;
  for (int i = 0; i < 10000; ++i) {
    callers.push_back("caller-" + std::to_string(i));
  }
  const TimePoint now{ std::chrono::seconds(1) };
  const auto later = now + std::chrono::hours(1);
  std::uint64_t id = 0;
  for (const auto& caller : callers) {
    queue.Push({ ++id, caller, 1, 1, later, now });
  }
  std::vector<Ticket> expired;
  for (auto _ : aState) {
    queue.Push({ ++id, callers[id % 10000], 1, 1, later, now });
    benchmark::DoNotOptimize(policy->PlaceRequest(candidates, 0));
    benchmark::DoNotOptimize(queue.Pop(now, expired));
  }
}
BENCHMARK(AdmissionAndChoice);

// Parses, validates and indexes a document of Range(0) services with six
// backend servers each.
void DocumentInForce(benchmark::State& aState)
{
  const auto text = FleetDocument(static_cast<std::size_t>(aState.range(0)), 6);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ParseDocument(text, 1));
  }
  aState.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(DocumentInForce)
  ->Arg(100)
  ->Arg(1000)
  ->Arg(3400)
  ->Unit(benchmark::kMillisecond);

auto AddMembers(Membership& aMembers, std::int64_t aCount) -> void
{
  for (std::int64_t i = 0; i < aCount; ++i) {
    const Endpoint member{ static_cast<std::uint32_t>(2 + i), 7000 };
    aMembers.OnMessageFrom(member, Role::Agent, 1);
  }
}

// One tick of a balancer that knows Range(0) members.
void MembershipTick(benchmark::State& aState)
{
  ManualClock clock;
  Membership members({ { 1, 1 }, Role::Balancer, "a", 1, 1 }, clock);
  AddMembers(members, aState.range(0));
  for (auto _ : aState) {
    clock.Advance(Millis{ 50 });
    benchmark::DoNotOptimize(members.Tick());
  }
}
BENCHMARK(MembershipTick)->Arg(20)->Arg(2000)->Arg(23000);

// Choice of peers or document readers among Range(0) members, with the copies
// that it makes.
void MembershipRank(benchmark::State& aState)
{
  ManualClock clock;
  Membership members({ { 1, 1 }, Role::Balancer, "a", 1, 1 }, clock);
  AddMembers(members, aState.range(0));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(members.RankInDomain(7));
    benchmark::DoNotOptimize(members.Sample(4));
  }
}
BENCHMARK(MembershipRank)->Arg(20)->Arg(2000)->Arg(23000);

void FrameThroughTheCodec(benchmark::State& aState)
{
  auto frame = FlowFrame(1);
  frame.payload = std::string(200, 'x');
  const auto bytes = EncodeFrame(frame);
  for (auto _ : aState) {
    PacketForward packet;
    packet.frame = bytes;
    benchmark::DoNotOptimize(EncodeMessage({}, packet));
    benchmark::DoNotOptimize(DecodeFrame(bytes));
  }
}
BENCHMARK(FrameThroughTheCodec);

void DirectoryRegisterAndFind(benchmark::State& aState)
{
  Directory directory;
  std::uint64_t next = 0;
  for (auto _ : aState) {
    const auto flow = FlowOf(FlowFrame(++next % 100000));
    directory.Register({ flow, { 1, 1 }, 1, 0 });
    benchmark::DoNotOptimize(directory.Find(flow));
  }
}
BENCHMARK(DirectoryRegisterAndFind);

// Choice of the next of Range(0) waiting first packets, while the caller shares
// hold as many callers as they can.
void OpeningQueueTakeNext(benchmark::State& aState)
{
  TimePoint now{ std::chrono::seconds{ 10 } };
  constexpr std::chrono::milliseconds kTimeToAnswer{ 30 };
  OpeningQueue queue;
  std::uint32_t next = 0;
  const auto add = [&] {
    WaitingOpening opening;
    opening.flow = { { 0x0A000000 + next % 2000, std::uint16_t(next) },
                     { 0x0A010001, 80 } };
    opening.objectiveDeadline = now + std::chrono::milliseconds{ 250 };
    opening.priority = next % 3;
    ++next;
    queue.Add(std::move(opening));
  };
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    add();
  }
  for (auto _ : aState) {
    now += std::chrono::microseconds{ 100 };
    const auto taken = queue.TakeNext(now, kTimeToAnswer);
    queue.OnAdmitted(taken->flow.caller.ip, now);
    add();
  }
}
BENCHMARK(OpeningQueueTakeNext)->Arg(1)->Arg(16)->Arg(128)->Arg(512);

// An admission while nothing waits: the shares are off.
void AdmissionWithoutWaiting(benchmark::State& aState)
{
  OpeningQueue queue;
  const TimePoint now{ std::chrono::seconds{ 10 } };
  std::uint32_t next = 0;
  for (auto _ : aState) {
    queue.OnAdmitted(++next, now);
    benchmark::ClobberMemory();
  }
}
BENCHMARK(AdmissionWithoutWaiting);
// Choice of the agent for a first packet that is late, among Range(0) targets
// in 12 failure domains. All are full, so no search ends early.
void ChoiceForALateOpening(benchmark::State& aState)
{
  const ManualClock clock;
  FleetState fleet(clock);
  PeerTable peers(clock);
  const auto service = ServiceIdOf("s");
  TargetSet set;
  set.revision = 1;
  for (std::int64_t i = 0; i < aState.range(0); ++i) {
    RelayTarget target;
    target.id = std::to_string(i);
    target.service = service;
    target.agent = { static_cast<std::uint32_t>(1 + i), 8172 };
    target.failureDomain = "d" + std::to_string(i % 12);
    target.slots = 4;
    RelayHeartbeat heartbeat;
    heartbeat.role = RelayRole::Agent;
    BackendLoad load;
    load.service = service;
    load.slots = 4;
    load.inFlight = 1000;
    load.serviceMicros = 20000;
    heartbeat.load.push_back(load);
    peers.OnHeartbeat(target.agent.ip, heartbeat);
    set.targets.push_back(std::move(target));
  }
  fleet.UpdateTargets(set, Millis{ 0 });
  OpeningMover mover({ 1, 8172 }, fleet, peers, clock);
  WaitingOpening opening;
  opening.firstSentAt = clock.Now();
  opening.objectiveDeadline = clock.Now() + kDefaultLatencyObjective;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(mover.Choose(opening, service, Millis{ 400 }));
  }
}
BENCHMARK(ChoiceForALateOpening)->Arg(45)->Arg(136)->Arg(2000);

} // namespace
} // namespace damaskwalk

BENCHMARK_MAIN();
