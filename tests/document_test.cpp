#include "test_support.h"

#include "core/document_store.h"
#include "core/document_version.h"
#include "damaskwalk/damaskwalk.h"

namespace damaskwalk {
namespace {

constexpr const char* kValidDocument = R"([document]
teams = tower, tides
[service a]
owner = tower
addresses = 10.0.0.1:80
[service b]
owner = tides
addresses = 10.0.0.2:80
[backend a1]
owner = tower
service = a
agent = 127.0.0.1:7101
server = 127.0.0.1:8101
failure_domain = x
[backend b1]
owner = tides
service = b
agent = 127.0.0.1:7102
server = 127.0.0.1:8102
failure_domain = x
)";

auto Replace(std::string aText,
             const std::string& aFrom,
             const std::string& aTo) -> std::string
{
  return aText.replace(aText.find(aFrom), aFrom.size(), aTo);
}

struct Fault
{
  const char* from;
  const char* to;
  const char* problem;
};

class DocumentFaults : public testing::TestWithParam<Fault>
{};

TEST_P(DocumentFaults, FaultIsReportedWithValidForm)
{
  const auto& fault = GetParam();
  const auto problems =
    CheckDocument(Replace(kValidDocument, fault.from, fault.to));
  ASSERT_FALSE(problems.empty());
  bool named = false;
  for (const auto& problem : problems) {
    named = named || problem.problem.find(fault.problem) != std::string::npos;
    EXPECT_FALSE(problem.valid.empty());
  }
  EXPECT_TRUE(named) << problems.front().problem;
}

INSTANTIATE_TEST_SUITE_P(
  Each,
  DocumentFaults,
  testing::Values(
    Fault{ "10.0.0.2:80", "10.0.0.1:80", "overlaps" },
    Fault{ "service = b", "service = a", "may not edit" },
    Fault{ "service = b", "service = c", "unknown service" },
    Fault{ "owner = tides\naddresses",
           "owner = sea\naddresses",
           "unknown owner" },
    Fault{ "addresses = 10.0.0.1:80",
           "addresses = 10.0.0.1:80\nfirst_packets = 50",
           "without unit" },
    Fault{ "addresses = 10.0.0.1:80",
           "addresses = 10.0.0.1:80\ncolour = red",
           "unknown key" },
    Fault{ "service = a\n", "service = a\nslots = many\n", "bad number" },
    Fault{ "127.0.0.1:7102", "127.0.0.1:7101", "overlaps" },
    Fault{ "[backend b1]", "[caller b1]", "unknown key" },
    Fault{ "10.0.0.1:80", "10.0.0:80", "bad address" }));

TEST(Document, ExampleDocumentsAreAccepted)
{
  for (const auto* name : { "examples/melaka.ini", "examples/iceland.ini" }) {
    const auto parsed = ParseDocument(ReadSource(name), 1);
    ASSERT_TRUE(parsed.document) << name;
    ASSERT_EQ(parsed.document->services.size(), 2U);
    EXPECT_EQ(parsed.document->services[0].backends.size(), 7U);
    EXPECT_EQ(parsed.document->services[1].backends.size(), 3U);
  }
}

TEST(Document, ApplyingADeltaGivesTheTargetDigest)
{
  Holds("delta round trip", [](const std::vector<bool>& aKeep) {
    std::vector<Section> from;
    std::vector<Section> to;
    for (std::size_t i = 0; i < aKeep.size(); ++i) {
      const auto name = "s" + std::to_string(i);
      from.push_back({ name, "x = 1\n" });
      if (aKeep[i]) {
        to.push_back({ name, i % 2 == 0 ? "x = 1\n" : "x = 2\n" });
      }
    }
    const auto again = ApplyDelta(from, DiffSections(from, to));
    RC_ASSERT(DigestSections(again) == DigestSections(to));
  });
}

// Documents, deltas, stale copies and damaged replies arrive in any order. No
// store may go back to an older version or apply an invalid document, and all
// must converge on the newest version.
TEST(Document, VersionInForceOnlyIncreases)
{
  Holds("version only increases and the newest wins", [](std::uint64_t aSeed) {
    const ManualClock clock;
    std::mt19937_64 random(aSeed);
    std::vector<std::unique_ptr<DocumentStore>> stores;
    for (int i = 0; i < 5; ++i) {
      stores.push_back(std::make_unique<DocumentStore>(clock));
    }
    std::vector<std::string> published;
    for (int step = 0; step < 120; ++step) {
      auto& one = *stores[random() % stores.size()];
      auto& other = *stores[random() % stores.size()];
      const auto before = one.Version();
      if (random() % 8 == 0) {
        const auto rate = std::to_string(1 + published.size());
        const bool good = random() % 4 != 0;
        published.push_back(std::string(kValidDocument) +
                            "[caller c]\nowner = tower\n" + "rate = " + rate +
                            (good ? "/s\n" : "\n"));
      }
      if (!published.empty() && random() % 4 == 0) {
        // From the platform, which may return an older version.
        const auto version = 1 + random() % published.size();
        one.OfferText(published[version - 1], version);
      } else {
        auto reply = other.ReplySince(random() % 3 == 0 ? 0 : one.Version());
        if (random() % 10 == 0 && !reply.changed.empty()) {
          reply.changed.pop_back(); // damaged reply: digest mismatch
        }
        one.OfferReply(reply);
      }
      RC_ASSERT(one.Version() >= before);
      RC_ASSERT(one.Version() == 0 || one.Current()->services.size() == 2U);
    }
    DocumentVersion newest = 0;
    for (const auto& store : stores) {
      newest = std::max(newest, store->Version());
    }
    for (int round = 0; round < 2; ++round) {
      for (const auto& from : stores) {
        for (const auto& to : stores) {
          to->OfferReply(from->ReplySince(to->Version()));
        }
      }
    }
    for (const auto& store : stores) {
      RC_ASSERT(store->Version() == newest);
    }
  });
}

TEST(Document, TagsCarryTheEra)
{
  EXPECT_EQ(ParseDocumentTag("\"42\""), 42U);
  EXPECT_EQ(ParseDocumentTag("\"2-42\""), MakeDocumentVersion(2, 42));
  EXPECT_GT(MakeDocumentVersion(1, 1), MakeDocumentVersion(0, 1000));
  for (const auto* tag : { "",
                           "\"\"",
                           "\"-\"",
                           "\"2-\"",
                           "\"-4\"",
                           "\"2-4-1\"",
                           "\"x\"",
                           "\"65536-1\"",
                           "\"281474976710656\"" }) {
    EXPECT_EQ(ParseDocumentTag(tag), 0U) << tag;
  }
  Holds("a version's tag gives the version", [] {
    const auto version =
      MakeDocumentVersion(*rc::gen::inRange(0, 65536),
                          *rc::gen::inRange<std::uint64_t>(0, 1ULL << 48));
    RC_ASSERT(ParseDocumentTag(ToDocumentTag(version)) == version);
  });
}

// Guards against publications that are ignored after a restore, as their number
// is lower than that in force.
TEST(Document, APublicationAfterARestoreComesIntoForce)
{
  const ManualClock clock;
  DocumentStore store(clock);
  store.OfferText(kValidDocument, 9);
  const auto text =
    std::string(kValidDocument) + "[caller c]\nowner = tower\nrate = 5/s\n";
  EXPECT_EQ(store.OfferText(text, ParseDocumentTag("\"1-3\"")),
            OfferResult::Accepted);
}

// Guards against the copy's earlier document, which comes from the platform and
// from a process that started after the restore.
TEST(Document, ARestoredCopyIsHeldUntilTheNewestIsPublishedAgain)
{
  const auto newest =
    std::string(kValidDocument) + "[caller c]\nowner = tower\nrate = 5/s\n";
  for (const bool isPublishedAgain : { true, false }) {
    ManualClock clock;
    DocumentStore store(clock);
    DocumentStore starting(clock);
    store.OfferText(kValidDocument, 3);
    store.OfferText(newest, 4);
    const auto copy = MakeDocumentVersion(1, 3);
    EXPECT_EQ(store.OfferText(kValidDocument, copy), OfferResult::Held);
    starting.OfferText(kValidDocument, copy);
    EXPECT_EQ(store.OfferReply(starting.ReplySince(0)), OfferResult::Held);
    EXPECT_TRUE(store.IsHeld(copy));
    clock.Advance(kRestoredDocumentHold - Millis{ 1 });
    EXPECT_EQ(store.OfferText(kValidDocument, copy), OfferResult::Held);
    EXPECT_EQ(store.Version(), 4U);
    if (isPublishedAgain) {
      EXPECT_EQ(store.OfferText(newest, copy + 1), OfferResult::Accepted);
      EXPECT_FALSE(store.IsHeld(copy));
    } else {
      clock.Advance(Millis{ 1 });
      EXPECT_FALSE(store.IsHeld(copy));
      EXPECT_EQ(store.OfferText(kValidDocument, copy), OfferResult::Accepted);
    }
  }
}

TEST(Document, RefusedTextLeavesTheVersionInForce)
{
  const ManualClock clock;
  DocumentStore store(clock);
  store.OfferText(kValidDocument, 1);
  EXPECT_EQ(store.OfferText("[service x]\n", 2), OfferResult::Refused);
  EXPECT_EQ(store.Version(), 1U);
  EXPECT_EQ(store.RefusedVersion(), 2U);
  EXPECT_FALSE(store.RefusedErrors().empty());
  EXPECT_EQ(store.OfferText(kValidDocument, 1), OfferResult::NotNewer);
}

TEST(Document, MovedAddressIsQuarantinedForTheQuarantineTime)
{
  ManualClock clock;
  DocumentStore store(clock);
  store.OfferText(kValidDocument, 1);
  auto moved = Replace(kValidDocument, "10.0.0.1:80", "10.0.0.3:80");
  moved = Replace(moved, "10.0.0.2:80", "10.0.0.2:80, 10.0.0.1:80");
  store.OfferText(moved, 2);
  const auto address = *ParseEndpoint("10.0.0.1:80");
  EXPECT_TRUE(store.IsQuarantined(address));
  EXPECT_FALSE(store.IsQuarantined(*ParseEndpoint("10.0.0.2:80")));
  clock.Advance(kAddressQuarantine + Millis{ 1 });
  EXPECT_FALSE(store.IsQuarantined(address));
}

} // namespace
} // namespace damaskwalk
