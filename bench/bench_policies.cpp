// Compares the request placement policies in virtual time: servers of speeds
// 1:2:4:8 with seven slots each, long flows, load reports twice a second. The
// bound is a central queue that knows the current state of all servers. Prints
// a table.

#include "core/placement.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>
#include <functional>
#include <queue>
#include <vector>

namespace damaskwalk {
namespace {

constexpr double kWorkSeconds = 0.040;
constexpr std::uint32_t kSlots = 7;
constexpr double kSpeeds[] = { 1, 2, 4, 8, 1, 2, 4 };
constexpr std::size_t kServers = std::size(kSpeeds);
constexpr double kReportSeconds = 0.5;
constexpr double kWindowSeconds = 4;
constexpr double kWarmUpSeconds = 20;
constexpr double kEndSeconds = 120;

struct QueuedRequest
{
  double arrived = 0;
  std::size_t owner = 0;
};

struct Server
{
  std::uint32_t busy = 0;
  double busySeconds = 0; // inside the measured window
  double utilisation = 0;
  double decayedAt = 0;
};

struct Figures
{
  double imbalance = 0;
  double mean = 0;
  double p99 = 0;
};

class Simulation
{
public:
  Simulation(PlacementKind aKind,
             bool aCentral,
             double aLoad,
             std::uint64_t aSeed)
    : policy_(MakePlacement(aKind, aSeed))
    , central_(aCentral)
    , random_(aSeed)
    , queues_(kServers)
    , views_(kServers)
  {
    double capacity = 0;
    for (std::size_t i = 0; i < kServers; ++i) {
      capacity += kSlots * kSpeeds[i] / kWorkSeconds;
      views_[i].agent = { 1, static_cast<std::uint16_t>(i + 1) };
      views_[i].limit = kSlots;
      views_[i].serviceSeconds = kWorkSeconds / kSpeeds[i];
    }
    rate_ = capacity * aLoad;
  }

  auto Measure() -> Figures
  {
    Schedule(0, [this] { Arrive(); });
    Schedule(0, [this] { ReportLoad(); });
    while (!events_.empty() && events_.top().at < kEndSeconds) {
      auto event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
    Figures figures;
    std::vector<double> busySeconds;
    for (std::size_t i = 0; i < kServers; ++i) {
      busySeconds.push_back(servers_[i].busySeconds);
    }
    const auto [low, high] = std::ranges::minmax_element(busySeconds);
    figures.imbalance = *high / std::max(*low, 1e-9) - 1;
    std::ranges::sort(responseSeconds_);
    for (const auto time : responseSeconds_) {
      figures.mean += time / static_cast<double>(responseSeconds_.size());
    }
    figures.p99 = responseSeconds_[responseSeconds_.size() * 99 / 100];
    return figures;
  }

private:
  struct Event
  {
    double at;
    std::uint64_t order;
    std::function<void()> action;
    auto operator<(const Event& aOther) const -> bool
    {
      return at != aOther.at ? at > aOther.at : order > aOther.order;
    }
  };

  auto Schedule(double aTime, std::function<void()> aAction) -> void
  {
    events_.push({ aTime, ++order_, std::move(aAction) });
  }

  auto Arrive() -> void
  {
    // Flows are placed by server speed or evenly; each sends its requests
    // independently of its owner's load.
    const bool byCapacity = std::string(policy_->Name()) == "flows";
    std::discrete_distribution<std::size_t> ownerBySpeed(std::begin(kSpeeds),
                                                         std::end(kSpeeds));
    const auto owner =
      byCapacity ? ownerBySpeed(random_) : random_() % kServers;
    queues_[central_ ? 0 : owner].push_back({ now_, owner });
    Dispatch();
    Schedule(now_ + std::exponential_distribution<double>(rate_)(random_),
             [this] { Arrive(); });
  }

  // Refreshes what the owners know of all servers. A finished request refreshes
  // its own server's view too.
  auto ReportLoad() -> void
  {
    for (std::size_t i = 0; i < kServers; ++i) {
      UpdateView(i);
    }
    Schedule(now_ + kReportSeconds, [this] { ReportLoad(); });
  }

  auto UpdateView(std::size_t aServer) -> void
  {
    auto& server = servers_[aServer];
    server.utilisation *= std::exp(-(now_ - server.decayedAt) / kWindowSeconds);
    server.decayedAt = now_;
    views_[aServer].utilisation = server.utilisation;
    views_[aServer].busy = server.busy;
  }

  auto ChooseServer(std::size_t aOwner) -> std::size_t
  {
    if (!central_) {
      return policy_->PlaceRequest(views_, aOwner);
    }
    // The fastest server with a free slot.
    auto best = Placement::kNone;
    for (std::size_t i = 0; i < kServers; ++i) {
      const bool free = servers_[i].busy < kSlots;
      if (free && (best == Placement::kNone || kSpeeds[i] > kSpeeds[best])) {
        best = i;
      }
    }
    return best;
  }

  auto Dispatch() -> void
  {
    for (std::size_t turn = 0; turn < kServers; ++turn) {
      auto& queue = queues_[(start_ + turn) % kServers];
      while (!queue.empty()) {
        const auto server = ChooseServer(queue.front().owner);
        if (server == Placement::kNone || servers_[server].busy >= kSlots) {
          break;
        }
        StartRequest(queue.front(), server);
        queue.pop_front();
      }
    }
    ++start_;
  }

  auto StartRequest(const QueuedRequest& aRequest, std::size_t aServer) -> void
  {
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    const auto work = kWorkSeconds / kSpeeds[aServer] * spread(random_);
    ++servers_[aServer].busy;
    ++views_[aServer].busy;
    views_[aServer].utilisation += work / (kSlots * kWindowSeconds);
    Schedule(now_ + work, [this, aRequest, aServer, work] {
      auto& server = servers_[aServer];
      --server.busy;
      UpdateView(aServer);
      server.utilisation += work / (kSlots * kWindowSeconds);
      if (now_ > kWarmUpSeconds) {
        server.busySeconds += work;
        responseSeconds_.push_back(now_ - aRequest.arrived);
      }
      Dispatch();
    });
  }

  std::unique_ptr<Placement> policy_;
  bool central_;
  std::mt19937_64 random_;
  std::vector<std::deque<QueuedRequest>> queues_;
  std::vector<Candidate> views_;
  Server servers_[kServers];
  std::priority_queue<Event> events_;
  std::vector<double> responseSeconds_;
  double now_ = 0;
  double rate_ = 0;
  std::uint64_t order_ = 0;
  std::size_t start_ = 0;
};

} // namespace
} // namespace damaskwalk

auto main() -> int
{
  using namespace damaskwalk;
  std::printf("%-12s %5s %10s %9s %9s\n",
              "policy",
              "load",
              "imbalance",
              "mean_ms",
              "p99_ms");
  for (const double load : { 0.6, 0.8, 0.95 }) {
    for (const auto* name :
         { "central", "spare", "p2c", "round_robin", "random", "flows" }) {
      const bool central = std::string(name) == "central";
      const auto kind =
        central ? PlacementKind::Spare : *ParsePlacementKind(name);
      const auto figures = Simulation(kind, central, load, 1).Measure();
      std::printf("%-12s %5.2f %10.3f %9.1f %9.1f\n",
                  name,
                  load,
                  figures.imbalance,
                  figures.mean * 1000,
                  figures.p99 * 1000);
    }
  }
  return 0;
}
