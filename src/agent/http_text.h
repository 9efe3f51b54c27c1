#pragma once

// HTTP/1.1 messages as text, parsed and written with Beast.

#include "core/clock.h"
#include "wire/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace damaskwalk {

// What the agent needs to know of a caller's request.
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

// Takes one whole request off the front of the bytes.
auto TakeRequest(std::string& aBytes, HttpRequest& aRequest) -> HttpParse;

// A refusal or failure that damaskwalk itself answers with.
// @param aRetryAfter told to the caller when a later try makes sense.
auto MakeOutcomeResponse(Outcome aOutcome,
                         const std::string& aRequestId,
                         std::string_view aCause,
                         std::optional<Millis> aRetryAfter) -> std::string;

auto ToText(Outcome aOutcome) -> const char*;

} // namespace damaskwalk
