#include "agent/requests.h"

#include "runtime/log.h"

#include <algorithm>

namespace damaskwalk {

namespace {

// Limits retries to a tenth of the new requests.
constexpr double kRetryTokensPerRequest = 0.1;
constexpr double kMaxRetryTokens = 10;
constexpr std::uint32_t kMaxTries = 8;
constexpr Millis kInitialBackoff{ 10 };
constexpr Millis kMaxBackoff{ 200 };
constexpr double kUtilisationWindowSeconds = 4.0;

constexpr Millis kRetryAfter{ 1000 }; // sent to callers as Retry-After
constexpr std::size_t kMaxSkippedTickets = 8;

auto NeedsClaim(const Request& aRequest) -> bool
{
  return !aRequest.kind.repeatable && !aRequest.claimed;
}

} // namespace

RequestController::RequestController(AgentBoard& aBoard, Executor& aExecutor)
  : board_(aBoard)
  , executor_(aExecutor)
  , random_(HashOf(aBoard.node.Self()))
  , answered_(aBoard.node.Meter().Counter("damaskwalk_requests_total",
                                          "Requests by outcome",
                                          { { "outcome", "answered" } }))
  , notRun_(aBoard.node.Meter().Counter("damaskwalk_requests_total",
                                        "Requests by outcome",
                                        { { "outcome", "not_run" } }))
  , unknown_(aBoard.node.Meter().Counter("damaskwalk_requests_total",
                                         "Requests by outcome",
                                         { { "outcome", "unknown" } }))
  , retries_(aBoard.node.Meter().Counter("damaskwalk_retries_total",
                                         "Requests tried again"))
  , seconds_(aBoard.node.Meter().Seconds("damaskwalk_request_seconds",
                                         "Time of a request at its owner"))
{
  board_.submitted.SetConsumer(
    [this](std::vector<RequestPtr> aRequests) {
      OnSubmitted(std::move(aRequests));
    },
    board_.node);
}

auto RequestController::OnSubmitted(std::vector<RequestPtr> aRequests) -> void
{
  for (const auto& request : aRequests) {
    Admit(request);
  }
  DispatchQueued();
}

auto RequestController::Admit(const RequestPtr& aRequest) -> void
{
  const auto document = board_.node.Board().documents.Current();
  const auto limit = document->FindCaller(aRequest->http.caller);
  bool withinRate = true;
  {
    const std::lock_guard lock(board_.admission.mutex);
    auto& tokens = board_.admission.retryTokens;
    tokens = std::min(tokens + kRetryTokensPerRequest, kMaxRetryTokens);
    withinRate = board_.admission.rates.Admit(
      aRequest->http.caller, limit.ratePerSecond, board_.Now());
  }
  board_.RecordEvent(
    "event=request_arrived request=" + aRequest->http.requestId +
    " flow=" + ToText(aRequest->flow) + " kind=" + aRequest->kind.name);
  if (!withinRate) {
    FinishUnanswered(aRequest, Outcome::NotRun, ToText(Refusal::RateExceeded));
    return;
  }
  if (!aRequest->kind.repeatable && aRequest->http.idempotencyKey.empty()) {
    FinishUnanswered(aRequest, Outcome::NotRun, "idempotency_key_missing");
    return;
  }
  if (NeedsClaim(*aRequest)) {
    ++inFlight_;
    board_.node.Spawn(ClaimThenEnqueue(aRequest));
    return;
  }
  const auto refusal = Enqueue(aRequest);
  if (refusal != Refusal::None) {
    FinishUnanswered(aRequest, Outcome::NotRun, ToText(refusal));
  }
}

auto RequestController::Enqueue(const RequestPtr& aRequest) -> Refusal
{
  const auto now = board_.Now();
  const auto document = board_.node.Board().documents.Current();
  const auto limit = document->FindCaller(aRequest->http.caller);
  const std::lock_guard lock(board_.admission.mutex);
  auto& admission = board_.admission;
  // Fair queueing serves each active caller once before this caller's next
  // ticket.
  const auto& queue = admission.queue;
  const auto turnsAhead =
    (static_cast<double>(queue.SizeOf(aRequest->http.caller)) + 1) *
    static_cast<double>(queue.ActiveCallers());
  // The own backend server drains the queue even if no other does. Half its
  // rate is the lower bound.
  const auto ownRate =
    admission.slots.Limit() / admission.slots.ServiceSeconds();
  const auto rate = std::max(queue.PopRate(now), ownRate / 2);
  const auto neededSeconds =
    turnsAhead / rate + admission.slots.LongServiceSeconds();
  const auto expected = std::chrono::duration_cast<TimePoint::duration>(
    std::chrono::duration<double>(neededSeconds));
  if (aRequest->deadline <= now + expected) {
    return Refusal::DeadlineNear;
  }
  const auto refusal = admission.queue.Push({ aRequest->id,
                                              aRequest->http.caller,
                                              limit.weight,
                                              aRequest->kind.priority,
                                              aRequest->deadline,
                                              now });
  if (refusal == Refusal::None) {
    admission.requests[aRequest->id] = aRequest;
  }
  return refusal;
}

// A caller that holds more than its fair share of the slots doesn't get the
// reserved slots, so other callers find a free slot immediately.
auto RequestController::IsHeavy(const std::string& aCaller,
                                const std::vector<Candidate>& aCandidates) const
  -> bool
{
  if (board_.admission.queue.CallerCount() < 2) {
    return false;
  }
  double slots = 0;
  for (const auto& candidate : aCandidates) {
    slots += candidate.usable ? candidate.limit : 0;
  }
  const auto& running = board_.admission.running;
  const auto found = running.find(aCaller);
  const double callerSlots = found == running.end() ? 0 : found->second;
  const double callers = static_cast<double>(running.size()) + 1;
  const double owners = static_cast<double>(aCandidates.size());
  return callerSlots + 1 > std::max(slots / owners / callers, 1.0);
}

auto RequestController::ChooseServer(std::vector<Candidate>& aCandidates,
                                     bool aCallerIsHeavy) -> std::size_t
{
  const auto self = board_.node.Self();
  const auto ownIndex =
    std::ranges::find(aCandidates, self, &Candidate::agent) -
    aCandidates.begin();
  if (!aCallerIsHeavy) {
    return board_.placement->PlaceRequest(aCandidates,
                                          static_cast<std::size_t>(ownIndex));
  }
  auto reserved = aCandidates;
  for (auto& candidate : reserved) {
    candidate.limit -= ReservedSlots(candidate.limit);
  }
  return board_.placement->PlaceRequest(reserved,
                                        static_cast<std::size_t>(ownIndex));
}

// After a failed try, prefers a server in another failure domain if one has a
// free slot.
auto RequestController::ChooseOutsideDomain(std::vector<Candidate> aCandidates,
                                            const Request& aRequest,
                                            std::size_t aChosen) -> std::size_t
{
  if (aRequest.avoidDomain.empty() ||
      aCandidates[aChosen].failureDomain != aRequest.avoidDomain) {
    return aChosen;
  }
  for (auto& candidate : aCandidates) {
    const bool avoided = candidate.failureDomain == aRequest.avoidDomain;
    candidate.usable = candidate.usable && !avoided;
  }
  const auto other = ChooseServer(aCandidates, aRequest.callerIsHeavy);
  return other == Placement::kNone ? aChosen : other;
}

auto RequestController::NextDispatch() -> std::optional<Dispatch>
{
  const auto now = board_.Now();
  const auto document = board_.node.Board().documents.Current();
  const auto* service = board_.OwnService(*document);
  if (!service || !board_.node.IsCurrent()) {
    return std::nullopt;
  }
  std::vector<Ticket> expired;
  std::optional<Dispatch> dispatch;
  std::vector<RequestPtr> expiredRequests;
  {
    const std::lock_guard lock(board_.admission.mutex);
    auto& admission = board_.admission;
    if (admission.queue.Size() == 0) {
      return std::nullopt;
    }
    auto candidates = board_.Candidates(*service);
    auto chosen = ChooseServer(candidates, false);
    if (chosen == Placement::kNone) {
      return std::nullopt;
    }
    // Requests that can't finish before their deadline are not started.
    const auto serviceTime = std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::duration<double>(admission.slots.LongServiceSeconds()));
    auto ticket = admission.queue.Pop(now + serviceTime, expired);
    bool callerIsHeavy = false;
    std::vector<Ticket> skipped;
    while (ticket) {
      callerIsHeavy = IsHeavy(ticket->caller, candidates);
      chosen = callerIsHeavy ? ChooseServer(candidates, true) : chosen;
      if (!callerIsHeavy || chosen != Placement::kNone) {
        break;
      }
      skipped.push_back(std::move(*ticket));
      ticket.reset();
      chosen = ChooseServer(candidates, false);
      if (skipped.size() < kMaxSkippedTickets) {
        ticket = admission.queue.Pop(now + serviceTime, expired);
      }
    }
    for (auto& skippedTicket : skipped) {
      admission.queue.PushFront(std::move(skippedTicket));
    }
    for (const auto& expiredTicket : expired) {
      expiredRequests.push_back(admission.requests[expiredTicket.id]);
      admission.requests.erase(expiredTicket.id);
    }
    if (ticket) {
      const auto request = admission.requests[ticket->id];
      request->callerIsHeavy = callerIsHeavy;
      chosen = ChooseOutsideDomain(candidates, *request, chosen);
      admission.requests.erase(ticket->id);
      ++admission.running[request->http.caller];
      dispatch = { request, candidates[chosen].agent };
      const std::lock_guard peerLock(board_.peers.mutex);
      auto& peer = board_.peers.peers[dispatch->executor];
      ++peer.requestsInFlight;
      peer.addedUtilisation += candidates[chosen].serviceSeconds /
                               std::max(candidates[chosen].limit, 1U) /
                               kUtilisationWindowSeconds;
    }
  }
  for (const auto& request : expiredRequests) {
    FinishUnanswered(request, Outcome::NotRun, "deadline_near_in_queue");
  }
  return dispatch;
}

auto RequestController::ReleaseShare(const std::string& aCaller) -> void
{
  auto& running = board_.admission.running;
  const auto found = running.find(aCaller);
  if (found != running.end() && --found->second == 0) {
    running.erase(found);
  }
}

auto RequestController::DispatchQueued() -> void
{
  while (auto dispatch = NextDispatch()) {
    // From here on a handover can't move the flow.
    if (!SetPhase(*dispatch->request, FlowPhase::Running)) {
      RecordLoad(dispatch->executor, {});
      const std::lock_guard lock(board_.admission.mutex);
      ReleaseShare(dispatch->request->http.caller);
      continue;
    }
    ++inFlight_;
    board_.node.Spawn(Run(std::move(*dispatch)));
  }
}

auto RequestController::SetPhase(const Request& aRequest, FlowPhase aPhase)
  -> bool
{
  auto& shard = board_.flows.ShardOf(aRequest.flow);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.flows.find(aRequest.flow);
  const bool holdsRequest =
    found != shard.flows.end() && found->second->request &&
    found->second->request->id == aRequest.id && !found->second->frozen;
  if (holdsRequest) {
    found->second->phase = aPhase;
  }
  return holdsRequest;
}

auto RequestController::RunOnce(const Dispatch& aDispatch) -> Task<ExecuteReply>
{
  const auto& request = *aDispatch.request;
  const auto document = board_.node.Board().documents.Current();
  const auto* service = document->FindByAddress(request.flow.address);
  if (!service) {
    co_return ExecuteReply{ Outcome::NotRun, {}, {}, "service_gone" };
  }
  const auto remaining =
    std::chrono::duration_cast<Millis>(request.deadline - board_.Now());
  if (remaining <= Millis{ 0 }) {
    co_return ExecuteReply{ Outcome::NotRun, {}, {}, "deadline_passed" };
  }
  ExecuteRequest execute;
  execute.service = service->id;
  // Each dispatch gets its own attempt id; the claim covers all of them.
  execute.attempt = { Mix(request.attempt.high, HashOf(board_.node.Self())),
                      Mix(request.attempt.low, request.tries) };
  execute.kind = request.kind.name;
  execute.repeatable = request.kind.repeatable ? 1 : 0;
  execute.callerIsHeavy = request.callerIsHeavy ? 1 : 0;
  execute.deadlineMillis =
    WallMillis(board_.node.Board().clock.Wall() + remaining);
  execute.trace = board_.RecordSpan(request.http.trace,
                                    "executor_chosen",
                                    "executor=" + ToText(aDispatch.executor));
  execute.request = request.http.text;
  if (aDispatch.executor == board_.node.Self()) {
    co_return co_await executor_.Execute(std::move(execute));
  }
  auto outcome = co_await board_.node.Call(
    aDispatch.executor, std::move(execute), remaining + Millis{ 50 });
  if (auto* reply = std::get_if<ExecuteReply>(&outcome.message);
      reply && outcome.status == CallStatus::Replied) {
    co_return std::move(*reply);
  }
  if (outcome.status == CallStatus::Lost) {
    co_return ExecuteReply{ Outcome::Unknown, {}, {}, "executor_lost" };
  }
  co_return ExecuteReply{ Outcome::NotRun, {}, {}, "executor_unreachable" };
}

auto RequestController::RecordLoad(const Endpoint& aExecutor,
                                   const LoadReport& aLoad) -> void
{
  const std::lock_guard lock(board_.peers.mutex);
  const auto found = board_.peers.peers.find(aExecutor);
  if (found == board_.peers.peers.end()) {
    return;
  }
  auto& peer = found->second;
  peer.requestsInFlight -= peer.requestsInFlight > 0 ? 1 : 0;
  if (aLoad.slots == 0 || aExecutor == board_.node.Self()) {
    return;
  }
  peer.load = aLoad;
  peer.reportedAt = board_.Now();
  peer.addedUtilisation = 0;
  peer.placedFlows = 0;
}

auto RequestController::Run(Dispatch aDispatch) -> Task<void>
{
  const auto request = aDispatch.request;
  const auto start = board_.Now();
  const auto reply = co_await RunOnce(aDispatch);
  const auto elapsed =
    std::chrono::duration<double>(board_.Now() - start).count();
  RecordLoad(aDispatch.executor, reply.load);
  {
    const std::lock_guard lock(board_.admission.mutex);
    ReleaseShare(request->http.caller);
    if (reply.outcome == Outcome::Answered) {
      board_.admission.queue.RecordCost(request->http.caller, elapsed);
    }
  }
  board_.RecordEvent("event=request_ran request=" + request->http.requestId +
                     " executor=" + ToText(aDispatch.executor) + " outcome=" +
                     ToText(reply.outcome) + " cause=" + reply.cause);
  ++request->tries;
  const bool noSlot = reply.cause == "no_slot" || reply.cause == "leaving";
  if (reply.outcome != Outcome::Answered && !noSlot) {
    request->avoidDomain = DomainOf(aDispatch.executor);
  }
  request->mayHaveRun =
    request->mayHaveRun || reply.outcome == Outcome::Unknown;
  if (reply.outcome == Outcome::Answered) {
    Finish(request, Outcome::Answered, reply.answer, "ran");
  } else if (MayRetry(*request, reply.outcome)) {
    retries_.Increment();
    if (noSlot) {
      RequeueAtFront(request);
    } else {
      co_await Retry(request, Backoff(request->tries));
    }
  } else {
    FinishUnanswered(request, reply.outcome, reply.cause);
  }
  --inFlight_;
  DispatchQueued();
}

auto RequestController::DomainOf(const Endpoint& aAgent) const -> std::string
{
  const auto document = board_.node.Board().documents.Current();
  const auto* service = document->FindByAgent(aAgent);
  const auto* backend = service ? service->FindBackend(aAgent) : nullptr;
  return backend ? backend->failureDomain : std::string();
}

auto RequestController::MayRetry(const Request& aRequest, Outcome aOutcome)
  -> bool
{
  const bool allowed =
    aOutcome == Outcome::NotRun ||
    (aOutcome == Outcome::Unknown && aRequest.kind.repeatable);
  if (!allowed || board_.Now() >= aRequest.deadline) {
    return false;
  }
  // A request that did not run put no load on a backend server, so its retry
  // needs no token.
  if (aOutcome == Outcome::NotRun) {
    return true;
  }
  if (aRequest.tries >= kMaxTries) {
    return false;
  }
  const std::lock_guard lock(board_.admission.mutex);
  if (board_.admission.retryTokens < 1) {
    return false;
  }
  board_.admission.retryTokens -= 1;
  return true;
}

auto RequestController::Backoff(std::uint32_t aTries) -> Millis
{
  const auto maxBackoff =
    std::min(kInitialBackoff * (1U << std::min(aTries, 8U)), kMaxBackoff);
  const std::lock_guard lock(randomMutex_);
  return Millis{ std::uniform_int_distribution<std::int64_t>(
    maxBackoff.count() / 2, maxBackoff.count())(random_) };
}

auto RequestController::Retry(RequestPtr aRequest, Millis aBackoff)
  -> Task<void>
{
  co_await board_.node.Sleep(aBackoff);
  // No try is running, so a handover may move the request again.
  if (!SetPhase(*aRequest, FlowPhase::Waiting)) {
    FinishUnanswered(aRequest, Outcome::NotRun, "flow_gone");
    co_return;
  }
  const auto refusal = Enqueue(aRequest);
  if (refusal != Refusal::None) {
    FinishUnanswered(aRequest, Outcome::NotRun, ToText(refusal));
  }
}

auto RequestController::RequeueAtFront(const RequestPtr& aRequest) -> void
{
  if (!SetPhase(*aRequest, FlowPhase::Waiting)) {
    FinishUnanswered(aRequest, Outcome::NotRun, "flow_gone");
    return;
  }
  const std::lock_guard lock(board_.admission.mutex);
  board_.admission.requests[aRequest->id] = aRequest;
  board_.admission.queue.PushFront({ aRequest->id,
                                     aRequest->http.caller,
                                     1,
                                     aRequest->kind.priority,
                                     aRequest->deadline,
                                     board_.Now() });
}

auto RequestController::Finish(const RequestPtr& aRequest,
                               Outcome aOutcome,
                               std::string aText,
                               std::string_view aCause) -> void
{
  auto& counter = aOutcome == Outcome::Answered ? answered_
                  : aOutcome == Outcome::NotRun ? notRun_
                                                : unknown_;
  counter.Increment();
  const auto elapsed = board_.Now() - aRequest->arrived;
  seconds_.Observe(std::chrono::duration<double>(elapsed).count());
  board_.RecordEvent(
    "event=request_finished request=" + aRequest->http.requestId +
    " outcome=" + ToText(aOutcome) + " cause=" + std::string(aCause));
  board_.RecordSpan(
    aRequest->http.trace,
    "request",
    std::string("outcome=") + ToText(aOutcome) +
      " cause=" + std::string(aCause),
    std::chrono::duration_cast<std::chrono::microseconds>(elapsed));
  if (aRequest->claimed) {
    board_.node.Spawn(ReportToKeyHome(aRequest, aOutcome, aText));
  }
  board_.responses.Put({ aRequest->flow, aRequest->id, std::move(aText) });
}

auto RequestController::FinishUnanswered(const RequestPtr& aRequest,
                                         Outcome aOutcome,
                                         std::string_view aCause) -> void
{
  const auto outcome = aRequest->mayHaveRun ? Outcome::Unknown : aOutcome;
  const auto after =
    outcome == Outcome::NotRun ? std::optional(kRetryAfter) : std::nullopt;
  Finish(aRequest,
         outcome,
         MakeOutcomeResponse(outcome, aRequest->http.requestId, aCause, after),
         aCause);
}

auto RequestController::Tick() -> void
{
  std::vector<RequestPtr> expiredRequests;
  {
    const std::lock_guard lock(board_.admission.mutex);
    for (const auto& ticket :
         board_.admission.queue.TakeExpired(board_.Now())) {
      expiredRequests.push_back(board_.admission.requests[ticket.id]);
      board_.admission.requests.erase(ticket.id);
    }
  }
  for (const auto& request : expiredRequests) {
    FinishUnanswered(request, Outcome::NotRun, "deadline_near_in_queue");
  }
  DispatchQueued();
}

} // namespace damaskwalk
