#include "damaskwalk/check.h"

#include <gtest/gtest.h>

namespace damaskwalk {
namespace {

const std::vector<std::string> kGood = {
  "event=flow_open flow=f1 service=bookings t=1",
  "event=request id=r1 key=k1 service=bookings load=waivers feed=0 t=2",
  "event=run id=r1 key=k1 service=bookings server=b1 t=3",
  "event=answer id=r1 key=k1 load=waivers outcome=answered whole=1 right=1 "
  "service=bookings wanted=bookings micros=900 t=4",
  "event=feed flow=f2 id=7 t=5",
  "event=feed flow=f2 id=8 t=6",
  "event=flow_closed flow=f1 cause=caller established=1 t=7",
};

auto With(const std::vector<std::string>& aMore) -> Verdict
{
  auto lines = kGood;
  lines.insert(lines.end(), aMore.begin(), aMore.end());
  return CheckLines(lines);
}

TEST(Check, GoodHistoryMeetsGuarantees)
{
  const auto verdict = With({});
  EXPECT_TRUE(MeetsGuarantees(verdict, {}));
  EXPECT_EQ(verdict.answered, 1U);
}

TEST(Check, ReportsABrokenFlow)
{
  const auto verdict =
    With({ "event=flow_closed flow=f3 cause=reset established=1 t=9" });
  EXPECT_EQ(verdict.flowsBroken, 1U);
  EXPECT_FALSE(MeetsGuarantees(verdict, {}));
  EXPECT_TRUE(MeetsGuarantees(verdict, { .brokenAllowed = 1 }));
}

TEST(Check, ReportsASecondRunOfAKey)
{
  const auto verdict =
    With({ "event=run id=r9 key=k1 service=bookings server=b2 t=9" });
  EXPECT_EQ(verdict.ranTwice, 1U);
  EXPECT_FALSE(MeetsGuarantees(verdict, {}));
}

TEST(Check, ReportsNotRunForARequestThatRan)
{
  const auto same = With({ "event=run id=r2 key=k2 service=bookings t=3",
                           "event=answer id=r2 key=k2 outcome=not_run t=4" });
  EXPECT_EQ(same.notRunButRan, 1U);
  const auto byKey =
    With({ "event=answer id=r3 key=k1 service=bookings outcome=not_run "
           "t=9" });
  EXPECT_EQ(byKey.notRunButRan, 1U);
  EXPECT_FALSE(MeetsGuarantees(byKey, {}));
}

TEST(Check, AllowsARunOfAKeyAfterNotRun)
{
  const auto verdict = With({ "event=answer id=r4 key=k4 outcome=not_run t=4",
                              "event=run id=r5 key=k4 service=bookings t=8" });
  EXPECT_EQ(verdict.notRunButRan, 0U);
}

TEST(Check, ReportsARunByTheWrongService)
{
  const auto verdict =
    With({ "event=request id=r6 key= service=recordings feed=0 t=2",
           "event=run id=r6 key= service=bookings t=3" });
  EXPECT_EQ(verdict.wrongService, 1U);
  EXPECT_FALSE(MeetsGuarantees(verdict, {}));
}

TEST(Check, AllowsTheOldServiceOfAMovedAddressOnlyForTheInForceTime)
{
  const std::vector<std::string> moved = {
    "event=assign address=a1 service=bookings t=1",
    "event=assign address=a1 service=recordings t=10000",
    "event=request id=r6 address=a1 service=bookings feed=0 t=12000",
  };
  auto early = moved;
  early.emplace_back("event=run id=r6 key= service=bookings t=12001");
  EXPECT_EQ(CheckLines(early).wrongService, 0U);
  auto late = moved;
  late[2] = "event=request id=r6 address=a1 service=bookings feed=0 t=16000";
  late.emplace_back("event=run id=r6 key= service=bookings t=16001");
  EXPECT_EQ(CheckLines(late).wrongService, 1U);
  auto right = late;
  right.back() = "event=run id=r6 key= service=recordings t=16001";
  EXPECT_EQ(CheckLines(right).wrongService, 0U);
}

TEST(Check, ReportsWrongAndIncompleteAnswers)
{
  const auto verdict =
    With({ "event=answer id=r7 outcome=answered whole=0 right=1 service=a "
           "wanted=a t=4",
           "event=answer id=r8 outcome=answered whole=1 right=0 service=a "
           "wanted=a t=4",
           "event=stray_answer flow=f1 id=r9 t=5" });
  EXPECT_EQ(verdict.incompleteAnswer, 1U);
  EXPECT_EQ(verdict.wrongAnswer, 2U);
  EXPECT_FALSE(MeetsGuarantees(verdict, {}));
}

TEST(Check, ReportsFeedGapsAndRepeats)
{
  const auto verdict =
    With({ "event=feed flow=f2 id=10 t=8", "event=feed flow=f2 id=10 t=9" });
  EXPECT_EQ(verdict.feedGaps, 1U);
  EXPECT_EQ(verdict.feedRepeats, 1U);
  EXPECT_FALSE(MeetsGuarantees(verdict, {}));
}

TEST(Check, ComputesImbalanceOverTheMeasuredWindow)
{
  const auto verdict =
    With({ "event=mark name=begin t=1000",
           "event=mark name=end t=2000",
           "event=usage server=a service=s slots=1 busy_ms=0 fit=1 t=1000",
           "event=usage server=a service=s slots=1 busy_ms=800 fit=1 t=2000",
           "event=usage server=b service=s slots=1 busy_ms=0 fit=1 t=1000",
           "event=usage server=b service=s slots=1 busy_ms=400 fit=1 t=2000" });
  ASSERT_TRUE(verdict.imbalance.has_value());
  EXPECT_NEAR(*verdict.imbalance, 1.0, 1e-9);
}

} // namespace
} // namespace damaskwalk
