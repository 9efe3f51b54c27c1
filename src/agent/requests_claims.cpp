// Idempotency key claims of requests that may not be repeated: a claim at the
// key's home before the request is queued, and the report of its outcome.

#include "agent/requests.h"

namespace damaskwalk {

namespace {

// Grants that arrive later than this after the claim was sent are ignored.
// Until then no other agent can have taken over the role of the key's home.
constexpr Millis kClaimTimeout = kDeadTimeout - kKeyLease - Millis{ 50 };
constexpr Millis kClaimRetryDelay{ 60 };

} // namespace

auto RequestController::ServiceOf(const Request& aRequest) const -> ServiceId
{
  const auto document = board_.node.Board().documents.Current();
  const auto* service = document->FindByAddress(aRequest.flow.address);
  return service ? service->id : ServiceId{};
}

auto RequestController::ClaimThenEnqueue(RequestPtr aRequest) -> Task<void>
{
  const KeyClaim claim{ ServiceOf(*aRequest),
                        aRequest->http.idempotencyKey,
                        aRequest->http.caller,
                        aRequest->attempt,
                        aRequest->http.issuedMillis };
  KeyClaimReply reply;
  reply.result = ClaimResult::NotHome;
  while (reply.result == ClaimResult::NotHome &&
         board_.Now() < aRequest->deadline) {
    for (const auto& home : board_.keys.HomeOrder(claim.caller, claim.key)) {
      if (home == board_.node.Self()) {
        reply = board_.keys.Claim(claim);
      } else if (!board_.node.Board().members.IsDead(home)) {
        const auto sent = board_.Now();
        auto outcome = co_await board_.node.Call(home, claim, kClaimTimeout);
        const auto* answer = std::get_if<KeyClaimReply>(&outcome.message);
        const bool late = board_.Now() - sent > kClaimTimeout;
        const bool repliedInTime =
          outcome.status == CallStatus::Replied && answer && !late;
        if (repliedInTime) {
          reply = *answer;
        }
      }
      if (reply.result != ClaimResult::NotHome) {
        break;
      }
    }
    if (reply.result == ClaimResult::NotHome) {
      co_await board_.node.Sleep(kClaimRetryDelay);
    }
  }
  --inFlight_;
  board_.RecordEvent(
    "event=key_claimed request=" + aRequest->http.requestId +
    " result=" + std::to_string(static_cast<int>(reply.result)));
  if (reply.result == ClaimResult::Recorded) {
    Finish(aRequest, Outcome::Answered, reply.answer, "recorded_answer");
    co_return;
  }
  if (reply.result != ClaimResult::Granted) {
    // An earlier attempt with this key may have run.
    FinishUnanswered(aRequest, Outcome::Unknown, "key_not_granted");
    co_return;
  }
  aRequest->claimed = true;
  const auto refusal = Enqueue(aRequest);
  if (refusal != Refusal::None) {
    FinishUnanswered(aRequest, Outcome::NotRun, ToText(refusal));
    co_return;
  }
  DispatchQueued();
}

auto RequestController::OnClaim(const KeyClaim& aClaim) -> KeyClaimReply
{
  if (!board_.node.IsCurrent()) {
    return { ClaimResult::NotHome, {} };
  }
  return board_.keys.Claim(aClaim);
}

auto RequestController::ReportToKeyHome(RequestPtr aRequest,
                                        Outcome aOutcome,
                                        std::string aText) -> Task<void>
{
  const KeyOutcome keyOutcome{ ServiceOf(*aRequest),
                               aRequest->http.idempotencyKey,
                               aRequest->http.caller,
                               aRequest->attempt,
                               aOutcome,
                               std::move(aText) };
  for (const auto& home :
       board_.keys.HomeOrder(keyOutcome.caller, keyOutcome.key)) {
    if (home == board_.node.Self()) {
      board_.keys.OnOutcome(keyOutcome);
      co_return;
    }
    if (board_.node.Board().members.IsDead(home)) {
      continue;
    }
    const auto outcome =
      co_await board_.node.Call(home, keyOutcome, Millis{ 500 });
    if (outcome.status == CallStatus::Replied) {
      co_return;
    }
  }
}

} // namespace damaskwalk
