#pragma once

// Queue of first packets that wait until their backend server has capacity.
//
// Guards against the surge after an outage and bursts of many callers: a
// backend server resets requests beyond its own queue, so the excess waits
// here, where it is ordered by priority and can be refused before it opens.
//
// No priority waits indefinitely: while several wait, one in
// kAdmissionsPerFloor admissions goes to one of the less urgent ones, in turn.

#include "core/clock.h"
#include "relay/caller_shares.h"
#include "relay/packet.h"

#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace damaskwalk {

struct WaitingOpening
{
  FlowKey flow;
  std::string bytes;
  RelayTag tag;
  // First transmission by the caller, estimated from the retransmission count.
  TimePoint firstSentAt;
  // End of the latency objective, and the time after which an answer is of no
  // use.
  TimePoint objectiveDeadline;
  TimePoint expiresAt;
  std::uint32_t priority = 0; // 0 is served first
  // The caller will not retransmit it any more.
  bool lastRetransmission = false;
  // Set by the queue: a later one went first because this one's caller had more
  // than its share; it was taken before more urgent ones.
  bool waitedForShare = false;
  bool takenByFloor = false;
};

// Single threaded.
class OpeningQueue
{
public:
  // Replaces an earlier transmission of the same first packet, but keeps its
  // times.
  auto Add(WaitingOpening aOpening) -> void;
  // Takes the next opening: first those that can still meet their objective, by
  // priority, then callers that are not above their share, then oldest first;
  // then the others in the same order, whose answer is late in any case.
  // @param aTimeToAnswer from the opening of a flow to the answer on it.
  auto TakeNext(TimePoint aNow, std::chrono::microseconds aTimeToAnswer)
    -> std::optional<WaitingOpening>;
  // An opening of the caller was admitted, from the queue or without waiting.
  auto OnAdmitted(std::uint32_t aCallerIp, TimePoint aNow) -> void
  {
    shares_.OnAdmitted(aCallerIp, aNow);
  }
  // The number of openings that TakeNext would take before this one; an upper
  // bound for one that the floor serves.
  auto CountAhead(const WaitingOpening& aOpening,
                  TimePoint aNow,
                  std::chrono::microseconds aTimeToAnswer) const -> std::size_t;
  // Takes the openings whose answer would come too late even if they were
  // admitted now, and those that their caller is about to give up.
  auto TakeExpired(TimePoint aNow, std::chrono::microseconds aTimeToAnswer)
    -> std::vector<WaitingOpening>;
  auto Contains(const FlowKey& aFlow) const -> bool;
  auto Size() const -> std::size_t { return waiting_.size(); }

private:
  // Whether its answer is late in any case, its priority, and whether its
  // caller is above its share.
  using Rank = std::tuple<bool, std::uint32_t, bool>;
  auto RankOf(const WaitingOpening& aOpening,
              TimePoint aNow,
              std::chrono::microseconds aTimeToAnswer) const -> Rank;
  // The priority that the floor serves now; none if it is not due.
  auto FloorPriority(TimePoint aNow, std::chrono::microseconds aTimeToAnswer)
    -> std::optional<std::uint32_t>;

  std::vector<WaitingOpening> waiting_; // in order of arrival
  CallerShares shares_;
  // Admissions since the last of the floor, made while several priorities
  // waited.
  std::uint32_t sinceFloor_ = 0;
  std::uint32_t lastFloorPriority_ = 0;
};

// Most requests in flight at a backend server: enough to keep its slots busy
// while a new flow's first request is in transit. The rest waits in the queue,
// which orders it by priority.
auto MaxRequestsInFlight(std::uint32_t aSlots,
                         std::chrono::microseconds aServiceTime)
  -> std::uint32_t;

// Expected time from the opening of a flow to the answer to its first request.
// The caller sends the request a round trip later, and it queues at the backend
// server.
// @param aInFlight requests that the backend server already has.
auto TimeToAnswer(std::size_t aInFlight,
                  std::uint32_t aSlots,
                  std::chrono::microseconds aServiceTime)
  -> std::chrono::microseconds;

// Expected time until a first packet that arrives now gets its answer.
// @param aAhead requests and first packets before it.
auto ExpectedWait(std::size_t aAhead,
                  std::uint32_t aSlots,
                  std::chrono::microseconds aServiceTime)
  -> std::chrono::microseconds;

} // namespace damaskwalk
