// Stand-in for a backend server: HTTP/1.1 with a limited number of slots, a
// speed, cold start, drain and load shedding. Its health and load endpoints can
// report wrong values. Records every run in a history for the checker.
//
//   GET  /health     "draining" with drain=1, otherwise "ok", also with sick=1
//   GET  /load       number of busy slots; 0 with lie=1
//   GET  /feed/NAME  server-sent events with ids; continues after Last-Event-ID
//   PUT  /control    sets the parameters in the query: speed=F, drain=0|1,
//                    lie=0|1, sick=0|1
//   other paths      requests that need a slot; fail with 500 with sick=1

#include "core/clock.h"
#include "http_server.h"

#include <docopt/docopt.h>

#include <cmath>
#include <fstream>
#include <random>

namespace {

using namespace damaskwalk;
using namespace damaskwalk::standin;

constexpr const char* kUsage = R"(standin-backend

Usage:
  standin-backend --listen=ADDR --service=NAME --name=NAME --history=FILE
                  [--slots=N] [--speed=F] [--work-ms=F] [--cold-ms=N]
                  [--feed-ms=N] [--seed=N]

Options:
  --listen=ADDR   Address to serve on.
  --service=NAME  Service that this server belongs to.
  --name=NAME     This server's name.
  --history=FILE  File to which each run is appended.
  --slots=N       Requests that run at once [default: 3].
  --speed=F       Speed relative to other servers [default: 1].
  --work-ms=F     Mean slot time of a request at speed 1 [default: 20].
  --cold-ms=N     Time after the start at a quarter of the speed [default: 0].
  --feed-ms=N     Time between two events of a feed [default: 100].
  --seed=N        Seed of the service times [default: 1].
)";

constexpr Millis kUsagePeriod{ 250 };

struct BackendInit
{
  std::string service;
  std::string name;
  std::uint32_t slots = 3;
  double speed = 1;
  double workMillis = 20;
  Millis coldPeriod{ 0 };
  Millis feedPeriod{ 100 };
  std::uint64_t seed = 1;
};

class Backend
{
public:
  Backend(const BackendInit& aInit, const std::string& aHistory)
    : init_(aInit)
    , speed_(aInit.speed)
    , random_(aInit.seed)
    , history_(aHistory, std::ios::app)
    , start_(clock_.Now())
    , integratedAt_(clock_.Now())
  {
  }

  auto Handle(Stream& aStream,
              const BeastRequest& aRequest,
              BeastResponse& aResponse) -> asio::awaitable<bool>
  {
    const auto target = std::string(aRequest.target());
    if (target.starts_with("/control")) {
      ApplyControl(target);
    } else if (target == "/health") {
      aResponse.body() = draining_ ? "draining" : "ok";
    } else if (target == "/load") {
      aResponse.body() = std::to_string(reportsZeroLoad_ ? 0 : busy_);
    } else if (target.starts_with("/feed/")) {
      co_await ServeFeed(aStream, aRequest);
      co_return true;
    } else {
      co_await ServeRequest(aStream, aRequest, aResponse);
    }
    co_return false;
  }

  auto WriteUsage() -> asio::awaitable<void>
  {
    for (;;) {
      co_await Sleep(kUsagePeriod);
      IntegrateBusyTime();
      history_ << "event=usage server=" << init_.name
               << " service=" << init_.service << " slots=" << init_.slots
               << " busy_ms=" << busyMillis_
               << " fit=" << (draining_ || failing_ ? 0 : 1)
               << " t=" << WallMillis(clock_.Wall()) << "\n";
      history_.flush();
    }
  }

private:
  auto ApplyControl(const std::string& aTarget) -> void
  {
    const auto flag = [&aTarget](const char* aName, bool& aValue) {
      const auto text = QueryParameter(aTarget, aName, "");
      aValue = text.empty() ? aValue : text == "1";
    };
    flag("drain", draining_);
    flag("sick", failing_);
    flag("lie", reportsZeroLoad_);
    const auto speed = QueryParameter(aTarget, "speed", "");
    speed_ = speed.empty() ? speed_ : std::stod(speed);
  }

  auto IntegrateBusyTime() -> void
  {
    const auto now = clock_.Now();
    busyMillis_ +=
      busy_ *
      std::chrono::duration<double, std::milli>(now - integratedAt_).count();
    integratedAt_ = now;
  }

  auto WorkTime() -> Millis
  {
    const bool cold = clock_.Now() - start_ < init_.coldPeriod;
    const auto mean = init_.workMillis / (cold ? speed_ / 4 : speed_);
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    return Millis{ std::lround(mean * spread(random_)) };
  }

  auto ServeRequest(Stream& aStream,
                    const BeastRequest& aRequest,
                    BeastResponse& aResponse) -> asio::awaitable<void>
  {
    const auto id = std::string(aRequest["X-Request-Id"]);
    aResponse.set("X-Request-Id", id);
    if (failing_) {
      // A fast error; it is not recorded as a run.
      aResponse.result(http::status::internal_server_error);
      co_return;
    }
    if (busy_ >= init_.slots || draining_) {
      aResponse.result(http::status::service_unavailable);
      aResponse.set("X-Not-Run", "1");
      co_return;
    }
    IntegrateBusyTime();
    ++busy_;
    history_ << "event=run id=" << id
             << " key=" << std::string(aRequest["Idempotency-Key"])
             << " method=" << std::string(aRequest.method_string())
             << " service=" << init_.service << " server=" << init_.name
             << " t=" << WallMillis(clock_.Wall()) << "\n";
    history_.flush();
    co_await Sleep(WorkTime());
    IntegrateBusyTime();
    --busy_;
    aResponse.set("Content-Type", "text/plain");
    aResponse.body() = "service=" + init_.service + ";server=" + init_.name +
                       ";request=" + id + ";" + std::string(400, 'x') +
                       ";end=" + id;
  }

  // Event N of every feed is due N periods after the epoch on each server, so a
  // feed can continue on any of them.
  auto ServeFeed(Stream& aStream, const BeastRequest& aRequest)
    -> asio::awaitable<void>
  {
    http::response<http::empty_body> head(http::status::ok, 11);
    head.set(http::field::content_type, "text/event-stream");
    head.keep_alive(false);
    http::response_serializer<http::empty_body> serializer(head);
    aStream.expires_never();
    co_await http::async_write_header(aStream, serializer, kAwait);
    const auto period = init_.feedPeriod.count();
    const auto last = std::string(aRequest["Last-Event-ID"]);
    auto next =
      last.empty() ? WallMillis(clock_.Wall()) / period : std::stol(last) + 1;
    for (;;) {
      const auto due = next * period - WallMillis(clock_.Wall());
      if (due > 0) {
        co_await Sleep(Millis{ due });
      }
      const auto event =
        "id: " + std::to_string(next) + "\ndata: " + init_.service + "\n\n";
      const auto [error, count] =
        co_await asio::async_write(aStream, asio::buffer(event), kAwait);
      if (error) {
        co_return;
      }
      ++next;
    }
  }

  BackendInit init_;
  double speed_;
  SystemClock clock_;
  std::mt19937_64 random_;
  std::ofstream history_;
  TimePoint start_;
  TimePoint integratedAt_;
  std::uint32_t busy_ = 0;
  double busyMillis_ = 0;
  bool draining_ = false;
  bool failing_ = false;
  bool reportsZeroLoad_ = false;
};

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  auto options =
    docopt::docopt(kUsage, { aArguments + 1, aArguments + aCount }, true);
  BackendInit init;
  init.service = options["--service"].asString();
  init.name = options["--name"].asString();
  init.slots = static_cast<std::uint32_t>(options["--slots"].asLong());
  init.speed = std::stod(options["--speed"].asString());
  init.workMillis = std::stod(options["--work-ms"].asString());
  init.coldPeriod = Millis{ options["--cold-ms"].asLong() };
  init.feedPeriod = Millis{ options["--feed-ms"].asLong() };
  init.seed = static_cast<std::uint64_t>(options["--seed"].asLong());
  Backend backend(init, options["--history"].asString());
  Server server(*ParseEndpoint(options["--listen"].asString()),
                [&backend](auto& aStream, const auto& aIn, auto& aOut) {
                  return backend.Handle(aStream, aIn, aOut);
                });
  asio::co_spawn(server.Io(), backend.WriteUsage(), asio::detached);
  server.Run();
  return 0;
}
