#pragma once

// Admission, claims, dispatch to the own or a peer's backend server, retries
// and final outcomes of requests that this agent's flows carry.

#include "agent/board.h"
#include "agent/executor.h"

namespace damaskwalk {

class RequestController
{
public:
  RequestController(AgentBoard& aBoard, Executor& aExecutor);

  // Key home's side.
  auto OnClaim(const KeyClaim& aClaim) -> KeyClaimReply;
  // Drops what expired and dispatches what waits.
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
  // The service that has the flow's address now; invalid when none has it.
  auto ServiceOf(const Request& aRequest) const -> ServiceId;
  auto ClaimThenEnqueue(RequestPtr aRequest) -> Task<void>;
  auto DispatchQueued() -> void;
  auto NextDispatch() -> std::optional<Dispatch>;
  auto ChooseOutsideDomain(std::vector<Candidate> aCandidates,
                           const Request& aRequest,
                           std::size_t aChosen) -> std::size_t;
  auto DomainOf(const Endpoint& aAgent) const -> std::string;
  auto IsHeavy(const std::string& aCaller,
               const std::vector<Candidate>& aCandidates) const -> bool;
  // Chooses a server for a caller's request; wants admission.mutex.
  auto ChooseServer(std::vector<Candidate>& aCandidates, bool aCallerIsHeavy)
    -> std::size_t;
  // Wants admission.mutex.
  auto ReleaseShare(const std::string& aCaller) -> void;
  auto Run(Dispatch aDispatch) -> Task<void>;
  auto RunOnce(const Dispatch& aDispatch) -> Task<ExecuteReply>;
  auto Retry(RequestPtr aRequest, Millis aBackoff) -> Task<void>;
  auto RequeueAtFront(const RequestPtr& aRequest) -> void;
  auto MayRetry(const Request& aRequest, Outcome aOutcome) -> bool;
  auto Backoff(std::uint32_t aTries) -> Millis;
  auto Finish(const RequestPtr& aRequest,
              Outcome aOutcome,
              std::string aText,
              std::string_view aCause) -> void;
  auto FinishUnanswered(const RequestPtr& aRequest,
                        Outcome aOutcome,
                        std::string_view aCause) -> void;
  auto ReportToKeyHome(RequestPtr aRequest, Outcome aOutcome, std::string aText)
    -> Task<void>;
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
