#pragma once

// Requests of the flows that this agent owns: admission, idempotency key
// claims, dispatch to the own or a peer's backend server, retries and outcomes.

#include "agent/board.h"
#include "agent/executor.h"

namespace damaskwalk {

class RequestController
{
public:
  RequestController(AgentBoard& aBoard, Executor& aExecutor);

  // Processes a claim as the key's home.
  auto OnClaim(const KeyClaim& aClaim) -> KeyClaimReply;
  // Finishes expired requests and dispatches queued ones.
  auto Tick() -> void;
  auto InFlight() const -> std::size_t { return inFlight_; }

private:
  struct Dispatch
  {
    RequestPtr request;
    Endpoint executor;
  };

  auto OnSubmitted(std::vector<RequestPtr> aRequests) -> void;
  auto Admit(const RequestPtr& aRequest) -> void;
  auto Enqueue(const RequestPtr& aRequest) -> Refusal;
  // The service that currently has the flow's address; invalid when none has.
  auto ServiceOf(const Request& aRequest) const -> ServiceId;
  auto ClaimThenEnqueue(RequestPtr aRequest) -> Task<void>;
  // Dispatches queued requests while slots are free.
  auto DispatchQueued() -> void;
  auto NextDispatch() -> std::optional<Dispatch>;
  auto ChooseOutsideDomain(std::vector<Candidate> aCandidates,
                           const Request& aRequest,
                           std::size_t aChosen) -> std::size_t;
  auto DomainOf(const Endpoint& aAgent) const -> std::string;
  auto IsHeavy(const std::string& aCaller,
               const std::vector<Candidate>& aCandidates) const -> bool;
  // Index of the candidate for a request, Placement::kNone when no slot is
  // free. A heavy caller's request leaves the reserved slots free.
  // Requires admission.mutex.
  auto ChooseServer(std::vector<Candidate>& aCandidates, bool aCallerIsHeavy)
    -> std::size_t;
  // Requires admission.mutex.
  auto ReleaseShare(const std::string& aCaller) -> void;
  auto Run(Dispatch aDispatch) -> Task<void>;
  auto RunOnce(const Dispatch& aDispatch) -> Task<ExecuteReply>;
  auto Retry(RequestPtr aRequest, Millis aBackoff) -> Task<void>;
  // Queues a request again that the chosen server had no slot for; it keeps
  // its turn.
  auto RequeueAtFront(const RequestPtr& aRequest) -> void;
  // Takes a retry token when the failed try may have run.
  auto MayRetry(const Request& aRequest, Outcome aOutcome) -> bool;
  auto Backoff(std::uint32_t aTries) -> Millis;
  auto Finish(const RequestPtr& aRequest,
              Outcome aOutcome,
              std::string aText,
              std::string_view aCause) -> void;
  // Finishes a request with a response of this agent's own. The outcome is
  // Unknown when an earlier try may have run.
  auto FinishUnanswered(const RequestPtr& aRequest,
                        Outcome aOutcome,
                        std::string_view aCause) -> void;
  // Reports the outcome of a claimed request to its key's home.
  auto ReportToKeyHome(RequestPtr aRequest, Outcome aOutcome, std::string aText)
    -> Task<void>;
  // False when the flow is gone, frozen or serves another request.
  auto SetPhase(const Request& aRequest, FlowPhase aPhase) -> bool;
  auto RecordLoad(const Endpoint& aExecutor, const LoadReport& aLoad) -> void;

  AgentBoard& board_;
  Executor& executor_;
  std::atomic<std::size_t> inFlight_{ 0 };
  std::mutex randomMutex_;
  std::mt19937_64 random_;
  prometheus::Counter& answered_;
  prometheus::Counter& notRun_;
  prometheus::Counter& unknown_;
  prometheus::Counter& retries_;
  prometheus::Histogram& seconds_;
};

} // namespace damaskwalk
