#pragma once

// Feeds: server-sent events read from the own backend server and written to
// the caller's flow. Only complete events are written. After a reconnect the
// feed resumes with Last-Event-ID.

#include "agent/board.h"

namespace damaskwalk {

class FeedController
{
public:
  explicit FeedController(AgentBoard& aBoard);

private:
  // One connection to the backend server for a flow's feed. Ends when the
  // flow's feedGeneration differs from the generation here.
  struct FeedSession
  {
    FlowKey flow;
    std::uint32_t generation = 0;
    std::string request;
    std::string lastEventId;
  };

  auto OpenSession(const FlowKey& aFlow) -> std::optional<FeedSession>;
  // Reads the feed, reconnecting until its session is no longer active.
  auto Follow(FlowKey aFlow) -> Task<void>;
  auto Read(FeedSession aSession) -> Task<void>;
  // Writes the complete events at the front of aBytes to the flow and removes
  // them; false when the session is no longer active.
  auto DeliverEvents(const FeedSession& aSession, std::string& aBytes) -> bool;
  // Writes the response header once per flow; false when the session is no
  // longer active.
  auto BeginResponse(const FeedSession& aSession) -> bool;
  // False when the flow ended or its feed has another generation.
  auto IsActive(const FeedSession& aSession) -> bool;
  auto IsSendBufferFull(const FeedSession& aSession) -> bool;

  AgentBoard& board_;
  prometheus::Counter& events_;
};

} // namespace damaskwalk
