// Odd values in each field on each way in: registrations, configurations,
// settings, peer messages and the platform's list of VMs. One odd entry must
// take away neither the process nor the other entries, and must mean the same
// to every process.

#include "core/config.h"
#include "platform/route_decoder.h"
#include "platform/settings.h"
#include "platform/store_decoder.h"
#include "relay/limits.h"
#include "relay/placement.h"
#include "relay/state_transfer.h"
#include "relay_node/interfaces.h"
#include "runtime/vm_listing.h"
#include "test_support.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

namespace damaskwalk {

namespace {

namespace json = boost::json;
namespace leaf = boost::leaf;

constexpr std::uint16_t kAgentPort = 8172;
// Stands for an odd value in a JSON text; a JSON library writes no odd ones.
constexpr const char* kPlaceholder = "\"@odd@\"";

auto Nested(std::size_t aDepth) -> std::string
{
  return std::string(aDepth, '[') + std::string(aDepth, ']');
}

auto OddValues() -> const std::vector<std::string>&
{
  static const std::vector<std::string> kValues{
    "null",
    "true",
    "-1",
    "0",
    "0.5",
    "1e999",
    "-1e999",
    "1e300",
    "99999999999999999999999999",
    "-9223372036854775809",
    "18446744073709551615",
    "9223372036854775807",
    "4294967296",
    "\"\"",
    "\"\\u0000\"",
    "\"\\ud800\"",
    "\"10.0.0.2:99999\"",
    "\"10.0.0.2:0\"",
    "\"10.0.0.2:-1\"",
    "\"10.0.0.2\"",
    "\"0.0.0.0:80\"",
    "\"224.0.0.1:80\"",
    "\"255.255.255.255:80\"",
    "\"[::1]:80\"",
    "\"/99999/\"",
    "\"/0/\"",
    "\"draining\"",
    '"' + std::string(kMaxNameBytes + 1, 'x') + '"',
    '"' + std::string(100000, 'x') + '"',
    Nested(300),
    Nested(100000),
    "{\"a\":" + Nested(30) + "}",
    "[1,2",
    "\x80\xff",
  };
  return kValues;
}

auto Replaced(std::string aText, const std::string& aValue) -> std::string
{
  const auto at = aText.find(kPlaceholder);
  return at == std::string::npos
           ? aText
           : aText.replace(at, std::string(kPlaceholder).size(), aValue);
}

// Calls aCheck with the object's text for each field and odd value.
template<class Check>
auto ForEachOddText(const json::object& aObject, Check aCheck) -> void
{
  std::vector<std::string> fields{ "unheard-of" };
  for (const auto& field : aObject) {
    fields.emplace_back(field.key());
  }
  for (const auto& field : fields) {
    auto object = aObject;
    object[field] = "@odd@";
    const auto text = json::serialize(object);
    for (const auto& value : OddValues()) {
      aCheck(field, Replaced(text, value));
    }
  }
}

auto Base64(const std::string& aText) -> std::string
{
  namespace base64 = boost::beast::detail::base64;
  std::string encoded(base64::encoded_size(aText.size()), '\0');
  encoded.resize(base64::encode(encoded.data(), aText.data(), aText.size()));
  return encoded;
}

auto Registration(int aNumber) -> json::object
{
  return { { "service", "s" },
           { "address", "10.0.0." + std::to_string(aNumber) + ":80" },
           { "zone", "z" },
           { "version", "v1" },
           { "slots", 4 },
           { "state", "ready" },
           { "coldMs", 100 },
           { "seq", 3 },
           { "born", 1700000000000 } };
}

auto Route(int aNumber) -> json::object
{
  return { { "name", "r" + std::to_string(aNumber) },
           { "host", "198.18.0." + std::to_string(aNumber) },
           { "prefix", "/443/" },
           { "backends",
             json::array{ { { "service", "s" }, { "weight", 3 } } } },
           { "kind", "safe" },
           { "timeoutMs", 1000 },
           { "sloMs", 100 },
           { "priority", 2 },
           { "attempts", 2 } };
}

auto ReadPage(const std::string& aBody) -> std::optional<platform::TargetPage>
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<platform::TargetPage>> {
      BOOST_LEAF_AUTO(page, platform::DecodeTargetPage(aBody, kAgentPort));
      return std::optional(std::move(page));
    },
    [] { return std::optional<platform::TargetPage>(); });
}

// The state as a peer has it that pulled it.
auto AtPeer(const Clock& aClock, FleetState& aState)
  -> std::unique_ptr<FleetState>
{
  auto peer = std::make_unique<FleetState>(aClock);
  StateTransfer sender(aState);
  StateTransfer receiver(*peer);
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(
        request,
        DecodeStateRequest(EncodeStateRequest(receiver.MakeRequest())));
      BOOST_LEAF_AUTO(
        reply, DecodeStateReply(EncodeStateReply(sender.MakeReply(request))));
      receiver.Apply(std::move(reply), Millis{ 1 });
      return {};
    },
    [] { ADD_FAILURE() << "unreadable reply"; });
  return peer;
}

auto SettingsObject() -> json::object
{
  return { { "node", "n" },
           { "serves", json::array{ "side" } },
           { "zone", "z" },
           { "listen",
             { { "datagramAddr", "10.0.0.1:8172" },
               { "ready", "10.0.0.1:8167" },
               { "outbound", "10.0.0.1:8162" } } },
           { "internalPorts", json::array{ 7720, 7735 } },
           { "seeds", json::array{ "10.0.0.9:8166" } },
           { "bootstrap", true },
           { "bounds", { { "graceS", 6 }, { "maxFlowS", 60 } } },
           { "service", "s" },
           { "app", "10.0.0.1:8165" },
           { "platform", { { "address", "10.0.0.8:8169" } } } };
}

} // namespace

// Guards against processes that stop following the list, and against an entry
// that reads differently at the reader and at its peers, so that they pull it
// again and again.
TEST(OddEntry, ARegistrationLeavesTheOthersAndMeansTheSameEverywhere)
{
  ForEachOddText(Registration(2), [](const auto& aField, const auto& aText) {
    json::array items;
    for (const auto& [key, value] :
         { std::pair{ std::string("servers/a"),
                      json::serialize(Registration(1)) },
           std::pair{ std::string("servers/b"), aText },
           std::pair{ std::string("servers/c"),
                      json::serialize(Registration(3)) } }) {
      items.push_back({ { "key", key }, { "value", Base64(value) } });
    }
    const auto page = ReadPage(
      json::serialize(json::object{ { "items", items }, { "asOf", 9 } }));
    ASSERT_TRUE(page);
    const auto& targets = page->set.targets;
    ASSERT_GE(targets.size(), 2U) << aField << aText.substr(0, 200);
    EXPECT_EQ(targets.front().id, "a");
    EXPECT_EQ(targets.back().id, "c");
    ManualClock clock;
    FleetState state(clock);
    RouteTable table;
    table.version = 1;
    state.UpdateRoutes(table);
    state.UpdateTargets(page->set, Millis{ 0 });
    const auto peer = AtPeer(clock, state);
    EXPECT_EQ(peer->Digest().targetsHash, state.Digest().targetsHash)
      << aField << aText.substr(0, 200);
  });
}

// Guards against entries of other programs that are used as servers although
// they lack a field that each server writes, or have it with another type.
TEST(OddEntry, ARegistrationWithoutAnyFieldOfServersNamesNoTarget)
{
  const auto usable = [](const json::object& aEntry) {
    std::vector<DecodeFinding> findings;
    const auto target = platform::DecodeTarget(
      "id", json::serialize(aEntry), kAgentPort, findings);
    EXPECT_EQ(findings.size(), target ? 0U : 1U);
    return target.has_value();
  };
  const auto whole = Registration(1);
  EXPECT_TRUE(usable(whole));
  for (const auto& field : whole) {
    auto without = whole;
    without.erase(field.key());
    EXPECT_FALSE(usable(without)) << field.key();
    for (const json::value& other : std::initializer_list<json::value>{
           nullptr, true, json::array{ 1 }, json::object() }) {
      auto retyped = whole;
      retyped[field.key()] = other;
      EXPECT_FALSE(usable(retyped)) << field.key();
    }
    auto retyped = whole;
    retyped[field.key()] =
      field.value().is_string() ? json::value(7) : json::value("7");
    EXPECT_FALSE(usable(retyped)) << field.key();
  }
  for (const auto* field : { "born", "seq", "slots" }) {
    auto fraction = whole;
    fraction[field] = 1.5;
    EXPECT_FALSE(usable(fraction)) << field;
  }
}

TEST(OddEntry, ARouteLeavesTheOthersAndMeansTheSameEverywhere)
{
  ForEachOddText(Route(2), [](const auto& aField, const auto& aText) {
    const auto configuration =
      Replaced(json::serialize(json::object{
                 { "version", 7 },
                 { "routes", json::array{ Route(1), "@odd@", Route(3) } },
                 { "limits", { { "idleTimeoutMs", 12000 } } } }),
               aText);
    const auto decoded = platform::DecodeRoutes(configuration);
    if (!decoded.value) {
      // The text as a whole is no JSON, or too deeply nested.
      EXPECT_EQ(decoded.findings.front().effect, DecodeEffect::AllRefused);
      return;
    }
    const auto& routes = decoded.value->routes;
    ASSERT_GE(routes.size(), 2U) << aField << aText.substr(0, 200);
    EXPECT_EQ(routes.front().name, "r1");
    EXPECT_EQ(routes.back().name, "r3");
    ManualClock clock;
    FleetState state(clock);
    state.UpdateRoutes(*decoded.value);
    state.UpdateTargets({}, Millis{ 0 });
    const auto peer = AtPeer(clock, state);
    const auto& copies = peer->Routes().routes;
    ASSERT_EQ(copies.size(), routes.size());
    for (std::size_t i = 0; i < routes.size(); ++i) {
      EXPECT_EQ(copies[i].name, routes[i].name);
      EXPECT_EQ(copies[i].address, routes[i].address);
      EXPECT_EQ(copies[i].timeout, routes[i].timeout);
      EXPECT_EQ(copies[i].latencyObjective, routes[i].latencyObjective);
      ASSERT_EQ(copies[i].services.size(), routes[i].services.size());
      for (std::size_t j = 0; j < routes[i].services.size(); ++j) {
        EXPECT_EQ(copies[i].services[j].service, routes[i].services[j].service);
        EXPECT_EQ(copies[i].services[j].weight, routes[i].services[j].weight);
      }
    }
  });
}

// A weight that is too large must not wrap to none.
TEST(OddEntry, AWeightThatIsTooLargeIsTheLargest)
{
  auto route = Route(1);
  route["backends"] =
    json::array{ { { "service", "s" }, { "weight", 4294967296 } },
                 { { "service", "t" }, { "weight", 1 } } };
  const auto decoded = platform::DecodeRoutes(json::serialize(
    json::object{ { "version", 7 }, { "routes", json::array{ route } } }));
  ASSERT_TRUE(decoded.value);
  EXPECT_EQ(decoded.value->routes.front().services.front().weight, UINT32_MAX);
}

// A later release of the platform may add fields that are nested more deeply.
TEST(OddEntry, DeeplyNestedUnknownFieldsAreIgnored)
{
  const auto with = [](json::object aObject) {
    aObject["unheard-of"] = "@odd@";
    return Replaced(json::serialize(aObject), Nested(300));
  };
  const auto decoded = platform::DecodeRoutes(
    with({ { "version", 7 }, { "routes", json::array{ Route(1) } } }));
  ASSERT_TRUE(decoded.value);
  EXPECT_EQ(decoded.value->routes.size(), 1U);
  std::vector<DecodeFinding> findings;
  EXPECT_TRUE(
    platform::DecodeTarget("id", with(Registration(1)), kAgentPort, findings));
  const bool accepted = leaf::try_handle_all(
    [&]() -> leaf::result<bool> {
      BOOST_LEAF_CHECK(platform::ParseSettings(with(SettingsObject())));
      return true;
    },
    [] { return false; });
  EXPECT_TRUE(accepted);
}

// Settings are accepted or refused with the key, whatever they hold.
TEST(OddEntry, SettingsAreAcceptedOrRefused)
{
  const auto parse = [](const std::string& aText) {
    return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<RelaySettings>> {
        BOOST_LEAF_AUTO(settings, platform::ParseSettings(aText));
        return std::optional(settings.relay);
      },
      [] { return std::optional<RelaySettings>(); });
  };
  ASSERT_TRUE(parse(json::serialize(SettingsObject())));
  const auto check = [&](const auto&, const auto& aText) {
    const auto settings = parse(aText);
    if (settings) {
      EXPECT_GT(settings->maxFlowLifetime, Millis{ 0 });
      EXPECT_GT(settings->stopTimeout, Millis{ 0 });
      EXPECT_TRUE(settings->packets.IsValid());
    }
  };
  ForEachOddText(SettingsObject(), check);
  for (const auto* section : { "listen", "bounds", "platform" }) {
    const auto whole = SettingsObject();
    ForEachOddText(whole.at(section).get_object(),
                   [&](const auto& aField, const auto& aText) {
                     auto object = whole;
                     object[section] = "@odd@";
                     check(aField, Replaced(json::serialize(object), aText));
                   });
  }
}

// Any figures in a peer's heartbeat. Guards against overflows, against a state
// that passes for confirmed in the future, and against a choice of servers that
// one report decides.
TEST(OddEntry, AnyFiguresOfAPeerLeaveTheProcessUsable)
{
  Holds("heartbeats with any figures", [] {
    const auto any32 = [] {
      return *rc::gen::element<std::uint32_t>(
        0, 1, 4096, 100000, INT32_MAX, UINT32_MAX);
    };
    ManualClock clock;
    FleetState state(clock);
    PeerTable peers(clock);
    TargetSet set;
    set.revision = 5;
    for (std::uint32_t i = 1; i <= 2; ++i) {
      RelayTarget target;
      target.id = std::to_string(i);
      target.service = ServiceIdOf("s");
      target.agent = { i, kAgentPort };
      target.failureDomain = "z";
      set.targets.push_back(target);
    }
    state.UpdateTargets(set, Millis{ 0 });
    clock.Advance(Millis{ 400 });
    RelayHeartbeat heartbeat;
    heartbeat.role = RelayRole::Agent;
    heartbeat.digest = state.Digest();
    heartbeat.digest.age = Millis{ *rc::gen::element<std::int64_t>(
      INT64_MIN, -86400000, -1, 0, 1, INT64_MAX) };
    auto& load = heartbeat.load.emplace_back();
    load.slots = any32();
    load.inFlight = any32();
    load.meanInFlightHundredths = any32();
    load.serviceMicros = any32();
    load.failurePerMille = any32();
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(message,
                        DecodePeerMessage(EncodePeerMessage({ heartbeat })));
        const auto& got = std::get<RelayHeartbeat>(message.body);
        state.Confirm(got.digest);
        peers.OnHeartbeat(1, got);
        return {};
      },
      [] { RC_FAIL("unreadable heartbeat"); });
    RC_ASSERT(*state.Age() >= Millis{ 0 });
    RC_ASSERT(*state.Age() <= Millis{ 400 });
    const auto placement =
      MakePlacementExpectedWait({ "z", 1 }, state, peers, clock);
    const auto choice =
      placement->Choose(ServiceIdOf("s"), { { 7, 7 }, { 8, 443 } }, {});
    RC_ASSERT(choice.agent.IsValid());
    RC_ASSERT(choice.expected >= std::chrono::microseconds{ 0 });
  });
}

// One odd entry of the platform's list of VMs. Guards against a process that
// does not follow the list any more.
TEST(OddEntry, AListedVmLeavesTheOthers)
{
  const auto vm = [](int aNumber) {
    return json::object{ { "member",
                           "10.0.0." + std::to_string(aNumber) + ":80" },
                         { "role", "agent" },
                         { "failure_domain", "z" },
                         { "state", "live" } };
  };
  ForEachOddText(vm(2), [&](const auto& aField, const auto& aText) {
    const auto text =
      Replaced(json::serialize(json::array{ vm(1), "@odd@", vm(3) }), aText);
    // A value that opens a list without closing it takes the text's end along.
    const bool isCut = aText.find("[1,2") != std::string::npos;
    const auto listing = leaf::try_handle_all(
      [&]() -> leaf::result<std::vector<ListedVm>> {
        return DecodeListing(text);
      },
      [] { return std::vector<ListedVm>(); });
    if (isCut) {
      return;
    }
    ASSERT_GE(listing.size(), 2U) << aField << aText.substr(0, 200);
    EXPECT_EQ(ToText(listing.front().member), "10.0.0.1:80");
    EXPECT_EQ(ToText(listing.back().member), "10.0.0.3:80");
  });
  for (const auto* text : { "", "{}", "[", "[{}", "null", "[{},", "[\"" }) {
    const bool refused = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_CHECK(DecodeListing(text));
        return false;
      },
      [] { return true; });
    EXPECT_TRUE(refused) << text;
  }
}

} // namespace damaskwalk
