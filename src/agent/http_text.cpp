#include "agent/http_text.h"

#include "core/config.h"
#include "runtime/tracer.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <sstream>

namespace damaskwalk {

namespace http = boost::beast::http;

namespace {

auto ToNumber(std::string_view aText) -> std::int64_t
{
  std::int64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

} // namespace

auto TakeRequest(std::string& aBytes, HttpRequest& aRequest) -> HttpParse
{
  http::request_parser<http::string_body> parser;
  parser.eager(true);
  parser.body_limit(kMaxRequestBytes);
  boost::system::error_code error;
  const auto parsedBytes =
    parser.put(boost::asio::buffer(aBytes.data(), aBytes.size()), error);
  if (error == http::error::need_more) {
    return aBytes.size() > kMaxRequestBytes ? HttpParse::Malformed
                                            : HttpParse::NeedMore;
  }
  if (error) {
    return HttpParse::Malformed;
  }
  if (!parser.is_done()) {
    return HttpParse::NeedMore;
  }
  const auto& message = parser.get();
  aRequest = {};
  aRequest.method = std::string(message.method_string());
  aRequest.target = std::string(message.target());
  aRequest.caller =
    std::string(message["X-Caller"]).substr(0, kMaxNameBytes / 2);
  aRequest.requestId = std::string(message["X-Request-Id"]);
  aRequest.idempotencyKey =
    std::string(message["Idempotency-Key"]).substr(0, kMaxNameBytes / 2);
  aRequest.lastEventId = std::string(message["Last-Event-ID"]);
  aRequest.issuedMillis = ToNumber(message["X-Issued-At"]);
  aRequest.deadlineMillis = ToNumber(message["X-Deadline-Ms"]);
  if (const auto trace = ParseTraceParent(message["traceparent"])) {
    aRequest.trace = *trace;
  }
  aRequest.text = aBytes.substr(0, parsedBytes);
  aBytes.erase(0, parsedBytes);
  return HttpParse::Complete;
}

auto ToText(Outcome aOutcome) -> const char*
{
  switch (aOutcome) {
    case Outcome::Answered:
      return "answered";
    case Outcome::NotRun:
      return "not_run";
    default:
      return "unknown";
  }
}

auto MakeOutcomeResponse(Outcome aOutcome,
                         const std::string& aRequestId,
                         std::string_view aCause,
                         std::optional<Millis> aRetryAfter) -> std::string
{
  const auto status = aOutcome == Outcome::NotRun
                        ? http::status::service_unavailable
                        : http::status::gateway_timeout;
  http::response<http::string_body> answer(status, 11);
  answer.set("X-Damaskwalk-Outcome", ToText(aOutcome));
  answer.set("X-Damaskwalk-Cause", std::string(aCause));
  answer.set("X-Request-Id", aRequestId);
  if (aRetryAfter) {
    const auto seconds = (aRetryAfter->count() + 999) / 1000;
    answer.set(http::field::retry_after, std::to_string(seconds));
  }
  answer.prepare_payload();
  std::ostringstream text;
  text << answer;
  return text.str();
}

} // namespace damaskwalk
