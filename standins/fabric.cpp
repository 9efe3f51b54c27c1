// Stand-in for the network fabric: sends each caller packet to a random
// balancer, and returned frames to the process that the caller's packets came
// from. Drops, duplicates, reorders and delays packets on request, with a
// seeded random generator.
//
// Control datagrams: "balancers IP:PORT,IP:PORT", "loss SHARE",
// "duplicate SHARE", "reorder SHARE", "delay MILLIS".

#include "core/config.h"
#include "runtime/transport.h"
#include "wire/frame.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <docopt/docopt.h>

#include <poll.h>

#include <array>
#include <atomic>
#include <csignal>
#include <iostream>
#include <map>
#include <random>
#include <sstream>
#include <unordered_map>

namespace {

using namespace damaskwalk;
namespace asio = boost::asio;
namespace leaf = boost::leaf;
using asio::ip::udp;

constexpr const char* kUsage = R"(standin-fabric

Usage:
  standin-fabric --listen=ADDR --control=ADDR [--balancers=LIST] [--seed=N]

Options:
  --listen=ADDR     Address for frames of callers and agents.
  --control=ADDR    Address for control datagrams.
  --balancers=LIST  Balancers, separated by commas [default: ].
  --seed=N          Seed of the random generator [default: 1].
)";

std::atomic<bool> gStop{ false };

class Fabric
{
public:
  Fabric(const Endpoint& aListen, const Endpoint& aControl, std::uint64_t aSeed)
    : socket_(io_, ToAsioUdp(aListen))
    , control_(io_, ToAsioUdp(aControl))
    , random_(aSeed)
  {
    socket_.non_blocking(true);
    control_.non_blocking(true);
    boost::system::error_code ignored;
    socket_.set_option(udp::socket::receive_buffer_size(8 << 20), ignored);
    socket_.set_option(udp::socket::send_buffer_size(8 << 20), ignored);
  }

  auto ApplyCommand(const std::string& aText) -> void
  {
    std::istringstream text(aText);
    std::string name;
    std::string value;
    text >> name >> value;
    if (name == "balancers") {
      balancers_.clear();
      std::istringstream list(value);
      for (std::string item; std::getline(list, item, ',');) {
        if (const auto endpoint = ParseEndpoint(item)) {
          balancers_.push_back(*endpoint);
        }
      }
    } else if (name == "loss") {
      loss_ = std::stod(value);
    } else if (name == "duplicate") {
      duplicate_ = std::stod(value);
    } else if (name == "reorder") {
      reorder_ = std::stod(value);
    } else if (name == "delay") {
      delay_ = Millis{ std::stol(value) };
    }
  }

  auto Run() -> void
  {
    std::array<pollfd, 2> polls = {
      pollfd{ socket_.native_handle(), POLLIN, 0 },
      pollfd{ control_.native_handle(), POLLIN, 0 }
    };
    while (!gStop) {
      ::poll(polls.data(), polls.size(), delayed_.empty() ? 20 : 1);
      ReadControl();
      ReadFrames();
      SendDelayed();
    }
  }

private:
  struct DelayedPacket
  {
    Endpoint to;
    std::string bytes;
  };

  auto Chance(double aShare) -> bool
  {
    return aShare > 0 &&
           std::uniform_real_distribution<double>(0, 1)(random_) < aShare;
  }

  auto ReadControl() -> void
  {
    std::array<char, 4096> bytes{};
    boost::system::error_code error;
    for (;;) {
      const auto count = control_.receive(asio::buffer(bytes), 0, error);
      if (error) {
        return;
      }
      ApplyCommand({ bytes.data(), count });
    }
  }

  auto ReadFrames() -> void
  {
    std::array<char, kMaxDatagramBytes> bytes{};
    for (int i = 0; i < 256; ++i) {
      boost::system::error_code error;
      udp::endpoint from;
      const auto count =
        socket_.receive_from(asio::buffer(bytes), from, 0, error);
      if (error) {
        return;
      }
      leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(frame, DecodeFrame({ bytes.data(), count }));
          Route(frame, FromAsioUdp(from), { bytes.data(), count });
          return {};
        },
        [] {});
    }
  }

  auto Route(const Frame& aFrame, const Endpoint& aFrom, std::string aBytes)
    -> void
  {
    Endpoint to;
    const auto caller = callers_.find(aFrame.destination);
    if (caller != callers_.end()) {
      to = caller->second;
    } else {
      callers_[aFrame.source] = aFrom;
      if (balancers_.empty()) {
        return;
      }
      to = balancers_[std::uniform_int_distribution<std::size_t>(
        0, balancers_.size() - 1)(random_)];
    }
    if (Chance(loss_)) {
      return;
    }
    const int copies = Chance(duplicate_) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      auto wait = delay_;
      if (Chance(reorder_)) {
        wait += Millis{ 5 };
      }
      if (wait.count() == 0) {
        Send(to, aBytes);
      } else {
        delayed_.emplace(clock_.Now() + wait, DelayedPacket{ to, aBytes });
      }
    }
  }

  auto Send(const Endpoint& aTo, const std::string& aBytes) -> void
  {
    boost::system::error_code ignored;
    socket_.send_to(asio::buffer(aBytes), ToAsioUdp(aTo), 0, ignored);
  }

  auto SendDelayed() -> void
  {
    const auto now = clock_.Now();
    while (!delayed_.empty() && delayed_.begin()->first <= now) {
      Send(delayed_.begin()->second.to, delayed_.begin()->second.bytes);
      delayed_.erase(delayed_.begin());
    }
  }

  asio::io_context io_;
  udp::socket socket_;
  udp::socket control_;
  SystemClock clock_;
  std::mt19937_64 random_;
  std::vector<Endpoint> balancers_;
  std::unordered_map<Endpoint, Endpoint, KeyHash> callers_;
  std::multimap<TimePoint, DelayedPacket> delayed_;
  double loss_ = 0;
  double duplicate_ = 0;
  double reorder_ = 0;
  Millis delay_{ 0 };
};

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  auto options =
    docopt::docopt(kUsage, { aArguments + 1, aArguments + aCount }, true);
  std::signal(SIGTERM, [](int) { gStop = true; });
  Fabric fabric(*ParseEndpoint(options["--listen"].asString()),
                *ParseEndpoint(options["--control"].asString()),
                static_cast<std::uint64_t>(options["--seed"].asLong()));
  if (options["--balancers"].isString()) {
    fabric.ApplyCommand("balancers " + options["--balancers"].asString());
  }
  fabric.Run();
  return 0;
}
