#pragma once

// A flow as its caller sees it: HTTP/1.1 answers and server-sent events over
// a stream of frames. No sockets of its own.

#include "core/stream.h"

#include <optional>
#include <string>
#include <vector>

namespace damaskwalk {

struct CallerFlowInit
{
  FlowKey flow;
  std::uint32_t initialSequence = 1;
  bool echoStamps = true;
  Millis keepalive{ 500 };
  Millis giveUp{ 15000 };
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

  auto TakeResponse() -> std::optional<CallerResponse>;
  auto TakeEvents() -> std::vector<FeedEvent>;
  auto IsFeed() const -> bool { return feed_; }
  auto State() const -> StreamState { return stream_.State(); }
  auto Cause() const -> CloseCause { return stream_.Cause(); }
  auto RemoteClosed() const -> bool { return stream_.RemoteClosed(); }

private:
  auto AttachTrace(Stream::Frames& aFrames, std::size_t aFrom) -> void;

  Stream stream_;
  bool feed_ = false;
  std::string feedText_;
  TraceContext trace_;
};

// Writes a request as text. Empty fields are left out.
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
