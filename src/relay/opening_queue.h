#pragma once

// First packets that wait until their backend server has room.
//
// Answers the surge after an outage and the burst of many callers at once: a
// backend server that takes on more than its own queue holds breaks requests
// off, so the excess waits here, where it can be ordered and refused cleanly.

#include "core/clock.h"
#include "relay/packet.h"

#include <optional>
#include <string>
#include <vector>

namespace damaskwalk {

struct WaitingOpening
{
  FlowKey flow;
  std::string bytes;
  RelayTag tag;
  // When the caller sent it first, as far as its copies tell.
  TimePoint firstSentAt;
  // When its answer stops being on time, and when it is of no more use.
  TimePoint objectiveDeadline;
  TimePoint expiresAt;
  std::uint32_t priority = 0; // 0 is served first
  // The caller will send no further copy of it.
  bool lastRetransmission = false;
};

// Single threaded.
class OpeningQueue
{
public:
  // Replaces an earlier copy of the same first packet, but keeps its times.
  auto Add(WaitingOpening aOpening) -> void;
  // The next one to open: the most urgent kind among those that can still be
  // on time, oldest first; then the others, whose answer is late either way.
  // @param aTimeToAnswer from the opening of a flow to the answer on it.
  auto TakeNext(TimePoint aNow, std::chrono::microseconds aTimeToAnswer)
    -> std::optional<WaitingOpening>;
  // Drops those that their caller has given up; it tries again on its own.
  // @return how many.
  auto DropExpired(TimePoint aNow) -> std::size_t;
  auto Contains(const FlowKey& aFlow) const -> bool;
  auto Size() const -> std::size_t { return waiting_.size(); }

private:
  std::vector<WaitingOpening> waiting_; // in order of arrival
};

// Requests that a backend server is given at once: enough to keep its slots
// busy while a caller's next request is on its way. The rest waits where it can
// be put in order.
auto MaxRequestsInFlight(std::uint32_t aSlots,
                         std::chrono::microseconds aServiceTime)
  -> std::uint32_t;

// From the opening of a flow to the answer to its first request: the caller
// sends that a round trip later, and it queues at the backend server.
// @param aInFlight requests that the backend server has already.
auto TimeToAnswer(std::size_t aInFlight,
                  std::uint32_t aSlots,
                  std::chrono::microseconds aServiceTime)
  -> std::chrono::microseconds;

// Time until a first packet that arrives now would get its answer.
// @param aAhead requests and first packets before it.
auto ExpectedWait(std::size_t aAhead,
                  std::uint32_t aSlots,
                  std::chrono::microseconds aServiceTime)
  -> std::chrono::microseconds;

} // namespace damaskwalk
