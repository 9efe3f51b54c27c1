#pragma once

// Parsing and serialization of HTTP/1.1 messages with Boost.Beast.

#include "core/clock.h"
#include "wire/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace damaskwalk {

// The fields of a caller's request that the agent uses.
struct HttpRequest
{
  std::string method;
  std::string target;
  std::string caller;              // X-Caller
  std::string requestId;           // X-Request-Id
  std::string idempotencyKey;      // Idempotency-Key
  std::string lastEventId;         // Last-Event-ID
  std::int64_t issuedMillis = 0;   // X-Issued-At
  std::int64_t deadlineMillis = 0; // X-Deadline-Ms, relative; 0: none
  TraceContext trace;              // traceparent
  std::string text;                // the whole message
};

enum class HttpParse : std::uint8_t
{
  Complete,
  NeedMore,
  Malformed,
};

// Removes one complete request from the front of aBytes.
auto TakeRequest(std::string& aBytes, HttpRequest& aRequest) -> HttpParse;

// An HTTP/1.1 response that reports a refusal or failure: 503 for NotRun, 504
// otherwise.
// @param aRetryAfter sent as Retry-After, rounded up to seconds.
auto MakeOutcomeResponse(Outcome aOutcome,
                         const std::string& aRequestId,
                         std::string_view aCause,
                         std::optional<Millis> aRetryAfter) -> std::string;

auto ToText(Outcome aOutcome) -> const char*;

} // namespace damaskwalk
