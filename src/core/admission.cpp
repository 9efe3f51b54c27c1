#include "core/admission.h"

#include <algorithm>
#include <cmath>

namespace damaskwalk {

namespace {

// Weight of a new value in the exponential averages over requests.
constexpr double kSmoothingFactor = 0.1;
constexpr double kUtilisationWindowSeconds = 4.0;
constexpr double kErrorShareThreshold = 0.5;
constexpr Millis kUnhealthyRetryDelay{ 2000 };
constexpr double kRateBurstSeconds = 0.5;
constexpr double kDemandWindowSeconds = 1.0;
constexpr double kPopWindowSeconds = 1.0;
constexpr std::size_t kMaxRateCallers = 20000;
constexpr std::size_t kMaxIdleCallers = 20000;

auto Seconds(TimePoint::duration aSpan) -> double
{
  return std::chrono::duration<double>(aSpan).count();
}

} // namespace

auto ToText(Refusal aRefusal) -> const char*
{
  switch (aRefusal) {
    case Refusal::QueueFull:
      return "queue_full";
    case Refusal::CallerQueueFull:
      return "caller_queue_full";
    case Refusal::DeadlineNear:
      return "deadline_near";
    case Refusal::RateExceeded:
      return "rate_exceeded";
    default:
      return "none";
  }
}

auto ReservedSlots(std::uint32_t aLimit) -> std::uint32_t
{
  return aLimit < 2 ? 0 : std::max(aLimit / 8, 1U);
}

FairQueue::FairQueue(const FairQueueInit& aInit)
  : init_(aInit)
{
}

auto FairQueue::Activate(const QueuePtr& aQueue) -> void
{
  if (!aQueue->inRing) {
    aQueue->inRing = true;
    aQueue->deficit = std::min(aQueue->deficit, 0.0);
    ring_.push_back(aQueue);
    ++active_;
  }
}

auto FairQueue::Push(Ticket aTicket) -> Refusal
{
  if (size_ >= init_.maxTickets) {
    return Refusal::QueueFull;
  }
  auto& queue = queues_[aTicket.caller];
  if (!queue) {
    queue = std::make_shared<Queue>();
    queue->caller = aTicket.caller;
  }
  if (queue->size >= init_.maxPerCaller) {
    return Refusal::CallerQueueFull;
  }
  queue->weight = std::max(aTicket.weight, 1U);
  callerOf_[aTicket.id] = aTicket.caller;
  const auto level = std::min<std::size_t>(aTicket.priority, kPriorities - 1);
  queue->tickets[level].push_back(std::move(aTicket));
  ++queue->size;
  ++size_;
  Activate(queue);
  return Refusal::None;
}

auto FairQueue::PushFront(Ticket aTicket) -> void
{
  auto& queue = queues_[aTicket.caller];
  if (!queue) {
    queue = std::make_shared<Queue>();
    queue->caller = aTicket.caller;
  }
  callerOf_[aTicket.id] = aTicket.caller;
  queue->deficit += queue->meanCost;
  const auto level = std::min<std::size_t>(aTicket.priority, kPriorities - 1);
  queue->tickets[level].push_front(std::move(aTicket));
  ++queue->size;
  ++size_;
  if (!queue->inRing) {
    queue->inRing = true;
    ring_.push_front(queue);
    ++active_;
  }
}

auto FairQueue::PickLevel(Queue& aQueue) -> std::size_t
{
  auto best = kPriorities;
  for (std::size_t level = 0; level < kPriorities; ++level) {
    if (aQueue.tickets[level].empty()) {
      aQueue.virtualTime[level] = 0;
      continue;
    }
    if (best == kPriorities ||
        aQueue.virtualTime[level] < aQueue.virtualTime[best]) {
      best = level;
    }
  }
  aQueue.virtualTime[best] += static_cast<double>(1U << best);
  return best;
}

auto FairQueue::PopFrom(Queue& aQueue) -> Ticket
{
  const auto level = PickLevel(aQueue);
  auto ticket = std::move(aQueue.tickets[level].front());
  aQueue.tickets[level].pop_front();
  --aQueue.size;
  --size_;
  callerOf_.erase(ticket.id);
  return ticket;
}

auto FairQueue::Deactivate(const QueuePtr& aQueue) -> void
{
  aQueue->inRing = false;
  --active_;
  if (queues_.size() > kMaxIdleCallers) {
    queues_.erase(aQueue->caller);
  }
}

auto FairQueue::Pop(TimePoint aNow, std::vector<Ticket>& aExpired)
  -> std::optional<Ticket>
{
  while (!ring_.empty()) {
    auto queue = ring_.front();
    if (queue->size == 0) {
      ring_.pop_front();
      Deactivate(queue);
      continue;
    }
    if (queue->deficit <= 0) {
      queue->deficit += queue->weight;
      ring_.pop_front();
      ring_.push_back(std::move(queue));
      continue;
    }
    auto ticket = PopFrom(*queue);
    if (ticket.deadline <= aNow) {
      aExpired.push_back(std::move(ticket));
      continue;
    }
    queue->deficit -= queue->meanCost;
    popRate_ = PopRate(aNow) + 1 / kPopWindowSeconds;
    poppedAt_ = aNow;
    return ticket;
  }
  return std::nullopt;
}

auto FairQueue::TakeExpired(TimePoint aNow) -> std::vector<Ticket>
{
  std::vector<Ticket> expired;
  for (auto& [caller, queue] : queues_) {
    for (auto& tickets : queue->tickets) {
      for (auto entry = tickets.begin(); entry != tickets.end();) {
        if (entry->deadline > aNow) {
          ++entry;
          continue;
        }
        callerOf_.erase(entry->id);
        expired.push_back(std::move(*entry));
        entry = tickets.erase(entry);
        --queue->size;
        --size_;
      }
    }
  }
  return expired;
}

auto FairQueue::SizeOf(const std::string& aCaller) const -> std::size_t
{
  const auto found = queues_.find(aCaller);
  return found == queues_.end() ? 0 : found->second->size;
}

auto FairQueue::PopRate(TimePoint aNow) const -> double
{
  return popRate_ * std::exp(-Seconds(aNow - poppedAt_) / kPopWindowSeconds);
}

auto FairQueue::Remove(std::uint64_t aId) -> bool
{
  const auto caller = callerOf_.find(aId);
  if (caller == callerOf_.end()) {
    return false;
  }
  auto& queue = *queues_[caller->second];
  callerOf_.erase(caller);
  for (auto& tickets : queue.tickets) {
    const auto found = std::ranges::find(tickets, aId, &Ticket::id);
    if (found != tickets.end()) {
      tickets.erase(found);
      --queue.size;
      --size_;
      return true;
    }
  }
  return false;
}

auto FairQueue::RecordCost(const std::string& aCaller, double aSlotSeconds)
  -> void
{
  meanSeconds_ += kSmoothingFactor * (aSlotSeconds - meanSeconds_);
  const auto found = queues_.find(aCaller);
  if (found == queues_.end() || meanSeconds_ <= 0) {
    return;
  }
  auto& cost = found->second->meanCost;
  cost += kSmoothingFactor * (aSlotSeconds / meanSeconds_ - cost);
  cost = std::clamp(cost, 0.1, 10.0);
}

SlotGauge::SlotGauge(std::uint32_t aSlots, TimePoint aNow)
  : slots_(aSlots)
  , decayedAt_(aNow)
{
}

auto SlotGauge::SetSlots(std::uint32_t aSlots) -> void
{
  slots_ = aSlots;
}

auto SlotGauge::Limit() const -> std::uint32_t
{
  const auto wholeSlots = static_cast<std::uint32_t>(std::floor(limit_));
  return std::clamp(wholeSlots, 1U, slots_);
}

auto SlotGauge::Decay(TimePoint aNow) const -> void
{
  const auto span = Seconds(aNow - decayedAt_);
  if (span > 0) {
    utilisation_ *= std::exp(-span / kUtilisationWindowSeconds);
    decayedAt_ = aNow;
  }
}

auto SlotGauge::Utilisation(TimePoint aNow) const -> double
{
  Decay(aNow);
  return utilisation_;
}

auto SlotGauge::TryAcquire(TimePoint aNow, std::uint32_t aReserve) -> bool
{
  Decay(aNow);
  if (busy_ + aReserve >= Limit()) {
    return false;
  }
  ++busy_;
  return true;
}

auto SlotGauge::Release(TimePoint aNow) -> void
{
  Decay(aNow);
  busy_ -= busy_ > 0 ? 1 : 0;
}

auto SlotGauge::OnCompletion(std::chrono::microseconds aServiceTime,
                             bool aSucceeded,
                             TimePoint aNow) -> void
{
  Decay(aNow);
  const auto serviceTime = std::chrono::duration<double>(aServiceTime).count();
  utilisation_ += serviceTime / (slots_ * kUtilisationWindowSeconds);
  errorShare_ += kSmoothingFactor * ((aSucceeded ? 0.0 : 1.0) - errorShare_);
  if (!aSucceeded) {
    lastErrorAt_ = aNow;
    return;
  }
  const auto deviation = std::abs(serviceTime - serviceSeconds_);
  deviationSeconds_ += kSmoothingFactor * (deviation - deviationSeconds_);
  serviceSeconds_ += kSmoothingFactor * (serviceTime - serviceSeconds_);
  limit_ = std::min(limit_ + 1.0 / Limit(), static_cast<double>(slots_));
}

auto SlotGauge::OnShed() -> void
{
  limit_ = std::max(limit_ / 2, 1.0);
}

auto SlotGauge::OnColdStart() -> void
{
  limit_ = 1;
  errorShare_ = 0;
}

auto SlotGauge::IsHealthy(TimePoint aNow) const -> bool
{
  return errorShare_ < kErrorShareThreshold ||
         aNow - lastErrorAt_ > kUnhealthyRetryDelay;
}

RateShare::RateShare(std::size_t aMaxReported)
  : maxReported_(aMaxReported)
{
}

auto RateShare::OtherDemand(std::uint64_t aCaller, TimePoint aNow) const
  -> double
{
  double demand = 0;
  for (const auto& [peer, report] : reports_) {
    const auto found = report.rates.find(aCaller);
    if (found != report.rates.end() &&
        aNow - report.receivedAt < kDeadTimeout) {
      demand += found->second;
    }
  }
  return demand;
}

auto RateShare::Admit(const std::string& aCaller,
                      std::uint32_t aRate,
                      TimePoint aNow) -> bool
{
  if (aRate == 0) {
    return true;
  }
  if (callers_.size() >= kMaxRateCallers) {
    std::erase_if(callers_, [aNow](const auto& aEntry) {
      return aNow - aEntry.second.countedAt > std::chrono::seconds(10);
    });
  }
  const auto id = HashText(aCaller);
  const auto [found, fresh] = callers_.try_emplace(id);
  auto& caller = found->second;
  if (fresh) {
    caller.refilledAt = aNow;
    caller.countedAt = aNow;
    caller.tokens = aRate * kRateBurstSeconds;
  }
  caller.limited = true;
  const auto gap = Seconds(aNow - caller.countedAt);
  caller.demand = caller.demand * std::exp(-gap / kDemandWindowSeconds) +
                  1.0 / kDemandWindowSeconds;
  caller.countedAt = aNow;
  const auto others = OtherDemand(id, aNow);
  const auto share = caller.demand / (caller.demand + others);
  const auto rate = aRate * share;
  const auto burst = std::max(rate * kRateBurstSeconds, 1.0);
  caller.tokens =
    std::min(caller.tokens + rate * Seconds(aNow - caller.refilledAt), burst);
  caller.refilledAt = aNow;
  if (caller.tokens < 1) {
    return false;
  }
  caller.tokens -= 1;
  return true;
}

auto RateShare::OnReport(const Endpoint& aPeer,
                         const std::vector<CallerRate>& aRates,
                         TimePoint aNow) -> void
{
  auto& report = reports_[aPeer];
  report.receivedAt = aNow;
  report.rates.clear();
  for (const auto& rate : aRates) {
    report.rates[rate.caller] = rate.perSecond;
  }
}

auto RateShare::HeaviestCallers(TimePoint aNow) -> std::vector<CallerRate>
{
  std::vector<CallerRate> rates;
  for (const auto& [id, caller] : callers_) {
    const auto gap = Seconds(aNow - caller.countedAt);
    const auto demand = caller.demand * std::exp(-gap / kDemandWindowSeconds);
    if (demand >= 1) {
      rates.push_back({ id, static_cast<std::uint32_t>(std::lround(demand)) });
    }
  }
  std::ranges::sort(rates, std::greater{}, &CallerRate::perSecond);
  rates.resize(std::min(rates.size(), maxReported_));
  return rates;
}

} // namespace damaskwalk
