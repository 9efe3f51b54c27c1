#include "test_support.h"

namespace damaskwalk {
namespace {

constexpr int kInputsPerKind = 100000;

// One message of each kind. Fill the lists and texts of every kind; only some
// texts are empty.
auto Samples() -> std::vector<Message>
{
  const MemberFact fact{ Agent(1), Role::Agent, MemberState::Suspect, 7, "a" };
  const FlowFact flow{ FlowNumber(1), Agent(2), 3, 0 };
  const KeyRecordText record{ "k", { 1, 2 }, 1, 5, "answer" };
  FlowState state;
  state.flow = FlowNumber(4);
  state.unacked = "abc";
  state.feedRequest = "GET /";
  Heartbeat heartbeat;
  heartbeat.heard = { { Agent(1), 5 } };
  heartbeat.heaviest = { { 9, 10 } };
  heartbeat.facts = { fact };
  return {
    PacketForward{ ServiceId{ 1 }, PacketStage::Entry, 1, {}, "frame" },
    FlowHint{ FlowNumber(1), Agent(1) },
    FlowRegister{ ServiceId{ 1 }, { flow, flow } },
    FlowReject{ { flow } },
    FlowLookup{ FlowNumber(1), 3 },
    FlowLookupReply{ FlowNumber(1), Agent(1), 2 },
    heartbeat,
    Probe{ 1, Agent(2), { fact } },
    ProbeAck{ 1, Agent(2), { fact } },
    DocumentAdvert{ 4 },
    WrongService{ FlowNumber(1) },
    DocumentPull{ 3 },
    DocumentReply{ 1, 2, 3, { { "service a", "x = 1" } }, { { "b", "" } } },
    ExecuteRequest{
      ServiceId{ 1 }, { 1, 2 }, "kind", 1, 1, 5, {}, "GET / HTTP/1.1" },
    ExecuteReply{ Outcome::NotRun, {}, "answer", "cause" },
    KeyClaim{ ServiceId{ 1 }, "key", "caller", { 1, 2 }, 4 },
    KeyClaimReply{ ClaimResult::Granted, "answer" },
    KeyOutcome{
      ServiceId{ 1 }, "key", "caller", { 1, 2 }, Outcome::Answered, "a" },
    KeyPull{ ServiceId{ 1 }, 2, 3, 1 },
    KeyPullReply{ 1, 1, 5, { record } },
    Handover{ ServiceId{ 1 }, { state } },
    HandoverReply{ 1, { FlowNumber(2) } },
    StatusQuery{},
    ExplainQuery{ "flow", "request" },
    TextReply{ "{}" },
    KeyResign{ ServiceId{ 1 }, 2, { 1, 0, 5, { record } } }
  };
}

auto Decodes(std::string_view aBytes) -> bool
{
  return boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<bool> {
      BOOST_LEAF_AUTO(received, DecodeMessage(aBytes));
      return EncodeMessage(received.envelope, received.message).size() > 0;
    },
    [] { return false; });
}

TEST(Wire, EveryKindOfMessageRoundTrips)
{
  const auto samples = Samples();
  ASSERT_EQ(samples.size(), std::variant_size_v<Message>);
  for (std::size_t i = 0; i < samples.size(); ++i) {
    ASSERT_EQ(samples[i].index(), i);
    const Envelope envelope{ Agent(1), Role::Agent, 2, 3, 4 };
    const auto bytes = EncodeMessage(envelope, samples[i]);
    const auto reencoded = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::string> {
        BOOST_LEAF_AUTO(received, DecodeMessage(bytes));
        return EncodeMessage(received.envelope, received.message);
      },
      [] { return std::string(); });
    EXPECT_EQ(reencoded, bytes) << KindName(samples[i]);
  }
}

TEST(Wire, TruncatedMessageIsRefused)
{
  for (const auto& sample : Samples()) {
    const auto bytes = EncodeMessage({}, sample);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      EXPECT_FALSE(Decodes({ bytes.data(), size })) << KindName(sample);
    }
  }
}

// Guards against a decoder that crashes on damaged or hostile input.
TEST(Wire, RandomAndMutatedInputsAreDecodedWithoutCrash)
{
  std::mt19937_64 random(20261204);
  for (const auto& sample : Samples()) {
    const auto valid = EncodeMessage({}, sample);
    for (int i = 0; i < kInputsPerKind; ++i) {
      auto bytes = valid;
      if (i % 4 == 0) {
        // Random bytes after valid magic, version and kind, so that the body
        // is decoded.
        for (std::size_t at = 5; at < bytes.size(); ++at) {
          bytes[at] = static_cast<char>(random());
        }
      }
      const auto changes = 1 + random() % 6;
      for (std::size_t change = 0; change < changes; ++change) {
        bytes[random() % bytes.size()] = static_cast<char>(random());
      }
      bytes.resize(bytes.size() - random() % 3 % bytes.size());
      Decodes(bytes);
    }
  }
}

// The text's length field states 0x000FFFFF bytes, which its limit allows, but
// only 8 follow. Guards against a decoder that allocates memory for a stated
// length that the input does not hold.
TEST(Wire, StatedLengthBeyondTheInputIsRefused)
{
  auto bytes = EncodeMessage({}, TextReply{ std::string(8, 'x') });
  // The length of the text: the last four bytes before its content.
  const auto at = bytes.size() - 8 - 4;
  bytes[at] = bytes[at + 1] = static_cast<char>(0xFF);
  bytes[at + 2] = 0x0F;
  EXPECT_FALSE(Decodes(bytes));
}

TEST(Wire, FrameRoundTrips)
{
  Holds("frame round trip",
        [](const std::string& aPayload, std::uint32_t aSeq) {
          Frame frame;
          frame.source = Agent(1);
          frame.sequence = aSeq;
          frame.payload = aPayload.substr(0, kMaxSegmentBytes);
          const auto bytes = EncodeFrame(frame);
          RC_ASSERT(LooksLikeFrame(bytes));
          const auto reencoded = boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::string> {
              BOOST_LEAF_AUTO(decoded, DecodeFrame(bytes));
              return EncodeFrame(decoded);
            },
            [] { return std::string(); });
          RC_ASSERT(reencoded == bytes);
        });
}

} // namespace
} // namespace damaskwalk
