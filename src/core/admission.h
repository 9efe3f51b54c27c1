#pragma once

// Admission at an agent: weighted fair queueing of callers, deadlines, slots
// of the own backend server with a concurrency limit that follows completions,
// and rates of callers over the fleet.

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

// One waiting request.
struct Ticket
{
  std::uint64_t id = 0;
  std::string caller;
  std::uint32_t weight = 1;
  std::uint32_t priority = 1;
  TimePoint deadline;
  TimePoint enqueued;
};

enum class Refusal : std::uint8_t
{
  None,
  QueueFull,       // the whole queue
  CallerQueueFull, // this caller's part of it
  DeadlineNear,    // would expire before it could be answered
  RateExceeded,    // the caller's published rate
};

auto ToText(Refusal aRefusal) -> const char*;

// Slots of a server that heavy callers leave to the others.
auto ReservedSlots(std::uint32_t aLimit) -> std::uint32_t;

struct FairQueueInit
{
  std::size_t maxTickets = 4096;
  std::size_t maxPerCaller = 512;
};

// Deficit round robin over callers; within a caller by priority. A priority
// level gets half the turns of the one above it, so that none starves.
// Not thread safe. Push, Pop and Remove cost O(1) on average.
class FairQueue
{
public:
  explicit FairQueue(const FairQueueInit& aInit = {});

  auto Push(Ticket aTicket) -> Refusal;
  // Next ticket whose deadline has not passed; expired ones go to aExpired.
  auto Pop(TimePoint aNow, std::vector<Ticket>& aExpired)
    -> std::optional<Ticket>;
  // Puts a popped ticket back in front of its caller's queue.
  auto PushFront(Ticket aTicket) -> void;
  auto Remove(std::uint64_t aId) -> bool;
  // Tells what a finished request cost, so that long ones count more.
  auto RecordCost(const std::string& aCaller, double aSlotSeconds) -> void;
  auto TakeExpired(TimePoint aNow) -> std::vector<Ticket>;

  auto Size() const -> std::size_t { return size_; }
  // Waiting tickets of one caller.
  auto SizeOf(const std::string& aCaller) const -> std::size_t;
  // Tickets popped a second, over the last seconds.
  auto PopRate(TimePoint aNow) const -> double;
  auto CallerCount() const -> std::size_t { return queues_.size(); }
  // Callers with a waiting ticket.
  auto ActiveCallers() const -> std::size_t { return active_; }

private:
  static constexpr std::size_t kPriorities = 4;
  struct Queue
  {
    std::string caller;
    std::array<std::deque<Ticket>, kPriorities> tickets;
    std::size_t size = 0;
    double deficit = 0;
    double meanCost = 1;
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

// Slots of one backend server. The limit starts at one after a cold start,
// grows with completions up to the published slots, and halves when the
// server sheds or times out. Utilisation is the share of the published slots'
// time that finished requests worked, over the last seconds. Not thread safe.
class SlotGauge
{
public:
  SlotGauge(std::uint32_t aSlots, TimePoint aNow);

  auto SetSlots(std::uint32_t aSlots) -> void;
  // @param aReserve slots that must stay free behind this one.
  auto TryAcquire(TimePoint aNow, std::uint32_t aReserve = 0) -> bool;
  auto Release(TimePoint aNow) -> void;
  // What became of a request; the time is the server's own work, without
  // the way there and back.
  auto OnCompletion(std::chrono::microseconds aServiceTime,
                    bool aSucceeded,
                    TimePoint aNow) -> void;
  auto OnShed() -> void;
  auto OnColdStart() -> void;

  auto Busy() const -> std::uint32_t { return busy_; }
  auto Limit() const -> std::uint32_t;
  auto Slots() const -> std::uint32_t { return slots_; }
  auto Utilisation(TimePoint aNow) const -> double;
  auto ServiceSeconds() const -> double { return serviceSeconds_; }
  // A time that most requests keep within: mean and two mean deviations.
  auto LongServiceSeconds() const -> double
  {
    return serviceSeconds_ + 2 * deviationSeconds_;
  }
  // False for a server that answers mostly with errors.
  auto IsFit(TimePoint aNow) const -> bool;

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

// Holds a caller's published rate over the fleet: each agent admits its share,
// by the demand that each agent's heartbeat reports for the heaviest callers.
// Not thread safe.
class RateShare
{
public:
  explicit RateShare(std::size_t aMaxReported = 8);

  // Counts a request and tells whether the caller's share has room for it.
  // @param aRate requests a second over the fleet; 0 is unlimited.
  auto Admit(const std::string& aCaller, std::uint32_t aRate, TimePoint aNow)
    -> bool;
  // What other agents report; an agent silent for kDeadTimeout no longer
  // counts.
  auto OnReport(const Endpoint& aPeer,
                const std::vector<CallerRate>& aRates,
                TimePoint aNow) -> void;
  auto HeaviestCallers(TimePoint aNow) -> std::vector<CallerRate>;
  auto CallerCount() const -> std::size_t { return callers_.size(); }

private:
  struct Caller
  {
    double tokens = 0;
    TimePoint refilledAt;
    double demand = 0; // requests a second, smoothed
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
