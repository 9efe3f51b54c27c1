// Reads of the store when other programs have written there too, and when a
// part of the reads fails.

#include "platform/content_reader.h"
#include "platform/packet_codec.h"
#include "platform/store_client.h"
#include "relay_node/relay_process.h"
#include "standins/store.h"
#include "test_support.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <stdexcept>

namespace damaskwalk {

namespace {

namespace asio = boost::asio;
using platform::StoreClient;

constexpr std::uint16_t kAgentPort = 80;

auto Registration(const char* aService = "s") -> std::string
{
  return R"({"service": ")" + std::string(aService) +
         R"(", "address": "10.0.0.1:90", "zone": "z", "slots": 4,)"
         R"("coldMs": 0, "seq": 1, "version": "v", "born": 1, "state": "ready"})";
}

auto Configuration(int aVersion, const char* aService = "s") -> std::string
{
  return R"({"version": )" + std::to_string(aVersion) +
         R"(, "routes": [{"name": "r", "host": "198.18.0.1", "prefix": "/80/",)"
         R"("kind": "safe", "service": ")" +
         aService + R"("}], "services": [], "limits": {}})";
}

template<class Read>
auto RunRead(asio::io_context& aIo, Read aRead)
{
  using Result = typename decltype(aRead())::value_type;
  std::optional<Result> result;
  asio::co_spawn(
    aIo,
    [&]() -> asio::awaitable<void> { result = co_await aRead(); },
    asio::detached);
  while (!result && aIo.run_one() > 0) {
  }
  return std::move(*result);
}

// Text that has to be encoded in a query, among others.
auto AnyKeyPart() -> std::string
{
  return *rc::gen::container<std::string>(
    rc::gen::elementOf(std::string("az09&=?#%+ /;,\"\\\n\t\x7f\xc3\xa9_.~-")));
}

// UTF-8 sequences must stay whole in JSON texts.
auto WithoutHalves(std::string aText) -> std::string
{
  std::erase_if(aText, [](char aByte) { return (aByte & '\x80') != 0; });
  return aText;
}

class StoreRead : public ::testing::Test
{
protected:
  StoreRead()
    : store_(io_)
    , client_({ store_.Address(), kAgentPort })
  {
  }

  auto ReadTargets() -> ReadResult<Decoded<TargetSet>>
  {
    return RunRead(io_, [this] { return client_.ReadTargets(); });
  }
  auto ReadOperators() -> ReadResult<StoreClient::OperatorRead>
  {
    return RunRead(io_, [this] { return client_.ReadOperatorState(); });
  }

  ManualClock clock_;
  asio::io_context io_;
  standin::Store store_;
  StoreClient client_;
};

// A source of state of which one part cannot be read.
class PartialSource final : public StateSource
{
public:
  PartialSource(bool aTargetsFail, bool aOperatorsFail)
    : targetsFail_(aTargetsFail)
    , operatorsFail_(aOperatorsFail)
  {
  }

  auto ReadTargets() -> asio::awaitable<ReadResult<Decoded<TargetSet>>> override
  {
    ++targetReads_;
    if (targetsFail_ && targetReads_ == 1) {
      throw std::length_error("too long");
    }
    if (targetsFail_) {
      co_return StateSourceError::NoAnswer;
    }
    Decoded<TargetSet> read;
    read.value.revision = 1;
    co_return read;
  }
  auto ReadOperatorState()
    -> asio::awaitable<ReadResult<Decoded<OperatorState>>> override
  {
    ++operatorReads_;
    if (operatorsFail_) {
      co_return StateSourceError::BadAnswer;
    }
    Decoded<OperatorState> read;
    RouteTable table;
    table.version = 1;
    read.value.routes.versions.push_back(table);
    co_return read;
  }
  auto Calls() const -> std::uint64_t override { return targetReads_; }

  auto TargetReads() const -> std::uint64_t { return targetReads_; }
  auto OperatorReads() const -> std::uint64_t { return operatorReads_; }

private:
  bool targetsFail_;
  bool operatorsFail_;
  std::uint64_t targetReads_ = 0;
  std::uint64_t operatorReads_ = 0;
};

} // namespace

// Any keys of other programs, in each range that is read in pages. Guards
// against a key that ends the query early, so that a page is read again and
// again and no target or configuration is read any more.
TEST_F(StoreRead, AnyKeysLeaveTheOthersReadable)
{
  Holds("any keys among the registrations and the operators' keys", [] {
    asio::io_context io;
    standin::Store store(io);
    StoreClient client({ store.Address(), kAgentPort });
    std::set<std::string> ids{ "known" };
    std::set<std::string> zones{ "zone-1" };
    for (int i = 0; i < *rc::gen::inRange(0, 8); ++i) {
      ids.insert(WithoutHalves(AnyKeyPart()) + "\xc3\xa9");
      zones.insert(WithoutHalves(AnyKeyPart()) + "\xe2\x82\xac");
      store.Put("servers/" + WithoutHalves(AnyKeyPart()), "\x80\x01 garbage");
      store.Put("op/" + WithoutHalves(AnyKeyPart()), "\x80\x01 garbage");
    }
    store.Put("op/config", Configuration(3));
    for (const auto& id : ids) {
      store.Put("servers/" + id, Registration());
    }
    for (const auto& zone : zones) {
      store.Put("op/evacuate/" + zone, "{}");
    }
    store.SetPageItems(*rc::gen::inRange<std::size_t>(1, 4));
    const auto targets =
      RunRead(io, [&client] { return client.ReadTargets(); });
    const auto* set = std::get_if<Decoded<TargetSet>>(&targets);
    RC_ASSERT(set != nullptr);
    std::set<std::string> read;
    for (const auto& target : set->value.targets) {
      read.insert(target.id);
    }
    RC_ASSERT(read == ids);
    const auto operators =
      RunRead(io, [&client] { return client.ReadOperatorState(); });
    const auto* state = std::get_if<StoreClient::OperatorRead>(&operators);
    RC_ASSERT(state != nullptr);
    RC_ASSERT(state->value.routes.versions.size() == 1U);
    for (const auto& zone : zones) {
      const auto& domains = state->value.evacuations.domains;
      RC_ASSERT(std::ranges::find(domains, zone) != domains.end());
    }
  });
}

// More and larger entries of other programs than a fleet has pages.
TEST_F(StoreRead, ManyPagesOfOtherProgramsAreReadToTheEnd)
{
  for (int i = 100; i < 300; ++i) {
    store_.Put("servers/a" + std::to_string(i), std::string(9, '\x80'));
    store_.Put("op/a" + std::to_string(i), std::string(9, '\x80'));
  }
  store_.Put("servers/large", std::string(1048576, '{'));
  store_.Put("servers/z", Registration());
  store_.Put("op/config", Configuration(3));
  store_.Put("op/evacuate/z", "{}");
  store_.SetPageItems(1);
  const auto targets = ReadTargets();
  ASSERT_TRUE(std::holds_alternative<Decoded<TargetSet>>(targets));
  EXPECT_EQ(std::get<Decoded<TargetSet>>(targets).value.targets.size(), 1U);
  const auto operators = ReadOperators();
  ASSERT_TRUE(std::holds_alternative<StoreClient::OperatorRead>(operators));
  EXPECT_EQ(
    std::get<StoreClient::OperatorRead>(operators).value.evacuations.domains,
    std::vector<std::string>{ "z" });
}

// A watch returns every version since the last read, which may have been in
// force elsewhere.
TEST_F(StoreRead, AWatchReturnsTheVersionsBetweenTwoReads)
{
  store_.Put("op/config", Configuration(3));
  ReadOperators();
  store_.Put("op/config", Configuration(5, "t"));
  store_.Put("op/config", Configuration(9, "u"));
  auto operators = ReadOperators();
  ASSERT_TRUE(std::holds_alternative<StoreClient::OperatorRead>(operators));
  const auto& routes =
    std::get<StoreClient::OperatorRead>(operators).value.routes;
  EXPECT_EQ(routes.since, DocumentVersion{ 3 });
  ASSERT_EQ(routes.versions.size(), 2U);
  EXPECT_EQ(routes.versions.front().version, 5U);
  EXPECT_EQ(routes.versions.back().version, 9U);
  // A version that cannot be read: others may follow from it.
  store_.Put("op/config", "{");
  store_.Put("op/config", Configuration(12));
  operators = ReadOperators();
  EXPECT_FALSE(std::get<StoreClient::OperatorRead>(operators)
                 .value.routes.since.has_value());
}

// More changes since the last read than a watch may return. Guards against a
// process that watches from the same revision again and again, and keeps routes
// that were dropped.
TEST_F(StoreRead, AWatchThatReturnsTooMuchGivesWayToAWholeRead)
{
  constexpr std::size_t kPadding = 1000000;
  store_.Put("op/config", Configuration(3));
  ReadOperators();
  for (const int version : { 4, 5, 6, 7 }) {
    store_.Put("op/config",
               Configuration(version) + std::string(kPadding, ' '));
  }
  store_.Put("op/evacuate/z", "{}");
  const auto whole = ReadOperators();
  ASSERT_TRUE(std::holds_alternative<StoreClient::OperatorRead>(whole));
  const auto& state = std::get<StoreClient::OperatorRead>(whole).value;
  ASSERT_EQ(state.routes.versions.size(), 1U);
  EXPECT_EQ(state.routes.versions.front().version, 7U);
  // Versions 4 to 6 may have been in force elsewhere.
  EXPECT_FALSE(state.routes.since.has_value());
  EXPECT_EQ(state.evacuations.domains, std::vector<std::string>{ "z" });
  store_.Put("op/config", Configuration(8));
  const auto changes = ReadOperators();
  ASSERT_TRUE(std::holds_alternative<StoreClient::OperatorRead>(changes));
  EXPECT_EQ(std::get<StoreClient::OperatorRead>(changes).value.routes.since,
            DocumentVersion{ 7 });
}

// The same with answers that cannot be decoded, or that end early.
TEST_F(StoreRead, AWatchThatCannotBeReadGivesWayToAWholeRead)
{
  store_.Put("op/config", Configuration(3));
  ReadOperators();
  const auto expectWholeRead = [this](int aVersion) {
    store_.Put("op/config", Configuration(aVersion));
    const auto read = ReadOperators();
    ASSERT_TRUE(std::holds_alternative<StoreClient::OperatorRead>(read));
    const auto& routes = std::get<StoreClient::OperatorRead>(read).value.routes;
    ASSERT_EQ(routes.versions.size(), 1U);
    EXPECT_EQ(routes.versions.front().version, DocumentVersion(aVersion));
    EXPECT_FALSE(routes.since.has_value());
  };
  store_.SetWatchBody(R"({"events": [)");
  expectWholeRead(4);
  store_.SetWatchBody(std::nullopt);
  store_.SetEndsWatches(true);
  expectWholeRead(5);
}

// The pages after the configuration's fail. Guards against a configuration that
// waits for the evacuations, and against evacuations that end because they were
// not read.
TEST_F(StoreRead, APageThatFailsTakesNeitherTheOthersNorWhatIsKnown)
{
  store_.Put("op/config", Configuration(3));
  store_.Put("op/evacuate/z", "{}");
  store_.SetPageItems(1);
  FleetState state(clock_);
  const auto read = [&] {
    auto operators = ReadOperators();
    auto& operatorRead = std::get<StoreClient::OperatorRead>(operators);
    state.ApplySuccession(std::move(operatorRead.value.routes));
    state.UpdateEvacuations(std::move(operatorRead.value.evacuations));
    return operatorRead.findings;
  };
  const auto isReported = [](const std::vector<DecodeFinding>& aFindings) {
    return std::ranges::find(aFindings,
                             "op/evacuate/",
                             &DecodeFinding::entry) != aFindings.end();
  };
  EXPECT_FALSE(isReported(read()));
  EXPECT_EQ(state.EvacuatedDomains(), std::vector<std::string>{ "z" });
  // A restored store is read as a whole again.
  store_.Copy();
  store_.Restore();
  store_.Put("op/config", Configuration(5));
  store_.Refuse("/v1/kv-range?prefix=op/&after=");
  EXPECT_TRUE(isReported(read()));
  EXPECT_EQ(state.Routes().version, 5U);
  EXPECT_EQ(state.EvacuatedDomains(), std::vector<std::string>{ "z" });
  store_.Refuse("");
  EXPECT_FALSE(isReported(read()));
}

// Guards against a part of the state that is not read because the read of
// another part fails, again and again, or ends with an exception.
TEST_F(StoreRead, APartThatFailsDoesNotHoldUpTheOthers)
{
  class NoSettings final : public SettingsSource
  {
  public:
    auto HasChanged() -> bool override { return false; }
    auto Load() -> std::optional<RelaySettings> override { return {}; }
  };
  for (const bool targetsFail : { true, false }) {
    asio::io_context io;
    PartialSource source(targetsFail, !targetsFail);
    NoSettings settingsSource;
    platform::HeaderCodec codec;
    platform::HttpContentReader reader;
    const SystemClock clock;
    BoundedLog log({ "test" }, clock);
    RelaySettings settings;
    settings.failureDomain = "z";
    const std::uint32_t ip = 0x7F000001;
    settings.packets = { ip, 0 };
    settings.peers = { ip, 0 };
    settings.http = { ip, 0 };
    RelayProcess process(
      { settings, codec, reader, source, settingsSource, clock, log, io });
    asio::steady_timer end(io);
    end.expires_after(Millis{ 2500 });
    end.async_wait([&io](const auto&) { io.stop(); });
    process.Run();
    EXPECT_GE(source.TargetReads(), 2U);
    EXPECT_GE(source.OperatorReads(), 2U);
  }
}

} // namespace damaskwalk
