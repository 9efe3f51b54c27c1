#pragma once

// Runs requests on the own backend server, each attempt at most once, and
// watches that server.

#include "agent/board.h"

namespace damaskwalk {

class Executor
{
public:
  explicit Executor(AgentBoard& aBoard);

  // A request from an owner, this process included. Refuses with NotRun
  // before anything is sent to the backend server.
  auto Execute(ExecuteRequest aRequest) -> Task<ExecuteReply>;
  // Polls the backend server's health until the process stops.
  auto WatchHealth() -> Task<void>;
  auto Load() -> LoadReport;
  // Requests that run on the backend server now.
  auto Running() const -> std::size_t { return running_; }
  auto OnDocument(const Document& aDocument) -> void;

private:
  struct SeenAttempt
  {
    AttemptId attempt;
    TimePoint at;
  };

  auto Refuse(const char* aCause) -> ExecuteReply;
  auto MarkSeen(const AttemptId& aAttempt) -> bool;
  auto RunOnBackend(Endpoint aServer, ExecuteRequest aRequest)
    -> Task<ExecuteReply>;
  auto RecordCompletion(const ExecuteReply& aReply,
                        int aStatus,
                        std::chrono::microseconds aDuration) -> void;
  auto ReadHealth(Endpoint aServer) -> Task<std::optional<std::string>>;

  AgentBoard& board_;
  std::mutex seenMutex_;
  std::unordered_set<AttemptId, KeyHash> seen_;
  std::deque<SeenAttempt> seenOrder_;
  std::atomic<std::size_t> running_{ 0 };
  // Mean way to the backend server and back, by its health reads.
  std::atomic<std::int64_t> roundTripMicros_{ 0 };
  prometheus::Counter& refused_;
  prometheus::Histogram& seconds_;
};

} // namespace damaskwalk
