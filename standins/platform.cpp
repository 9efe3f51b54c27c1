// Stand-in for the platform's configuration service: read and watch over HTTP
// with ETags, and a list of VMs that is updated with a delay. PUT requests are
// for the test; the system under test does not use them.
//
//   GET /v1/document?wait_ms=N   document; with If-None-Match: "VERSION" waits
//                                for a newer version
//   GET /v1/vms                  JSON list
//   GET /calls                   number of calls so far (for the test)
//   PUT /document                publishes a text as the next version
//   PUT /vms                     sets the list, visible after --list-lag
//   PUT /mode?is=ok|down|stale|slow   stale: the document that was current when
//                                     the mode was set
//   PUT /copy                         copies the document
//   PUT /restore                      goes back to the copy; its versions are
//                                     given out again, with an ETag of
//                                     "ERA-VERSION" from then on

#include "core/clock.h"
#include "http_server.h"

#include <docopt/docopt.h>

#include <iostream>

namespace {

using namespace damaskwalk;
using namespace damaskwalk::standin;

constexpr const char* kUsage = R"(standin-platform

Usage:
  standin-platform --listen=ADDR [--list-lag=MS] [--rate=N]

Options:
  --listen=ADDR  Address to serve on.
  --list-lag=MS  Delay before a new VM list is visible [default: 300].
  --rate=N       Calls per second; more are refused [default: 2000].
)";

struct PublishedDocument
{
  std::uint64_t version = 0;
  std::string text;
};

class Platform
{
public:
  Platform(Millis aLag, double aRate)
    : lag_(aLag)
    , rate_(aRate)
  {
  }

  auto Handle(Stream& aStream,
              const BeastRequest& aRequest,
              BeastResponse& aResponse) -> asio::awaitable<bool>
  {
    const auto target = std::string(aRequest.target());
    if (aRequest.method() == http::verb::put) {
      co_await Put(target, aRequest.body());
      co_return false;
    }
    if (target.starts_with("/calls")) {
      aResponse.body() = std::to_string(calls_);
      co_return false;
    }
    if (!Admit()) {
      aResponse.result(http::status::too_many_requests);
      co_return false;
    }
    if (mode_ == "down") {
      aStream.close();
      co_return true;
    }
    if (mode_ == "slow") {
      co_await Sleep(Millis{ 1500 });
    }
    if (target.starts_with("/v1/vms")) {
      aResponse.body() = vmList_;
    } else {
      co_await GetDocument(target, aRequest, aResponse);
    }
    if (mode_ == "down") {
      aStream.close();
      co_return true;
    }
    co_return false;
  }

private:
  auto Admit() -> bool
  {
    ++calls_;
    const auto now = clock_.Now();
    const auto span = std::chrono::duration<double>(now - refilledAt_).count();
    tokens_ = std::min(tokens_ + span * rate_, rate_);
    refilledAt_ = now;
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  auto ServedDocument() const -> const PublishedDocument&
  {
    return mode_ == "stale" ? stale_ : current_;
  }

  auto GetDocument(const std::string& aTarget,
                   const BeastRequest& aRequest,
                   BeastResponse& aResponse) -> asio::awaitable<void>
  {
    const auto wait = std::stol(QueryParameter(aTarget, "wait_ms", "0"));
    const auto end = clock_.Now() + Millis{ wait };
    const auto match = std::string(aRequest[http::field::if_none_match]);
    const auto tag = [this] {
      const auto version = std::to_string(ServedDocument().version);
      return "\"" + (era_ > 0 ? std::to_string(era_) + "-" : "") + version +
             "\"";
    };
    while (match == tag() && clock_.Now() < end && mode_ != "down") {
      co_await Sleep(Millis{ 10 });
    }
    aResponse.set(http::field::etag, tag());
    if (match == tag()) {
      aResponse.result(http::status::not_modified);
    } else if (ServedDocument().version == 0) {
      aResponse.result(http::status::not_found);
    } else {
      aResponse.body() = ServedDocument().text;
    }
  }

  auto Put(const std::string& aTarget, const std::string& aBody)
    -> asio::awaitable<void>
  {
    if (aTarget.starts_with("/document")) {
      current_ = { current_.version + 1, aBody };
    } else if (aTarget.starts_with("/copy")) {
      copy_ = current_;
    } else if (aTarget.starts_with("/restore")) {
      current_ = copy_;
      ++era_;
    } else if (aTarget.starts_with("/vms")) {
      co_await Sleep(lag_);
      vmList_ = aBody;
    } else {
      mode_ = QueryParameter(aTarget, "is", "ok");
      if (mode_ == "stale") {
        stale_ = current_;
      }
    }
  }

  Millis lag_;
  double rate_;
  double tokens_ = 0;
  TimePoint refilledAt_;
  SystemClock clock_;
  PublishedDocument current_;
  PublishedDocument stale_;
  PublishedDocument copy_;
  std::uint32_t era_ = 0;
  std::string vmList_ = "[]";
  std::string mode_ = "ok";
  std::uint64_t calls_ = 0;
};

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  auto options =
    docopt::docopt(kUsage, { aArguments + 1, aArguments + aCount }, true);
  Platform platform(Millis{ options["--list-lag"].asLong() },
                    static_cast<double>(options["--rate"].asLong()));
  Server server(*ParseEndpoint(options["--listen"].asString()),
                [&platform](auto& aStream, const auto& aIn, auto& aOut) {
                  return platform.Handle(aStream, aIn, aOut);
                });
  server.Run();
  return 0;
}
