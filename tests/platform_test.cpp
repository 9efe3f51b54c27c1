// Tests of the platform adapter: packet codec, content reader, settings file
// and store decoders.

#include "platform/content_reader.h"
#include "platform/packet_codec.h"
#include "platform/route_decoder.h"
#include "platform/settings.h"
#include "platform/store_decoder.h"
#include "test_support.h"

#include <boost/algorithm/hex.hpp>

#include <iterator>

namespace damaskwalk::platform {

namespace {

namespace leaf = boost::leaf;

auto FromHex(const std::string& aText) -> std::string
{
  std::string bytes;
  boost::algorithm::unhex(aText, std::back_inserter(bytes));
  return bytes;
}

auto ToHex(const std::string& aBytes) -> std::string
{
  std::string text;
  boost::algorithm::hex_lower(aBytes, std::back_inserter(text));
  return text;
}

// The platform's published example: a first packet from 100.64.0.7:40001 to
// 198.18.0.1:443.
const std::string kExample = "2000112233440000000"
                             "0a1b2c3d5000000000000"
                             "01bbc61200016440000"
                             "79c41";
const std::string kExampleReset = "020000000000000000000000000000000000"
                                  "0000"
                                  "9c4164400007c612000101bb";

const std::string kSettings = R"({
  "node": "side-a-1", "role": "agent", "class": "side", "serves": ["side"],
  "ip": "10.1.0.12", "zone": "zone-a", "region": "r",
  "listen": {"datagramAddr": "10.1.0.12:8172", "outbound": "10.1.0.12:8162",
             "ready": "10.1.0.12:8167"},
  "internalPorts": [7720, 7735], "seeds": ["10.1.0.10:8166", "nonsense"],
  "bounds": {"graceS": 6, "maxFlowS": 45}, "app": "10.1.0.12:8165", "service": "bookings",
  "platform": {"address": "10.200.1.7:8169"}, "unknown": {"key": 1}})";

auto Without(std::string aText, const std::string& aPart) -> std::string
{
  const auto at = aText.find(aPart);
  EXPECT_NE(at, std::string::npos);
  return aText.erase(at, aPart.size());
}

// The key that the error names; "accepted" if the text is valid.
auto RefusedKey(const std::string& aText) -> std::string
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::string> {
      BOOST_LEAF_CHECK(ParseSettings(aText));
      return std::string("accepted");
    },
    [](const SettingsError& aError) { return aError.key; },
    [] { return std::string("no reason"); });
}

} // namespace

TEST(HeaderCodec, DecodesPublishedExample)
{
  auto bytes = FromHex(kExample);
  const HeaderCodec codec;
  const auto packet = codec.Decode(bytes, PacketOrigin::Caller);
  ASSERT_TRUE(packet);
  EXPECT_EQ(ToText(packet->flow), "100.64.0.7:40001>198.18.0.1:443");
  EXPECT_TRUE(packet->opens);
  EXPECT_FALSE(packet->acknowledges);
  EXPECT_EQ(packet->sequence, 0x11223344U);
  EXPECT_TRUE(packet->payload.empty());
}

TEST(HeaderCodec, EncodesPublishedReset)
{
  const FlowKey flow{ *ParseEndpoint("100.64.0.7:40001"),
                      *ParseEndpoint("198.18.0.1:443") };
  EXPECT_EQ(ToHex(HeaderCodec().MakeReset(flow, 0)), kExampleReset);
}

TEST(HeaderCodec, WriteTagChangesOnlyTheTag)
{
  Holds("tags are decoded as written", [] {
    RelayTag tag;
    tag.balancer = *rc::gen::arbitrary<std::uint16_t>();
    tag.hops = *rc::gen::inRange<std::uint8_t>(0, 128);
    tag.wantsHint = *rc::gen::arbitrary<bool>();
    tag.followedRecord = *rc::gen::arbitrary<bool>();
    tag.searching = *rc::gen::arbitrary<bool>();
    tag.complete = *rc::gen::arbitrary<bool>();
    tag.view = *rc::gen::inRange<std::uint8_t>(0, 32);
    auto bytes = FromHex(kExample);
    const HeaderCodec codec;
    codec.WriteTag(bytes, tag);
    RC_ASSERT(codec.Decode(bytes, PacketOrigin::Caller)->tag == tag);
    codec.WriteTag(bytes, RelayTag{});
    RC_ASSERT(ToHex(bytes) == kExample);
  });
}

TEST(HeaderCodec, ReturnedPacketKeepsTheCallersFlow)
{
  auto bytes = FromHex(kExample);
  bytes[0] = static_cast<char>(bytes[0] | 8);
  const HeaderCodec codec;
  const auto packet = codec.Decode(bytes, PacketOrigin::Backend);
  ASSERT_TRUE(packet);
  EXPECT_TRUE(packet->returned);
  EXPECT_EQ(ToText(packet->flow), "100.64.0.7:40001>198.18.0.1:443");
  codec.ClearReturned(bytes);
  EXPECT_EQ(ToHex(bytes), kExample);
}

TEST(HeaderCodec, ArbitraryBytesGiveNoPacketBeyondTheirSize)
{
  Holds("arbitrary bytes as packets", [] {
    auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    const auto packet = HeaderCodec().Decode(bytes, PacketOrigin::Caller);
    RC_ASSERT(!packet || packet->payload.size() + 32 == bytes.size());
  });
}

TEST(ContentReader, ReadsRequestIdsAndAnswerStatuses)
{
  const HttpContentReader reader;
  EXPECT_EQ(reader.RequestId("GET / HTTP/1.1\r\nHost: x\r\n"
                             "x-damaskwalk-request-id: abc\r\n\r\n"),
            "abc");
  EXPECT_EQ(reader.RequestId("no header"), "");
  EXPECT_EQ(reader.Answer("HTTP/1.1 200 OK\r\n\r\n").status, 200);
  EXPECT_EQ(reader.Answer("rest of a body").status, 0);
  const auto refused =
    reader.Answer("HTTP/1.1 503 x\r\nX-Damaskwalk-Not-Executed: 1\r\n\r\n");
  EXPECT_TRUE(refused.notRun);
  EXPECT_FALSE(reader.Answer("HTTP/1.1 500 x\r\n\r\n").notRun);
  EXPECT_TRUE(reader.Answer("HTTP/1.1 421 x\r\n\r\n").notRun);
}

TEST(ContentReader, ReadsTheLengthOfARequestFromItsHead)
{
  const HttpContentReader reader;
  const std::string head = "POST /lists HTTP/1.1\r\nHost: x\r\n";
  EXPECT_EQ(reader.RequestBytes("GET / HTTP/1.1\r\n\r\n"), 18U);
  EXPECT_EQ(reader.RequestBytes(head + "content-length: 20000\r\n\r\nab"),
            head.size() + 25 + 20000);
  EXPECT_EQ(reader.RequestBytes(head + "Transfer-Encoding: chunked\r\n\r\n"),
            0U);
  EXPECT_EQ(reader.RequestBytes(head + "Content-Length: 9999999999\r\n\r\n"),
            0U);
  EXPECT_EQ(reader.RequestBytes(head), 0U); // the head goes on
  EXPECT_EQ(reader.RequestBytes("rest of a body"), std::nullopt);
  EXPECT_EQ(reader.RequestBytes("body\r\nGET / HTTP/1.1\r\n"), std::nullopt);
}

TEST(PlatformSettings, MapsTheFileToRelaySettings)
{
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(settings, ParseSettings(kSettings));
      EXPECT_EQ(settings.relay.role, RelayRole::Agent);
      EXPECT_EQ(settings.relay.failureDomain, "zone-a");
      EXPECT_EQ(ToText(settings.relay.packets), "10.1.0.12:8172");
      EXPECT_EQ(ToText(settings.relay.peers), "10.1.0.12:7720");
      EXPECT_EQ(ToText(settings.relay.backend), "10.1.0.12:8165");
      EXPECT_EQ(settings.relay.callerPort, 8172);
      EXPECT_EQ(settings.relay.seeds.size(), 1U);
      EXPECT_EQ(settings.relay.stopTimeout, Millis{ 5000 });
      EXPECT_EQ(ToText(settings.store), "10.200.1.7:8169");
      return {};
    },
    [] { FAIL() << "valid settings were refused"; });
}

TEST(PlatformSettings, ErrorNamesTheRefusedKey)
{
  EXPECT_EQ(RefusedKey("not json"), "");
  EXPECT_EQ(RefusedKey(kSettings), "accepted");
  EXPECT_EQ(RefusedKey(Without(kSettings, "\"serves\": [\"side\"],")),
            "serves");
  EXPECT_EQ(RefusedKey(Without(kSettings, "[7720, 7735]") + ""), "");
  EXPECT_EQ(RefusedKey(Without(kSettings, "\"app\": \"10.1.0.12:8165\",")),
            "app");
  EXPECT_EQ(RefusedKey(Without(kSettings, "10.200.1.7")), "platform.address");
}

// Fields that only name or place the process have defaults, and a figure out of
// its range is not used.
TEST(PlatformSettings, DefaultsAreReported)
{
  const auto fieldsOf = [](const std::string& aText) {
    return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(settings, ParseSettings(aText));
        std::string fields;
        for (const auto& finding : settings.findings) {
          fields += finding.field + " ";
        }
        return fields;
      },
      [] { return std::string("refused"); });
  };
  EXPECT_EQ(fieldsOf(kSettings), "seeds ");
  EXPECT_EQ(fieldsOf(Without(kSettings, "\"node\": \"side-a-1\",")),
            "node seeds ");
  EXPECT_EQ(fieldsOf(Without(kSettings, "\"zone\": \"zone-a\",")),
            "zone seeds ");
  auto text = kSettings;
  text.replace(text.find("\"graceS\": 6"), 11, "\"graceS\": 1e300");
  EXPECT_EQ(fieldsOf(text), "seeds bounds.graceS ");
  text.replace(text.find("\"maxFlowS\": 45"), 14, "\"maxFlowS\": 0");
  EXPECT_EQ(fieldsOf(text), "seeds bounds.graceS bounds.maxFlowS ");
}

TEST(StoreDecoder, SkipsUnusableEntriesOfATargetPage)
{
  // {"service":"s","address":"10.0.0.9:80","zone":"z","slots":3,
  //  "state":"ready","coldMs":500,"seq":4,"born":1700000000000,"version":"v1"}
  const std::string good =
    "eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuOTo4MCIsInpvbmUiOiJ6Iiwic2xv"
    "dHMiOjMsInN0YXRlIjoicmVhZHkiLCJjb2xkTXMiOjUwMCwic2VxIjo0LCJib3JuIjoxNzAw"
    "MDAwMDAwMDAwLCJ2ZXJzaW9uIjoidjEifQ==";
  const auto body = R"({"items":[{"key":"servers/a","value":")" + good +
                    R"("},{"key":"servers/b","value":"!!!"},)"
                    R"({"key":"servers/c","value":"eyJzZXJ2aWNlIjo3fQ=="},)"
                    R"({"key":7},17],"truncated":true,"asOf":530})";
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(page, DecodeTargetPage(body, 8172));
      EXPECT_EQ(page.set.revision, 530U);
      EXPECT_TRUE(page.hasMore);
      EXPECT_EQ(page.lastKey, "servers/c");
      EXPECT_EQ(page.findings.size(), 4U);
      EXPECT_EQ(page.set.targets.size(), 1U);
      const auto& target = page.set.targets.front();
      EXPECT_EQ(target.id, "a");
      EXPECT_EQ(ToText(target.agent), "10.0.0.9:8172");
      EXPECT_EQ(target.slots, 3U);
      EXPECT_EQ(target.coldRemaining, Millis{ 500 });
      EXPECT_EQ(target.startedAtMillis, 1700000000000);
      return {};
    },
    [] { FAIL() << "valid target page was refused"; });
}

TEST(StoreDecoder, RefusesTargetWithAMissingOrInvalidField)
{
  const auto usable = [](const std::string& aText) {
    std::vector<DecodeFinding> findings;
    return DecodeTarget("id", aText, 1, findings).has_value();
  };
  const std::string good =
    R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":3,)"
    R"("state":"draining","coldMs":0,"seq":4,"version":"v1","born":17})";
  EXPECT_TRUE(usable(good));
  EXPECT_FALSE(usable(""));
  EXPECT_FALSE(usable("[]"));
  for (const auto* part : { "\"service\":\"s\",",
                            "\"address\":\"10.0.0.9:80\",",
                            "\"zone\":\"z\",",
                            "\"slots\":3,",
                            "\"state\":\"draining\",",
                            "\"coldMs\":0,",
                            "\"seq\":4,",
                            "\"version\":\"v1\",",
                            ",\"born\":17" }) {
    EXPECT_FALSE(usable(Without(good, part))) << part;
  }
  const auto with = [&good](const std::string& aFrom, const std::string& aTo) {
    auto text = good;
    text.replace(text.find(aFrom), aFrom.size(), aTo);
    return text;
  };
  EXPECT_FALSE(usable(with("draining", "resting")));
  EXPECT_FALSE(usable(with(":3", ":-3")));
}

TEST(StoreDecoder, DecodesRoutes)
{
  const auto* text =
    R"({"version":7,"routes":[
      {"name":"r1","host":"198.18.0.1","prefix":"/8443/","kind":"safe",
       "timeoutMs":1200,"sloMs":120,"priority":2,
       "backends":[{"service":"a","weight":90},{"service":"b","weight":10}]},
      {"name":"r2","host":"198.18.0.2","prefix":"/80/","kind":"unsafe",
       "timeoutMs":1500,"sloMs":150,"priority":1,"service":"a"},
      {"name":"r3","host":"198.18.0.3","prefix":"/80/","kind":"upload",
       "timeoutMs":3000,"sloMs":500,"priority":2,"service":"a"}],
      "limits":{"idleTimeoutMs":15000}})";
  const auto decoded = DecodeRoutes(text);
  EXPECT_TRUE(decoded.findings.empty());
  ASSERT_TRUE(decoded.value);
  const auto& table = *decoded.value;
  EXPECT_EQ(table.version, 7U);
  EXPECT_EQ(table.idleTimeout, Millis{ 15000 });
  ASSERT_EQ(table.routes.size(), 3U);
  EXPECT_EQ(ToText(table.routes[0].address), "198.18.0.1:8443");
  EXPECT_TRUE(table.routes[0].Allows(ServiceIdOf("b")));
  EXPECT_EQ(table.routes[0].latencyObjective, Millis{ 120 });
  EXPECT_EQ(table.routes[1].kind, RouteKind::AtMostOnce);
  EXPECT_FALSE(table.routes[1].Allows(ServiceIdOf("b")));
  EXPECT_EQ(table.routes[2].kind, RouteKind::Upload);
}

TEST(StoreDecoder, ArbitraryTextDoesNotCrashDecoders)
{
  Holds("arbitrary text as store bodies and settings", [] {
    const auto text =
      *rc::gen::container<std::string>(rc::gen::elementOf(std::string(
        R"({}[]":,0159eE-.truefalsnitemsvaluekeyasOfroutesversion)")));
    const auto refused = [](auto aDecode) {
      return leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(aDecode());
          return false;
        },
        [] { return true; });
    };
    refused([&] { return DecodeTargetPage(text, 1); });
    refused([&] { return DecodeOperatorPage(text); });
    refused([&] { return DecodeWatch(text, "k"); });
    refused([&] { return ParseSettings(text); });
    DecodeRoutes(text);
    std::vector<DecodeFinding> findings;
    DecodeTarget("id", text, 1, findings);
  });
}

} // namespace damaskwalk::platform
