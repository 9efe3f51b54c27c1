// A store that comes back from an earlier copy: it has lost what it
// acknowledged since, and gives out its revisions again.

#include "platform/store_client.h"
#include "relay/limits.h"
#include "relay/read_schedule.h"
#include "relay/state_transfer.h"
#include "standins/store.h"
#include "test_support.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <deque>

namespace damaskwalk {

namespace {

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using platform::StoreClient;

constexpr std::uint16_t kAgentPort = 80;

auto IdOf(int aNumber) -> std::string
{
  return "t" + std::to_string(aNumber);
}

auto Registration(int aNumber, const char* aState = "ready") -> std::string
{
  const auto number = std::to_string(aNumber);
  return R"({"service": "s", "address": "10.0.0.)" + number +
         R"(:90", "zone": "zone-)" + std::to_string(aNumber % 3) +
         R"(", "slots": 4, "coldMs": 0, "seq": 1, "version": "v", "born": 100)" +
         number + R"(, "state": ")" + aState + R"("})";
}

auto Configuration(int aVersion) -> std::string
{
  return R"({"version": )" + std::to_string(aVersion) +
         R"(, "routes": [{"name": "r", "host": "198.18.0.1", "prefix": "/80/",)"
         R"("kind": "safe", "service": "s"}], "services": [], "limits": {}})";
}

// A relay process, as far as it believes and spreads state.
struct Process
{
  Process(const Clock& aClock, const Endpoint& aStore)
    : state(aClock)
    , transfer(state)
    , client({ aStore, kAgentPort })
    , schedule(aClock, Millis{ 0 })
  {
  }

  auto Read(asio::io_context& aIo) -> void
  {
    bool done = false;
    asio::co_spawn(aIo, ReadOnce(done), asio::detached);
    while (!done && aIo.run_one() > 0) {
    }
  }

  auto Hear(Process& aPeer) -> void { Hear(aPeer, aPeer.state.Digest()); }

  // The findings of one read of the targets; nothing if it failed.
  auto ReadFindings(asio::io_context& aIo)
    -> std::optional<std::vector<DecodeFinding>>
  {
    std::optional<std::vector<DecodeFinding>> findings;
    bool done = false;
    const auto read = [&]() -> asio::awaitable<void> {
      auto targets = co_await client.ReadTargets();
      if (auto* set = std::get_if<Decoded<TargetSet>>(&targets)) {
        findings = std::move(set->findings);
      }
      done = true;
    };
    asio::co_spawn(aIo, read, asio::detached);
    while (!done && aIo.run_one() > 0) {
    }
    return findings;
  }

  // One exchange, if the peer's heartbeat with the digest calls for it.
  auto Hear(Process& aPeer, const StateDigest& aDigest) -> void
  {
    RelayHeartbeat heartbeat;
    heartbeat.digest = aDigest;
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(message,
                        DecodePeerMessage(EncodePeerMessage({ heartbeat })));
        const auto digest = std::get<RelayHeartbeat>(message.body).digest;
        state.Confirm(digest);
        if (!digest.IsNewerThan(state.Digest())) {
          return {};
        }
        BOOST_LEAF_AUTO(
          request,
          DecodeStateRequest(EncodeStateRequest(transfer.MakeRequest())));
        BOOST_LEAF_AUTO(reply,
                        DecodeStateReply(
                          EncodeStateReply(aPeer.transfer.MakeReply(request))));
        if (transfer.Apply(std::move(reply), Millis{ 1 })) {
          transfer.OnTargetsChanged();
        }
        return {};
      },
      [] { FAIL() << "undecodable"; });
  }

  auto StandingOf(int aNumber) const -> std::optional<TargetStanding>
  {
    for (const auto& known : state.KnownTargets()) {
      if (known.target.id == IdOf(aNumber)) {
        return known.standing;
      }
    }
    return std::nullopt;
  }

  auto IsEvacuated(int aZone) const -> bool
  {
    const auto domain = "zone-" + std::to_string(aZone);
    return std::ranges::any_of(
      state.KnownTargets(), [&domain](const KnownTarget& aKnown) {
        return aKnown.target.failureDomain == domain && aKnown.evacuated;
      });
  }

  auto ReadOnce(bool& aDone) -> asio::awaitable<void>
  {
    auto targets = co_await client.ReadTargets();
    auto operators = co_await client.ReadOperatorState();
    auto* set = std::get_if<Decoded<TargetSet>>(&targets);
    auto* read = std::get_if<StoreClient::OperatorRead>(&operators);
    EXPECT_TRUE(set && read);
    if (set && read) {
      if (state.UpdateTargets(set->value, Millis{ 0 })) {
        transfer.OnTargetsChanged();
      }
      state.ApplySuccession(std::move(read->value.routes));
      state.UpdateEvacuations(std::move(read->value.evacuations));
    }
    schedule.OnReadFinished(set && read);
    aDone = true;
  }

  FleetState state;
  StateTransfer transfer;
  StoreClient client;
  ReadSchedule schedule;
};

class RestoredStore : public ::testing::Test
{
protected:
  RestoredStore()
    : store_(io_)
  {
    store_.Put("op/config", Configuration(7));
    for (int i = 1; i <= 6; ++i) {
      store_.Put("servers/" + IdOf(i), Registration(i));
    }
  }

  auto MakeProcess() -> Process&
  {
    return processes_.emplace_back(clock_, store_.Address());
  }

  // Writes that change nothing that the tests look at.
  auto Advance(int aRevisions) -> void
  {
    for (int i = 0; i < aRevisions; ++i) {
      store_.Put("servers/" + IdOf(6), Registration(6));
    }
  }

  ManualClock clock_;
  asio::io_context io_;
  standin::Store store_;
  std::deque<Process> processes_;
};

} // namespace

// Guards against reads that are ignored because their revision is lower than
// before the restore.
TEST_F(RestoredStore, ReadsAfterTheRestoreAreTaken)
{
  auto& reader = MakeProcess();
  store_.Copy();
  Advance(30);
  reader.Read(io_);
  store_.Restore();
  store_.Put("servers/t1", Registration(1, "draining"));
  clock_.Advance(Millis{ 3000 });
  reader.Read(io_);
  EXPECT_EQ(*reader.state.Age(), Millis{ 0 });
  EXPECT_EQ(reader.StandingOf(1), TargetStanding::Leaving);
}

// Guards against evacuations that are ignored because their revision is lower
// than before the restore.
TEST_F(RestoredStore, AnEvacuationAfterTheRestoreComesIntoForce)
{
  auto& reader = MakeProcess();
  store_.Copy();
  Advance(30);
  reader.Read(io_);
  store_.Restore();
  store_.Put("op/evacuate/zone-1", "{}");
  reader.Read(io_);
  EXPECT_TRUE(reader.IsEvacuated(1));
}

// Guards against a watch that goes on from a revision which the store has given
// out again: it skips the changes before it.
TEST_F(RestoredStore, AWatchFromALostRevisionMissesNothing)
{
  auto& reader = MakeProcess();
  store_.Copy();
  Advance(10);
  reader.Read(io_);
  store_.Restore();
  store_.Put("op/evacuate/zone-1", "{}");
  store_.Put("op/config", Configuration(9));
  Advance(30);
  reader.Read(io_);
  EXPECT_TRUE(reader.IsEvacuated(1));
  EXPECT_EQ(reader.state.Routes().version, 9U);
}

// Guards against a set that is made of pages of two eras.
TEST_F(RestoredStore, PagesOfTwoErasAreNoSet)
{
  auto& reader = MakeProcess();
  store_.Copy();
  store_.RestoreAfterNextPage(4);
  EXPECT_FALSE(reader.ReadFindings(io_));
  EXPECT_TRUE(reader.ReadFindings(io_));
}

// Guards against an era that is missing or malformed and not reported.
TEST_F(RestoredStore, AnUnreadableEraIsAFinding)
{
  auto& reader = MakeProcess();
  EXPECT_EQ(reader.ReadFindings(io_), std::vector<DecodeFinding>{});
  const std::vector<DecodeFinding> missing{
    { "Store-Era", "", DecodeEffect::DefaultUsed }
  };
  for (const auto* text : { "", "two", "2x", "-1", "4294967296" }) {
    store_.SetEraText(text);
    EXPECT_EQ(reader.ReadFindings(io_), missing) << text;
  }
}

// Guards against peers that hold on to the state of before the restore, and
// against one that wakes up and brings it back.
TEST_F(RestoredStore, PeersOfAnyAgeTakeTheStateOfTheNewEra)
{
  auto& reader = MakeProcess();
  auto& peer = MakeProcess();
  auto& asleep = MakeProcess();
  auto& starting = MakeProcess();
  store_.Copy();
  peer.Read(io_);
  Advance(30);
  store_.Put("servers/t7", Registration(7));
  store_.Put("op/evacuate/zone-2", "{}");
  asleep.Read(io_);
  reader.Read(io_);
  store_.Restore();
  store_.Put("servers/t1", Registration(1, "draining"));
  store_.Put("op/evacuate/zone-1", "{}");
  clock_.Advance(Millis{ 500 });
  reader.Read(io_);
  peer.Hear(reader);
  starting.Hear(reader);
  for (auto* process : { &reader, &peer, &starting }) {
    process->Hear(asleep);
  }
  asleep.Hear(starting);
  for (auto* process : { &reader, &peer, &asleep, &starting }) {
    EXPECT_EQ(process->StandingOf(1), TargetStanding::Leaving);
    EXPECT_TRUE(process->IsEvacuated(1));
    EXPECT_NE(process->StandingOf(7), TargetStanding::Open);
    EXPECT_LE(*process->state.Age(), Millis{ 2 });
  }
}

// Guards against the lost state that processes of the last release, which send
// no era, go on announcing. Before the restore what they read counts.
TEST_F(RestoredStore, TheLastReleaseDoesNotBringTheLostStateBack)
{
  auto& reader = MakeProcess();
  auto& earlier = MakeProcess();
  auto& starting = MakeProcess();
  store_.Copy();
  reader.Read(io_);
  auto lost = reader.state.Targets();
  lost.revision = 5000;
  lost.targets.pop_back();
  earlier.state.UpdateRoutes({ 7, Millis{ 0 }, {}, {} });
  earlier.state.UpdateTargets(lost, Millis{ 0 });
  earlier.state.UpdateEvacuations({ 5000, { "zone-2" } });
  reader.Hear(earlier);
  EXPECT_EQ(reader.StandingOf(6), TargetStanding::Vanished);
  EXPECT_TRUE(reader.IsEvacuated(2));
  store_.Restore();
  store_.Put("op/evacuate/zone-1", "{}");
  reader.Read(io_);
  starting.Hear(earlier);
  starting.Hear(reader);
  clock_.Advance(Millis{ 500 });
  for (auto* process : { &reader, &starting }) {
    process->Hear(earlier);
    EXPECT_EQ(process->StandingOf(6), TargetStanding::Open);
    EXPECT_TRUE(process->IsEvacuated(1));
    EXPECT_GE(*process->state.Age(), Millis{ 500 });
  }
  earlier.state.UpdateTargets({ 5001, reader.state.Targets().targets },
                              Millis{ 0 });
  reader.Hear(earlier);
  EXPECT_GE(*reader.state.Age(), Millis{ 500 }) << "confirmed by a lost read";
}

// Guards against bytes that releases before the last refuse, and against an era
// that is lost on the way.
TEST_F(RestoredStore, OnlyReleasesThatReadItGetTheEra)
{
  auto& reader = MakeProcess();
  store_.Copy();
  store_.Restore();
  reader.Read(io_);
  StateRequest request;
  EXPECT_EQ(reader.transfer.MakeReply(request).digest.targets.era, 0U);
  request.acceptsCompact = true;
  request.acceptsOperations = true;
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(
        reply,
        DecodeStateReply(EncodeStateReply(reader.transfer.MakeReply(request))));
      EXPECT_EQ(reply.digest.targets, reader.state.Digest().targets);
      EXPECT_EQ(reply.digest.targets.era, 2U);
      return {};
    },
    [] { FAIL() << "undecodable"; });
}

// Guards against a server that is believed ready again because the copy is
// older than its draining.
TEST_F(RestoredStore, ADrainingServerIsNotReadyAgainInTheCopy)
{
  auto& reader = MakeProcess();
  store_.Copy();
  store_.Put("servers/t1", Registration(1, "draining"));
  store_.Put("servers/t2", Registration(2, "draining"));
  reader.Read(io_);
  store_.Delete("servers/t2");
  reader.Read(io_);
  EXPECT_EQ(reader.StandingOf(2), TargetStanding::Gone);
  store_.Restore();
  Advance(30);
  reader.Read(io_);
  EXPECT_EQ(reader.StandingOf(1), TargetStanding::Leaving);
  EXPECT_NE(reader.StandingOf(2), TargetStanding::Open);
}

// Guards against new flows for an evacuated domain until the operator has
// written its lost evacuation again.
TEST_F(RestoredStore, ALostEvacuationHoldsUntilItIsWrittenAgain)
{
  auto& reader = MakeProcess();
  auto& peer = MakeProcess();
  store_.Copy();
  store_.Put("op/evacuate/zone-1", "{}");
  store_.Put("op/evacuate/zone-2", "{}");
  reader.Read(io_);
  peer.Hear(reader);
  store_.Restore();
  Advance(1);
  reader.Read(io_);
  peer.Hear(reader);
  clock_.Advance(kLostEvacuationHold - Millis{ 100 });
  store_.Put("op/evacuate/zone-1", "{}");
  reader.Read(io_);
  for (auto* process : { &reader, &peer }) {
    process->state.Tick();
    EXPECT_TRUE(process->IsEvacuated(1));
    EXPECT_TRUE(process->IsEvacuated(2));
  }
  peer.Hear(reader);
  clock_.Advance(Millis{ 100 });
  for (auto* process : { &reader, &peer }) {
    EXPECT_TRUE(process->state.Tick());
    EXPECT_TRUE(process->IsEvacuated(1));
    EXPECT_FALSE(process->IsEvacuated(2)) << "nobody wrote it again";
  }
}

// Guards against an evacuation that is held although the store has had it again
// since the restore, and then its end.
TEST_F(RestoredStore, AnEvacuationThatWasWrittenAgainEndsAtOnce)
{
  auto& reader = MakeProcess();
  store_.Copy();
  store_.Put("op/evacuate/zone-1", "{}");
  reader.Read(io_);
  store_.Restore();
  Advance(1);
  reader.Read(io_);
  store_.Put("op/evacuate/zone-1", "{}");
  reader.Read(io_);
  store_.Delete("op/evacuate/zone-1");
  reader.Read(io_);
  EXPECT_FALSE(reader.IsEvacuated(1));
}

// Guards against every process reading the store at once, again and again,
// because no read renews the age of the state.
TEST_F(RestoredStore, OneProcessGoesOnReading)
{
  constexpr int kProcesses = 12;
  constexpr Millis kTick{ 25 };
  constexpr Millis kSpan{ 4000 };
  for (int i = 1; i <= kProcesses; ++i) {
    MakeProcess().Read(io_);
  }
  store_.Copy();
  Advance(100);
  for (auto& process : processes_) {
    process.Read(io_);
  }
  store_.Restore();
  clock_.Advance(Millis{ 2000 });
  const auto before = store_.Calls();
  for (Millis passed{ 0 }; passed < kSpan; passed += kTick) {
    for (std::uint32_t rank = 0; rank < kProcesses; ++rank) {
      auto& process = processes_[rank];
      if (!process.schedule.IsDue(rank, process.state.Age())) {
        continue;
      }
      process.Read(io_);
      for (auto& peer : processes_) {
        peer.Hear(process);
      }
    }
    clock_.Advance(kTick);
  }
  // One process reads every kStoreReadPeriod, two calls each; each process may
  // have begun one read before it heard of the first.
  EXPECT_LE(store_.Calls() - before,
            2 * (kSpan / kStoreReadPeriod + kProcesses));
}

} // namespace damaskwalk
