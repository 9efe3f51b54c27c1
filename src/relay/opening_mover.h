#pragma once

// Decides whether a first packet that would be answered too late in this
// agent's queue goes to another agent of the service.
//
// Load reports are up to a second old and other agents read the same ones. A
// few random agents are compared, so that not all choose the same, and first
// packets that this agent moved since a report are added to the reported load.

#include "relay/opening_queue.h"
#include "relay/search_order.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <deque>
#include <optional>
#include <random>

namespace damaskwalk {

// Single threaded.
class OpeningMover
{
public:
  // @param aSelf the agent that moves; never chosen.
  OpeningMover(const Endpoint& aSelf,
               const FleetState& aState,
               const PeerTable& aPeers,
               const Clock& aClock);

  // The agent that answers earliest among those compared; none if the opening
  // is on time here, was forwarded before, or is not answered in time or much
  // earlier elsewhere.
  // @param aWaitHere expected time to the answer if the opening is queued here,
  // without the time until the request arrives (kFirstRequestDelay).
  auto Choose(const WaitingOpening& aOpening,
              ServiceId aService,
              std::chrono::microseconds aWaitHere) -> std::optional<Endpoint>;
  // The opening was sent to the agent that Choose returned.
  auto OnMoved(const FlowKey& aFlow, const Endpoint& aAgent) -> void;

private:
  struct Move
  {
    TimePoint at;
    FlowKey flow;
    std::uint32_t agentIp = 0;
  };

  auto ForgetOldMoves() -> void;
  // The own agent's target of the service; null if there is none.
  auto FindSelf(ServiceId aService) const -> const KnownTarget*;
  // The load that the agent reported, if the report is recent and valid.
  auto UsableReport(const KnownTarget& aKnown, ServiceId aService) const
    -> const PeerRecord*;
  auto ExpectedTime(const KnownTarget& aKnown, const PeerRecord& aPeer) const
    -> std::chrono::microseconds;
  // First packets moved to the agent that its report may not include.
  auto MovedSince(std::uint32_t aIp, TimePoint aReportedAt) const
    -> std::uint32_t;

  Endpoint self_;
  const FleetState& state_;
  const PeerTable& peers_;
  SearchOrder order_;
  const Clock& clock_;
  std::mt19937_64 random_;
  std::deque<Move> moves_; // oldest first
  boost::unordered_flat_map<std::uint32_t, std::deque<TimePoint>> movedTo_;
  // Agent of each flow's last move. A further transmission of a flow means that
  // this agent did not answer.
  boost::unordered_flat_map<FlowKey, std::uint32_t, KeyHash> lastChoice_;
};

} // namespace damaskwalk
