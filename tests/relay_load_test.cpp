// What agents measure of their backend servers and where balancers send new
// flows for it. Each test names the load that it answers.

#include "relay/backend_meter.h"
#include "relay_model.h"
#include "test_support.h"

namespace damaskwalk {

namespace {

auto ReportOf(RelayModel& aModel, std::size_t aTarget) -> BackendLoad
{
  return aModel.Agent(aTarget).Report();
}

} // namespace

// Pattern: callers close their direction once the request is sent. The request
// is still in flight until its answer comes.
TEST(RelayLoad, AHalfClosedFlowIsStillBusy)
{
  RelayModel model({ 1, 1 }, 1);
  model.SetWork(0, Millis{ 50 });
  const auto flow = model.Open(0, 0);
  model.Run(Millis{ 10 });
  model.Ask(flow, 0);
  model.Close(flow, 0);
  model.Run(Millis{ 20 });
  EXPECT_EQ(ReportOf(model, 0).inFlight, 1U);
  model.Run(Millis{ 100 });
  EXPECT_EQ(ReportOf(model, 0).inFlight, 0U);
  EXPECT_NEAR(ReportOf(model, 0).serviceMicros, 50000, 2000);
}

} // namespace damaskwalk
