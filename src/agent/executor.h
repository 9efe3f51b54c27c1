#pragma once

// Runs requests on the own backend server, each attempt at most once, and
// checks that server's health.

#include "agent/board.h"

namespace damaskwalk {

class Executor
{
public:
  explicit Executor(AgentBoard& aBoard);

  // Runs a request of an owner, which may be this process. Refusals have the
  // outcome NotRun: nothing was sent to the backend server.
  auto Execute(ExecuteRequest aRequest) -> Task<ExecuteReply>;
  // Polls the backend server's health until the process stops.
  auto WatchHealth() -> Task<void>;
  auto Load() -> LoadReport;
  // Number of requests that run on the backend server.
  auto Running() const -> std::size_t { return running_; }
  auto OnDocument(const Document& aDocument) -> void;

private:
  struct SeenAttempt
  {
    AttemptId attempt;
    TimePoint at;
  };

  auto Refuse(const char* aCause) -> ExecuteReply;
  // False when the attempt was seen before.
  auto MarkSeen(const AttemptId& aAttempt) -> bool;
  auto RunOnBackend(Endpoint aServer, ExecuteRequest aRequest)
    -> Task<ExecuteReply>;
  // Releases the request's slot and reports the outcome to the slot gauge,
  // which adjusts the concurrency limit. Subtracts the round trip from the
  // duration.
  auto RecordCompletion(const ExecuteReply& aReply,
                        int aStatus,
                        std::chrono::microseconds aDuration) -> void;
  auto ReadHealth(Endpoint aServer) -> Task<std::optional<std::string>>;

  AgentBoard& board_;
  std::mutex seenMutex_;
  std::unordered_set<AttemptId, KeyHash> seen_;
  std::deque<SeenAttempt> seenOrder_;
  std::atomic<std::size_t> running_{ 0 };
  // Moving average of the round trip to the backend server, from health checks.
  std::atomic<std::int64_t> roundTripMicros_{ 0 };
  prometheus::Counter& refused_;
  prometheus::Histogram& seconds_;
};

} // namespace damaskwalk
