// Stored values and peer messages of other programs and other releases: what a
// decoder does not know must not take away what it knows.

#include "platform/route_decoder.h"
#include "platform/store_decoder.h"
#include "relay/peer_messages.h"
#include "relay_node/fault_guard.h"
#include "relay_node/finding_log.h"
#include "test_support.h"

#include <boost/json.hpp>
#include <boost/leaf/pred.hpp>

#include <set>
#include <stdexcept>

namespace damaskwalk::platform {

namespace json = boost::json;

namespace {

auto RouteNumber(std::size_t aNumber) -> json::object
{
  const char* kinds[] = { "safe", "unsafe", "download", "upload" };
  return { { "name", "r" + std::to_string(aNumber) },
           { "host", "198.18.0." + std::to_string(1 + aNumber) },
           { "prefix", "/443/" },
           { "service", "s" + std::to_string(aNumber % 3) },
           { "kind", kinds[aNumber % 4] },
           { "timeoutMs", 1000 + aNumber },
           { "sloMs", 100 + aNumber },
           { "priority", aNumber % 3 } };
}

auto ConfigurationOf(const json::array& aRoutes) -> std::string
{
  return json::serialize(
    json::object{ { "version", 7 },
                  { "routes", aRoutes },
                  { "limits", { { "idleTimeoutMs", 12000 } } } });
}

auto TargetNumber(std::size_t aNumber) -> json::object
{
  return { { "service", "s" + std::to_string(aNumber % 3) },
           { "address", "10.0.0." + std::to_string(1 + aNumber) + ":80" },
           { "zone", "z" },
           { "version", "1.2" },
           { "slots", 1 + aNumber % 5 },
           { "state", aNumber % 2 == 0 ? "ready" : "draining" },
           { "coldMs", 0 },
           { "seq", 3 },
           { "born", 1700000000000 } };
}

// Drops, retypes or renames a random field, gives it an unknown word, or adds
// an unknown field.
auto Disturb(json::object& aEntry) -> void
{
  const auto index = *rc::gen::inRange<std::size_t>(0, aEntry.size());
  const std::string name = std::next(aEntry.begin(), long(index))->key();
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      aEntry.erase(name);
      break;
    case 1:
      aEntry[name] = *rc::gen::elementOf(std::vector<json::value>{
        nullptr, true, -3, 1e300, 0.5, json::array{ 1 }, json::object() });
      break;
    case 2:
      aEntry["x" + name] = aEntry[name];
      aEntry.erase(name);
      break;
    case 3:
      aEntry[name] = "unheard-of";
      break;
    default:
      aEntry["unheard-of"] = json::object{ { "a", json::array{ 1, "b" } } };
      break;
  }
}

auto Base64(const std::string& aText) -> std::string
{
  static const char* kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    std::uint32_t word = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      const auto at = i + j;
      word = word << 8 | (at < aText.size() ? std::uint8_t(aText[at]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j > aText.size() ? '=' : kDigits[word >> (18 - 6 * j) & 63];
    }
  }
  return out;
}

auto IsSameRoute(const RelayRoute& aLeft, const RelayRoute& aRight) -> bool
{
  return aLeft.name == aRight.name && aLeft.address == aRight.address &&
         aLeft.kind == aRight.kind && aLeft.timeout == aRight.timeout &&
         aLeft.latencyObjective == aRight.latencyObjective &&
         aLeft.priority == aRight.priority &&
         aLeft.services.front().service == aRight.services.front().service;
}

} // namespace

TEST(Decoding, UntouchedRoutesHoldBesideDisturbedOnes)
{
  Holds("configurations with disturbed routes", [] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 20);
    const auto disturbed = *rc::gen::container<std::set<std::size_t>>(
      rc::gen::inRange(std::size_t{ 0 }, count));
    json::array routes;
    json::array untouched;
    for (std::size_t i = 0; i < count; ++i) {
      auto route = RouteNumber(i);
      if (disturbed.contains(i)) {
        Disturb(route);
      } else {
        untouched.push_back(route);
      }
      routes.push_back(std::move(route));
    }
    const auto decoded = DecodeRoutes(ConfigurationOf(routes));
    const auto expected = DecodeRoutes(ConfigurationOf(untouched));
    RC_ASSERT(decoded.value.has_value());
    RC_ASSERT(expected.findings.empty());
    RC_ASSERT(decoded.value->idleTimeout == Millis{ 12000 });
    for (const auto& route : expected.value->routes) {
      RC_ASSERT(
        std::ranges::any_of(decoded.value->routes, [&](const auto& aRoute) {
          return IsSameRoute(route, aRoute);
        }));
    }
    const auto skipped = std::ranges::count(
      decoded.findings, DecodeEffect::EntrySkipped, &DecodeFinding::effect);
    RC_ASSERT(decoded.value->routes.size() + std::size_t(skipped) == count);
  });
}

TEST(Decoding, UntouchedTargetsHoldBesideDisturbedOnes)
{
  Holds("target pages with disturbed entries", [] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 20);
    json::array items;
    std::set<std::string> untouched;
    for (std::size_t i = 0; i < count; ++i) {
      auto target = TargetNumber(i);
      const auto id = "t" + std::to_string(i);
      if (*rc::gen::arbitrary<bool>()) {
        Disturb(target);
      } else {
        untouched.insert(id);
      }
      json::object item{ { "key", "servers/" + id },
                         { "value", Base64(json::serialize(target)) },
                         { "revision", 4 } };
      if (*rc::gen::inRange(0, 8) == 0) {
        untouched.erase(id);
        Disturb(item);
      }
      items.push_back(std::move(item));
    }
    const auto body =
      json::serialize(json::object{ { "items", items }, { "asOf", 9 } });
    boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(page, DecodeTargetPage(body, 8172));
        for (const auto& target : page.set.targets) {
          untouched.erase(target.id);
        }
        return {};
      },
      [] { RC_FAIL("page refused"); });
    RC_ASSERT(untouched.empty());
  });
}

// A kind of a later release may not be repeated, as far as this release knows.
TEST(Decoding, AnUnknownKindIsServedAtMostOnce)
{
  auto route = RouteNumber(0);
  route["kind"] = "sideload";
  const auto decoded = DecodeRoutes(ConfigurationOf({ route, RouteNumber(1) }));
  ASSERT_TRUE(decoded.value);
  ASSERT_EQ(decoded.value->routes.size(), 2U);
  EXPECT_EQ(decoded.value->routes[0].kind, RouteKind::AtMostOnce);
  const std::vector<DecodeFinding> expected{
    { "r0", "kind", DecodeEffect::DefaultUsed }
  };
  EXPECT_EQ(decoded.findings, expected);
}

TEST(Decoding, MissingFiguresGetTheirDefaults)
{
  auto route = RouteNumber(0);
  route.erase("timeoutMs");
  route["sloMs"] = "soon";
  route.erase("priority");
  const auto decoded = DecodeRoutes(ConfigurationOf({ route }));
  ASSERT_TRUE(decoded.value);
  EXPECT_EQ(decoded.value->routes[0].timeout, Millis{ 0 });
  EXPECT_EQ(decoded.value->routes[0].latencyObjective, Millis{ 0 });
  EXPECT_EQ(decoded.value->routes[0].priority, kDefaultPriority);
  EXPECT_EQ(decoded.findings.size(), 3U);
}

TEST(Decoding, WhatIsNoConfigurationIsRefusedWithItsReason)
{
  const auto refusedField = [](std::string_view aText) {
    const auto decoded = DecodeRoutes(aText);
    EXPECT_FALSE(decoded.value);
    EXPECT_EQ(decoded.findings.size(), 1U);
    EXPECT_EQ(decoded.findings.front().effect, DecodeEffect::AllRefused);
    return decoded.findings.front().field;
  };
  EXPECT_EQ(refusedField(""), "");
  EXPECT_EQ(refusedField("[]"), "");
  EXPECT_EQ(refusedField(R"({"routes":[]})"), "version");
  EXPECT_EQ(refusedField(R"({"version":3,"routes":{}})"), "routes");
}

// A watch covers every key that begins with the configuration's.
TEST(Decoding, AWatchReportsOnlyItsKey)
{
  const auto body = json::serialize(
    json::object{ { "asOf", 9 },
                  { "events",
                    json::array{ json::object{ { "key", "op/config" },
                                               { "value", Base64("first") },
                                               { "revision", 7 } },
                                 json::object{ { "key", "op/config-of-others" },
                                               { "value", Base64("foreign") },
                                               { "revision", 8 } },
                                 json::object{ { "key", "op/config" },
                                               { "revision", 9 },
                                               { "deleted", true } } } } });
  boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<void> {
      BOOST_LEAF_AUTO(change, DecodeWatch(body, "op/config"));
      EXPECT_EQ(change.revision, 9U);
      EXPECT_TRUE(change.values.size() == 1 &&
                  change.values.front().text == "first");
      return {};
    },
    [] { FAIL() << "watch refused"; });
}

} // namespace damaskwalk::platform

namespace damaskwalk {

namespace {

class LineCounter final : public EventSink
{
public:
  auto Write(EventLevel, std::string_view aLine) -> void override
  {
    lines.emplace_back(aLine);
  }
  std::vector<std::string> lines;
};

} // namespace

// The store is read several times a second; a finding is logged once.
TEST(FindingLog, LogsOneLineForEachChange)
{
  LineCounter log;
  FindingLog findings("routes", log);
  const std::vector<DecodeFinding> some{
    { "r1", "kind", DecodeEffect::DefaultUsed },
    { "r2", "host", DecodeEffect::EntrySkipped }
  };
  for (std::uint64_t version = 1; version <= 3; ++version) {
    findings.Update(version, some);
  }
  ASSERT_EQ(log.lines.size(), 1U);
  EXPECT_NE(log.lines[0].find("r1.kind,r2.host"), std::string::npos);
  EXPECT_EQ(findings.Counts().defaults, 1U);
  EXPECT_EQ(findings.Counts().skipped, 1U);
  EXPECT_FALSE(findings.IsRefused());
  findings.Update(4, { { "", "version", DecodeEffect::AllRefused } });
  EXPECT_TRUE(findings.IsRefused());
  findings.Update(5, {});
  EXPECT_FALSE(findings.IsRefused());
  EXPECT_EQ(log.lines.size(), 3U);
}

// An exception that nobody foresaw ends the handling of one message, not the
// process.
TEST(FaultGuard, CountsAndLogsAnExceptionAndGoesOn)
{
  LineCounter log;
  FaultGuard guard(log);
  bool reached = false;
  guard.Run([] { throw std::length_error("too long"); });
  guard.Run([&reached] { reached = true; });
  EXPECT_TRUE(reached);
  EXPECT_EQ(guard.Count(), 1U);
  ASSERT_EQ(log.lines.size(), 1U);
  EXPECT_NE(log.lines[0].find("too long"), std::string::npos);
}

// A peer of a later release appends fields, and sends kinds that this release
// does not know.
TEST(Decoding, MessagesOfALaterReleaseKeepThePeer)
{
  RelayHeartbeat heartbeat;
  heartbeat.incarnation = 77;
  heartbeat.load.push_back({});
  heartbeat.load.front().inFlight = 5;
  auto bytes = EncodePeerMessage({ heartbeat }) + "more";
  boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<void> {
      BOOST_LEAF_AUTO(message, DecodePeerMessage(bytes));
      const auto& got = std::get<RelayHeartbeat>(message.body);
      EXPECT_EQ(got.incarnation, 77U);
      EXPECT_EQ(got.load.front().inFlight, 5U);
      return {};
    },
    [] { FAIL() << "heartbeat with an appended field refused"; });
  StateReply reply;
  reply.digest.routes = 12;
  boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<void> {
      BOOST_LEAF_AUTO(got, DecodeStateReply(EncodeStateReply(reply) + "more"));
      EXPECT_EQ(got.digest.routes, 12U);
      return {};
    },
    [] { FAIL() << "reply with an appended field refused"; });
  bytes[2] = 99; // after cereal's byte order and the layout: the kind
  const bool unknownKind = boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<bool> {
      BOOST_LEAF_CHECK(DecodePeerMessage(bytes));
      return false;
    },
    [](boost::leaf::match<WireError, WireError::UnknownKind>) { return true; },
    [] { return false; });
  EXPECT_TRUE(unknownKind);
}

} // namespace damaskwalk
