#include "agent/feeds.h"

#include "runtime/bulk.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <cstdio>
#include <sstream>

namespace damaskwalk {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr Millis kConnectTimeout{ 500 };
constexpr Millis kFeedSilenceTimeout{ 10000 };
constexpr Millis kReconnectDelay{ 100 };
constexpr std::size_t kMaxUnsentBytes = std::size_t{ 256 } * 1024;
constexpr std::size_t kMaxEventBytes = std::size_t{ 64 } * 1024;

auto EventId(std::string_view aEvent) -> std::string
{
  const auto at = aEvent.find("id:");
  const bool found =
    at != std::string_view::npos && (at == 0 || aEvent[at - 1] == '\n');
  if (!found) {
    return {};
  }
  auto line = aEvent.substr(at + 3, aEvent.find('\n', at) - at - 3);
  while (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  return std::string(line);
}

auto ToChunk(std::string_view aData) -> std::string
{
  char size[20];
  std::snprintf(size, sizeof size, "%zx\r\n", aData.size());
  return size + std::string(aData) + "\r\n";
}

constexpr const char* kFeedHeader =
  "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
  "X-Damaskwalk-Outcome: answered\r\n"
  "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

FeedController::FeedController(AgentBoard& aBoard)
  : board_(aBoard)
  , events_(aBoard.node.Meter().Counter("damaskwalk_feed_events_total",
                                        "Events delivered to callers"))
{
  board_.feeds.SetConsumer(
    [this](std::vector<FlowKey> aFlows) {
      for (const auto& flow : aFlows) {
        board_.node.Spawn(Follow(flow));
      }
    },
    board_.node);
}

auto FeedController::OpenSession(const FlowKey& aFlow)
  -> std::optional<FeedSession>
{
  auto& shard = board_.flows.ShardOf(aFlow);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.flows.find(aFlow);
  if (found == shard.flows.end() || found->second->frozen ||
      found->second->phase != FlowPhase::Feed) {
    return std::nullopt;
  }
  auto& flow = *found->second;
  return FeedSession{
    aFlow, flow.feedGeneration, flow.feedRequest, flow.lastEventId
  };
}

auto FeedController::Follow(FlowKey aFlow) -> Task<void>
{
  const auto first = OpenSession(aFlow);
  while (first) {
    auto session = OpenSession(aFlow);
    if (!session || session->generation != first->generation) {
      co_return;
    }
    co_await Read(*session);
    if (!IsActive(*session)) {
      co_return;
    }
    co_await board_.node.Sleep(kReconnectDelay);
  }
}

auto FeedController::Read(FeedSession aSession) -> Task<void>
{
  const auto document = board_.node.Board().documents.Current();
  const auto* own = board_.OwnBackend(*document);
  if (!own) {
    co_return;
  }
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(kConnectTimeout);
  const auto [connectError] =
    co_await stream.async_connect(ToAsioTcp(own->server), kAwait);
  if (connectError) {
    co_return;
  }
  http::request_parser<http::string_body> parsed;
  parsed.eager(true);
  boost::system::error_code parseError;
  parsed.put(asio::buffer(aSession.request), parseError);
  auto request = parsed.release();
  if (!aSession.lastEventId.empty()) {
    request.set("Last-Event-ID", aSession.lastEventId);
  }
  stream.expires_after(kFeedSilenceTimeout);
  co_await http::async_write(stream, request, kAwait);
  beast::flat_buffer buffer;
  http::response_parser<http::buffer_body> parser;
  parser.body_limit(boost::none);
  const auto [headError, headBytes] =
    co_await http::async_read_header(stream, buffer, parser, kAwait);
  if (headError || parser.get().result() != http::status::ok ||
      !BeginResponse(aSession)) {
    co_return;
  }
  std::string pending;
  std::array<char, 4096> chunk{};
  while (!parser.is_done() && pending.size() < kMaxEventBytes) {
    parser.get().body().data = chunk.data();
    parser.get().body().size = chunk.size();
    stream.expires_after(kFeedSilenceTimeout);
    auto [error, count] =
      co_await http::async_read_some(stream, buffer, parser, kAwait);
    if (error && error != http::error::need_buffer) {
      co_return;
    }
    pending.append(chunk.data(), chunk.size() - parser.get().body().size);
    if (!DeliverEvents(aSession, pending)) {
      co_return;
    }
    while (IsSendBufferFull(aSession)) {
      co_await board_.node.Sleep(kReconnectDelay);
    }
  }
}

auto FeedController::BeginResponse(const FeedSession& aSession) -> bool
{
  auto& shard = board_.flows.ShardOf(aSession.flow);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.flows.find(aSession.flow);
  if (found == shard.flows.end() ||
      found->second->feedGeneration != aSession.generation) {
    return false;
  }
  auto& flow = *found->second;
  if (!flow.feedStarted) {
    flow.feedStarted = true;
    flow.stream.Write(kFeedHeader);
  }
  return true;
}

auto FeedController::DeliverEvents(const FeedSession& aSession,
                                   std::string& aBytes) -> bool
{
  auto& shard = board_.flows.ShardOf(aSession.flow);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.flows.find(aSession.flow);
  if (found == shard.flows.end() || found->second->frozen ||
      found->second->feedGeneration != aSession.generation) {
    return false;
  }
  auto& flow = *found->second;
  for (auto end = aBytes.find("\n\n"); end != std::string::npos;
       end = aBytes.find("\n\n")) {
    const auto event = aBytes.substr(0, end + 2);
    aBytes.erase(0, end + 2);
    if (auto id = EventId(event); !id.empty()) {
      flow.lastEventId = std::move(id);
    }
    flow.stream.Write(ToChunk(event));
    events_.Increment();
  }
  std::vector<Frame> frames;
  flow.stream.Poll(board_.Now(), frames);
  for (const auto& frame : frames) {
    board_.node.SendFrame(frame);
  }
  return true;
}

auto FeedController::IsSendBufferFull(const FeedSession& aSession) -> bool
{
  auto& shard = board_.flows.ShardOf(aSession.flow);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.flows.find(aSession.flow);
  return found != shard.flows.end() &&
         found->second->feedGeneration == aSession.generation &&
         found->second->stream.UnackedBytes() > kMaxUnsentBytes;
}

auto FeedController::IsActive(const FeedSession& aSession) -> bool
{
  auto& shard = board_.flows.ShardOf(aSession.flow);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.flows.find(aSession.flow);
  return found != shard.flows.end() &&
         found->second->feedGeneration == aSession.generation;
}

} // namespace damaskwalk
