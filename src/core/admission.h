#pragma once

// Admission control at an agent: weighted fair queueing of callers, deadlines,
// an adaptive concurrency limit for the slots of the agent's own backend
// server, and fleet-wide rate limits of callers.

#include "core/clock.h"
#include "core/config.h"
#include "core/document.h"
#include "wire/messages.h"

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace damaskwalk {

// One waiting request. Priority 0 is the highest, 3 the lowest.
struct Ticket
{
  std::uint64_t id = 0;
  std::string caller;
  std::uint32_t weight = 1;
  std::uint32_t priority = 1;
  TimePoint deadline;
  TimePoint enqueued;
};

// Why a request is not admitted.
enum class Refusal : std::uint8_t
{
  None,
  QueueFull,       // the queue holds maxTickets
  CallerQueueFull, // the caller has maxPerCaller tickets in the queue
  DeadlineNear,    // would expire before the expected answer
  RateExceeded,    // above the caller's published rate
};

auto ToText(Refusal aRefusal) -> const char*;

// Slots of a backend server that heavy callers must leave free for the others:
// an eighth of the limit, at least one; none if the limit is below two.
auto ReservedSlots(std::uint32_t aLimit) -> std::uint32_t;

struct FairQueueInit
{
  std::size_t maxTickets = 4096;
  std::size_t maxPerCaller = 512;
};

// Deficit round robin over callers, weighted; within a caller stride scheduling
// over priority levels. A level gets half the turns of the one above it, so
// that none starves. Not thread safe. Push, Pop and Remove cost O(1) on
// average.
class FairQueue
{
public:
  explicit FairQueue(const FairQueueInit& aInit = {});

  auto Push(Ticket aTicket) -> Refusal;
  // Next ticket whose deadline has not passed; expired ones go to aExpired.
  auto Pop(TimePoint aNow, std::vector<Ticket>& aExpired)
    -> std::optional<Ticket>;
  // Puts a popped ticket back at the front of its caller's queue. Ignores the
  // limits of FairQueueInit.
  auto PushFront(Ticket aTicket) -> void;
  auto Remove(std::uint64_t aId) -> bool;
  // Records the slot time of a finished request, so that callers of long
  // requests get fewer turns.
  auto RecordCost(const std::string& aCaller, double aSlotSeconds) -> void;
  // Removes and returns the tickets whose deadline has passed. Costs O(n).
  auto TakeExpired(TimePoint aNow) -> std::vector<Ticket>;

  auto Size() const -> std::size_t { return size_; }
  // Number of waiting tickets of one caller.
  auto SizeOf(const std::string& aCaller) const -> std::size_t;
  // Tickets popped per second, averaged over kPopWindowSeconds.
  auto PopRate(TimePoint aNow) const -> double;
  auto CallerCount() const -> std::size_t { return queues_.size(); }
  // Number of callers with a waiting ticket, including those whose tickets
  // ended since their last turn.
  auto ActiveCallers() const -> std::size_t { return active_; }

private:
  static constexpr std::size_t kPriorities = 4;
  struct Queue
  {
    std::string caller;
    std::array<std::deque<Ticket>, kPriorities> tickets;
    std::size_t size = 0;
    double deficit = 0;
    double meanCost = 1; // relative to the mean of all callers
    std::uint32_t weight = 1;
    std::array<double, kPriorities> virtualTime{};
    bool inRing = false;
  };
  using QueuePtr = std::shared_ptr<Queue>;

  auto Activate(const QueuePtr& aQueue) -> void;
  auto PickLevel(Queue& aQueue) -> std::size_t;
  auto PopFrom(Queue& aQueue) -> Ticket;
  auto Deactivate(const QueuePtr& aQueue) -> void;

  FairQueueInit init_;
  std::unordered_map<std::string, QueuePtr> queues_;
  std::deque<QueuePtr> ring_;
  std::unordered_map<std::uint64_t, std::string> callerOf_;
  std::size_t size_ = 0;
  std::size_t active_ = 0;
  double popRate_ = 0;
  TimePoint poppedAt_;
  double meanSeconds_ = 0.01;
};

// Concurrency limit and load of one backend server. The limit is one after a
// cold start, grows with completions up to the published slots, and halves when
// the server sheds a request or times out. Utilisation is the share of the
// published slots' time that finished requests used, averaged over
// kUtilisationWindowSeconds. Not thread safe.
class SlotGauge
{
public:
  SlotGauge(std::uint32_t aSlots, TimePoint aNow);

  auto SetSlots(std::uint32_t aSlots) -> void;
  // Takes a slot if the limit allows it.
  // @param aReserve slots that must stay free after this one is taken.
  auto TryAcquire(TimePoint aNow, std::uint32_t aReserve = 0) -> bool;
  auto Release(TimePoint aNow) -> void;
  // A request ended.
  // @param aServiceTime time at the backend server, without the network.
  // @param aSucceeded false if the server answered with an error or not at all.
  auto OnCompletion(std::chrono::microseconds aServiceTime,
                    bool aSucceeded,
                    TimePoint aNow) -> void;
  // The backend server did not run a request, or did not answer it.
  auto OnShed() -> void;
  // The backend server became reachable again.
  auto OnColdStart() -> void;

  auto Busy() const -> std::uint32_t { return busy_; }
  auto Limit() const -> std::uint32_t;
  auto Slots() const -> std::uint32_t { return slots_; }
  auto Utilisation(TimePoint aNow) const -> double;
  auto ServiceSeconds() const -> double { return serviceSeconds_; }
  // Service time that most requests don't exceed: the mean plus two mean
  // deviations.
  auto LongServiceSeconds() const -> double
  {
    return serviceSeconds_ + 2 * deviationSeconds_;
  }
  // False while most answers are errors. True again kUnhealthyRetryDelay after
  // the last error, so that the server is tried again.
  auto IsHealthy(TimePoint aNow) const -> bool;

private:
  auto Decay(TimePoint aNow) const -> void;

  std::uint32_t slots_;
  std::uint32_t busy_ = 0;
  double limit_ = 1;
  double serviceSeconds_ = 0.02;
  double deviationSeconds_ = 0;
  mutable double utilisation_ = 0;
  mutable TimePoint decayedAt_;
  double errorShare_ = 0;
  TimePoint lastErrorAt_;
};

// Enforces a caller's published rate over the fleet: each agent admits a share
// in proportion to its part of the caller's demand, which all agents report in
// their heartbeats for their heaviest callers. Not thread safe.
class RateShare
{
public:
  // @param aMaxReported greatest number of callers in a report.
  explicit RateShare(std::size_t aMaxReported = 8);

  // Counts a request and returns whether it is within this agent's share.
  // @param aRate requests per second over the fleet; 0 is unlimited.
  auto Admit(const std::string& aCaller, std::uint32_t aRate, TimePoint aNow)
    -> bool;
  // Demand reported by another agent, valid for kDeadTimeout.
  auto OnReport(const Endpoint& aPeer,
                const std::vector<CallerRate>& aRates,
                TimePoint aNow) -> void;
  // Demand of this agent's heaviest callers, of at least one request per
  // second.
  auto HeaviestCallers(TimePoint aNow) -> std::vector<CallerRate>;
  auto CallerCount() const -> std::size_t { return callers_.size(); }

private:
  struct Caller
  {
    double tokens = 0;
    TimePoint refilledAt;
    double demand = 0; // requests per second, exponential average
    TimePoint countedAt;
    bool limited = false;
  };
  struct Report
  {
    TimePoint receivedAt;
    std::unordered_map<std::uint64_t, std::uint32_t> rates;
  };

  auto OtherDemand(std::uint64_t aCaller, TimePoint aNow) const -> double;

  std::size_t maxReported_;
  std::unordered_map<std::uint64_t, Caller> callers_;
  std::unordered_map<Endpoint, Report, KeyHash> reports_;
};

} // namespace damaskwalk
