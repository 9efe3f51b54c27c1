#include "runtime/caller_flow.h"

#include "core/config.h"
#include "runtime/tracer.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <sstream>

namespace damaskwalk {

namespace http = boost::beast::http;

namespace {

auto MakeStreamInit(const CallerFlowInit& aInit) -> StreamInit
{
  StreamInit init;
  init.local = aInit.flow.caller;
  init.remote = aInit.flow.address;
  init.initialSequence = aInit.initialSequence;
  init.echoTimestamps = aInit.echoTimestamps;
  init.keepalivePeriod = aInit.keepalivePeriod;
  init.silenceTimeout = aInit.silenceTimeout;
  return init;
}

// Moves the first chunk of a chunked body from aBytes to the end of aData;
// false when the chunk is not complete.
auto TakeChunk(std::string& aBytes, std::string& aData) -> bool
{
  const auto line = aBytes.find("\r\n");
  if (line == std::string::npos) {
    return false;
  }
  std::size_t size = 0;
  std::from_chars(aBytes.data(), aBytes.data() + line, size, 16);
  const auto end = line + 2 + size + 2;
  if (aBytes.size() < end) {
    return false;
  }
  aData.append(aBytes, line + 2, size);
  aBytes.erase(0, end);
  return true;
}

auto FieldOf(std::string_view aEvent, std::string_view aName) -> std::string
{
  const auto at = aEvent.find(aName);
  if (at == std::string_view::npos) {
    return {};
  }
  const auto start = at + aName.size();
  return std::string(aEvent.substr(start, aEvent.find('\n', at) - start));
}

} // namespace

CallerFlow::CallerFlow(const CallerFlowInit& aInit, TimePoint aNow)
  : stream_(Stream::Connect(MakeStreamInit(aInit), aNow))
{
}

auto CallerFlow::Send(std::string_view aRequest, const TraceContext& aTrace)
  -> void
{
  stream_.Write(aRequest);
  trace_ = aTrace;
}

auto CallerFlow::AttachTrace(Stream::Frames& aFrames, std::size_t aFrom) -> void
{
  for (auto i = aFrom; i < aFrames.size(); ++i) {
    if (!aFrames[i].payload.empty()) {
      aFrames[i].trace = trace_;
    }
  }
}

auto CallerFlow::OnFrame(const Frame& aFrame,
                         TimePoint aNow,
                         Stream::Frames& aOut) -> void
{
  const auto from = aOut.size();
  stream_.OnFrame(aFrame, aNow, aOut);
  AttachTrace(aOut, from);
}

auto CallerFlow::Poll(TimePoint aNow, Stream::Frames& aOut) -> void
{
  const auto from = aOut.size();
  stream_.Poll(aNow, aOut);
  AttachTrace(aOut, from);
}

auto CallerFlow::TakeResponse() -> std::optional<CallerResponse>
{
  auto& bytes = stream_.Received();
  if (feed_ || bytes.empty()) {
    return std::nullopt;
  }
  const auto headEnd = bytes.find("\r\n\r\n");
  if (headEnd == std::string::npos) {
    return std::nullopt;
  }
  const auto chunked = bytes.find("Transfer-Encoding: chunked");
  if (chunked != std::string::npos && chunked < headEnd) {
    feed_ = true;
    bytes.erase(0, headEnd + 4);
    return std::nullopt;
  }
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  parser.body_limit(kMaxAnswerBytes);
  boost::system::error_code error;
  const auto parsedBytes =
    parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
  if (error || !parser.is_done()) {
    return std::nullopt;
  }
  bytes.erase(0, parsedBytes);
  auto message = parser.release();
  return CallerResponse{ static_cast<int>(message.result_int()),
                         std::string(message["X-Damaskwalk-Outcome"]),
                         std::string(message["X-Damaskwalk-Cause"]),
                         std::string(message["X-Request-Id"]),
                         std::move(message.body()) };
}

auto CallerFlow::TakeEvents() -> std::vector<FeedEvent>
{
  std::vector<FeedEvent> events;
  if (!feed_) {
    return events;
  }
  while (TakeChunk(stream_.Received(), feedText_)) {
  }
  for (auto end = feedText_.find("\n\n"); end != std::string::npos;
       end = feedText_.find("\n\n")) {
    const auto event = feedText_.substr(0, end + 1);
    feedText_.erase(0, end + 2);
    events.push_back({ FieldOf(event, "id: "), FieldOf(event, "data: ") });
  }
  return events;
}

auto MakeRequestText(const CallerRequest& aRequest) -> std::string
{
  http::request<http::string_body> request;
  request.version(11);
  request.method_string(aRequest.method);
  request.target(aRequest.path);
  const auto set = [&request](const char* aName, const std::string& aValue) {
    if (!aValue.empty()) {
      request.set(aName, aValue);
    }
  };
  set("Host", aRequest.host);
  set("X-Caller", aRequest.caller);
  set("X-Request-Id", aRequest.requestId);
  set("Idempotency-Key", aRequest.key);
  set("Last-Event-ID", aRequest.lastEventId);
  if (aRequest.issuedMillis != 0) {
    set("X-Issued-At", std::to_string(aRequest.issuedMillis));
  }
  if (aRequest.deadline.count() > 0) {
    set("X-Deadline-Ms", std::to_string(aRequest.deadline.count()));
  }
  if (aRequest.trace.IsSampled()) {
    set("traceparent", ToTraceParent(aRequest.trace));
  }
  request.body() = aRequest.body;
  request.prepare_payload();
  std::ostringstream text;
  text << request;
  return text.str();
}

} // namespace damaskwalk
