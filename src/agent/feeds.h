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
  struct Reading
  {
    FlowKey flow;
    std::uint32_t run = 0;
    std::string request;
    std::string lastEventId;
  };

  auto Open(const FlowKey& aFlow) -> std::optional<Reading>;
  auto Follow(FlowKey aFlow) -> Task<void>;
  auto Read(Reading aReading) -> Task<void>;
  // Writes whole events; false when the flow went on without this reading.
  auto Deliver(const Reading& aReading, std::string& aBytes) -> bool;
  auto Begin(const Reading& aReading) -> bool;
  // False when the flow ended or went on without this reading.
  auto IsWanted(const Reading& aReading) -> bool;
  auto IsFull(const Reading& aReading) -> bool;

  AgentBoard& board_;
  prometheus::Counter& events_;
};

} // namespace damaskwalk
