// Timelines of a request or flow from the logs of several processes.

#include "core/log_timeline.h"
#include "test_support.h"

namespace damaskwalk {

namespace {

const std::string kBalancer =
  "time=2026-12-04T10:00:00.000000Z level=info node=b event=state_in_force "
  "routes=1\n"
  "time=2026-12-04T10:00:00.500000Z level=info node=b event=state_in_force "
  "routes=2\n"
  "12.5 b time=2026-12-04T10:00:01.000000Z level=info node=b event=flow_placed "
  "flow=1.1.1.1:1>2.2.2.2:2 agent=a\n"
  "time=2026-12-04T10:00:01.100000Z level=info node=b event=flow_placed "
  "flow=1.1.1.1:9>2.2.2.2:2 agent=a\n"
  "not an event line\n";

const std::string kAgent =
  "time=2026-12-04T10:00:01.010000Z level=info node=a event=request_delivered "
  "request=r1 flow=1.1.1.1:1>2.2.2.2:2 in_flight=3\n"
  "time=2026-12-04T10:00:01.020000Z level=warning node=a event=pause_noticed "
  "ms=700\n"
  "time=2026-12-04T10:00:01.030000Z level=warning node=a event=flow_reset "
  "flow=1.1.1.1:1>2.2.2.2:2 cause=\"gone \\\"for good\\\"\"\n";

auto TimelineEvents(const TimelineQuery& aQuery) -> std::vector<std::string>
{
  std::vector<std::string> events;
  for (const auto& line :
       BuildTimeline(ParseLogLines(kAgent + kBalancer), aQuery)) {
    events.push_back(line.node + " " + line.event);
  }
  return events;
}

} // namespace

TEST(LogTimeline, RequestOrFlowQueryJoinsItsLinesInOrderOfTime)
{
  const std::vector<std::string> expected = { "b state_in_force",
                                              "b flow_placed",
                                              "a request_delivered",
                                              "a pause_noticed",
                                              "a flow_reset" };
  EXPECT_EQ(TimelineEvents({ "r1", "" }), expected);
  EXPECT_EQ(TimelineEvents({ "", "1.1.1.1:1>" }), expected);
  EXPECT_TRUE(TimelineEvents({ "r2", "" }).empty());
}

TEST(LogTimeline, TimelineStartsWithTheLastStateBeforeTheFlow)
{
  const auto timeline =
    BuildTimeline(ParseLogLines(kBalancer), { "", "1.1.1.1:9" });
  ASSERT_EQ(timeline.size(), 2U);
  EXPECT_EQ(timeline[0].fields.at("routes"), "2");
}

TEST(LogTimeline, QuotedValuesAreUnescaped)
{
  const auto lines = ParseLogLines(kAgent);
  ASSERT_EQ(lines.size(), 3U);
  EXPECT_EQ(lines[2].fields.at("cause"), "gone \"for good\"");
}

// Malformed lines must not crash the parser.
TEST(LogTimeline, AnyTextIsParsedWithoutCrash)
{
  Holds("logs of any text", [] {
    const auto text = *rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("time=vn\"\\ \nflowrequst>:1")));
    BuildTimeline(ParseLogLines(text), { "", "" });
  });
}

} // namespace damaskwalk
