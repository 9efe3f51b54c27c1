#pragma once

// Feeds: server-sent events read from the own backend server and written to
// the caller's flow, whole events only, resumed by the last event's id.

#include "agent/board.h"

namespace damaskwalk {

class FeedController
{
public:
  explicit FeedController(AgentBoard& aBoard);

private:
  // Identifies one reading of one flow's feed.
  struct FeedSession
  {
    FlowKey flow;
    std::uint32_t generation = 0;
    std::string request;
    std::string lastEventId;
  };

  auto OpenSession(const FlowKey& aFlow) -> std::optional<FeedSession>;
  auto Follow(FlowKey aFlow) -> Task<void>;
  auto Read(FeedSession aSession) -> Task<void>;
  // Writes whole events; false when the flow went on without this reading.
  auto DeliverEvents(const FeedSession& aSession, std::string& aBytes) -> bool;
  auto BeginResponse(const FeedSession& aSession) -> bool;
  // False when the flow ended or went on without this reading.
  auto IsActive(const FeedSession& aSession) -> bool;
  auto IsSendBufferFull(const FeedSession& aSession) -> bool;

  AgentBoard& board_;
  prometheus::Counter& events_;
};

} // namespace damaskwalk
