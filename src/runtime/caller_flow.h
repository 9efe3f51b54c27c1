#pragma once

// The caller's end of a flow: HTTP/1.1 responses and server-sent events over a
// stream of frames. Owns no sockets: its user receives and sends the frames.

#include "core/stream.h"

#include <optional>
#include <string>
#include <vector>

namespace damaskwalk {

struct CallerFlowInit
{
  FlowKey flow;
  std::uint32_t initialSequence = 1;
  bool echoTimestamps = true;
  Millis keepalivePeriod{ 500 };
  Millis silenceTimeout{ 15000 };
};

struct CallerResponse
{
  int status = 0;
  std::string outcome;   // X-Damaskwalk-Outcome
  std::string cause;     // X-Damaskwalk-Cause
  std::string requestId; // X-Request-Id
  std::string body;
};

struct FeedEvent
{
  std::string id;
  std::string data;
};

class CallerFlow
{
public:
  CallerFlow(const CallerFlowInit& aInit, TimePoint aNow);

  auto Send(std::string_view aRequest, const TraceContext& aTrace = {}) -> void;
  auto OnFrame(const Frame& aFrame, TimePoint aNow, Stream::Frames& aOut)
    -> void;
  auto Poll(TimePoint aNow, Stream::Frames& aOut) -> void;
  auto Close() -> void { stream_.Close(); }

  // The next complete response; nothing on a feed.
  auto TakeResponse() -> std::optional<CallerResponse>;
  // The complete events of a feed. Call TakeResponse first: it recognises a
  // feed by its chunked response.
  auto TakeEvents() -> std::vector<FeedEvent>;
  auto IsFeed() const -> bool { return feed_; }
  auto State() const -> StreamState { return stream_.State(); }
  auto Cause() const -> CloseCause { return stream_.Cause(); }
  auto RemoteClosed() const -> bool { return stream_.RemoteClosed(); }

private:
  // Puts the request's trace context into the frames that carry data.
  auto AttachTrace(Stream::Frames& aFrames, std::size_t aFrom) -> void;

  Stream stream_;
  bool feed_ = false;
  std::string feedText_; // chunk contents without a complete event so far
  TraceContext trace_;
};

// An HTTP/1.1 request. MakeRequestText leaves out the headers whose field is
// empty or 0.
struct CallerRequest
{
  std::string method = "GET";
  std::string path = "/";
  std::string host;
  std::string caller;
  std::string requestId;
  std::string key;
  std::string lastEventId;
  std::int64_t issuedMillis = 0;
  Millis deadline{ 0 };
  TraceContext trace;
  std::string body;
};

auto MakeRequestText(const CallerRequest& aRequest) -> std::string;

} // namespace damaskwalk
