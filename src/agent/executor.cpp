#include "agent/executor.h"

#include "runtime/bulk.h"
#include "runtime/log.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <sstream>

namespace damaskwalk {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr Millis kConnectTimeout{ 500 };
constexpr Millis kHealthPeriod{ 250 };
constexpr Millis kHealthTimeout{ 1000 };
constexpr std::uint32_t kHealthFailureThreshold = 3;
constexpr std::chrono::minutes kSeenAttemptRetention{ 2 };
constexpr std::size_t kMaxSeenAttempts = 200000;

auto TimeLeft(std::int64_t aDeadlineMillis, WallTime aNow) -> Millis
{
  return Millis{ aDeadlineMillis - WallMillis(aNow) };
}

} // namespace

Executor::Executor(AgentBoard& aBoard)
  : board_(aBoard)
  , refused_(
      aBoard.node.Meter().Counter("damaskwalk_execute_refused_total",
                                  "Requests refused before they were run"))
  , seconds_(
      aBoard.node.Meter().Seconds("damaskwalk_backend_seconds",
                                  "Time of a request at the backend server"))
{
}

auto Executor::Load() -> LoadReport
{
  const auto now = board_.Now();
  LoadReport load;
  load.healthy = board_.backend.reachable ? 1 : 0;
  load.flows = static_cast<std::uint32_t>(board_.flows.Count());
  const std::lock_guard lock(board_.admission.mutex);
  const auto& slots = board_.admission.slots;
  load.slots = slots.Slots();
  load.limit = slots.Limit();
  load.busy = slots.Busy();
  load.queued = static_cast<std::uint32_t>(board_.admission.queue.Size());
  load.utilisation = static_cast<std::uint32_t>(slots.Utilisation(now) * 1e6);
  load.serviceMicros = static_cast<std::uint32_t>(slots.ServiceSeconds() * 1e6);
  load.healthy = load.healthy != 0 && slots.IsHealthy(now) ? 1 : 0;
  return load;
}

auto Executor::OnDocument(const Document& aDocument) -> void
{
  if (const auto* own = board_.OwnBackend(aDocument)) {
    const std::lock_guard lock(board_.admission.mutex);
    board_.admission.slots.SetSlots(own->slots);
  }
}

auto Executor::Refuse(const char* aCause) -> ExecuteReply
{
  refused_.Increment();
  return { Outcome::NotRun, Load(), {}, aCause };
}

auto Executor::MarkSeen(const AttemptId& aAttempt) -> bool
{
  const auto now = board_.Now();
  const std::lock_guard lock(seenMutex_);
  while (!seenOrder_.empty() &&
         (now - seenOrder_.front().at > kSeenAttemptRetention ||
          seenOrder_.size() >= kMaxSeenAttempts)) {
    seen_.erase(seenOrder_.front().attempt);
    seenOrder_.pop_front();
  }
  if (!seen_.insert(aAttempt).second) {
    return false;
  }
  seenOrder_.push_back({ aAttempt, now });
  return true;
}

auto Executor::Execute(ExecuteRequest aRequest) -> Task<ExecuteReply>
{
  const auto document = board_.node.Board().documents.Current();
  const auto* own = board_.OwnBackend(*document);
  if (!own || own->service != aRequest.service) {
    co_return Refuse("wrong_service");
  }
  if (!board_.AcceptsNewWork()) {
    co_return Refuse("leaving");
  }
  const auto wall = board_.node.Board().clock.Wall();
  if (TimeLeft(aRequest.deadlineMillis, wall) <= Millis{ 0 }) {
    co_return Refuse("deadline_passed");
  }
  bool acquired = false;
  {
    const std::lock_guard lock(board_.admission.mutex);
    auto& slots = board_.admission.slots;
    const auto reserve =
      aRequest.callerIsHeavy != 0 ? ReservedSlots(slots.Limit()) : 0;
    acquired = slots.TryAcquire(board_.Now(), reserve);
  }
  if (!acquired) {
    co_return Refuse("no_slot");
  }
  if (!MarkSeen(aRequest.attempt)) {
    const std::lock_guard lock(board_.admission.mutex);
    board_.admission.slots.Release(board_.Now());
    // A duplicate: an earlier copy of the attempt ran or was refused.
    co_return ExecuteReply{ Outcome::Unknown, {}, {}, "attempt_seen" };
  }
  ++running_;
  const auto server = own->server;
  const auto trace = aRequest.trace;
  const auto start = board_.Now();
  auto reply = co_await RunOnBackend(server, std::move(aRequest));
  --running_;
  const auto elapsed =
    std::chrono::duration_cast<std::chrono::microseconds>(board_.Now() - start);
  seconds_.Observe(std::chrono::duration<double>(elapsed).count());
  board_.RecordSpan(trace,
                    "backend_server",
                    "server=" + ToText(server) + " " + reply.cause,
                    elapsed);
  reply.load = Load();
  co_return reply;
}

auto Executor::RecordCompletion(const ExecuteReply& aReply,
                                int aStatus,
                                std::chrono::microseconds aDuration) -> void
{
  const auto serviceTime = std::max(
    aDuration - std::chrono::microseconds(roundTripMicros_), aDuration / 10);
  const auto now = board_.Now();
  const std::lock_guard lock(board_.admission.mutex);
  auto& slots = board_.admission.slots;
  slots.Release(now);
  if (aReply.outcome == Outcome::Answered) {
    slots.OnCompletion(serviceTime, aStatus < 500, now);
  } else if (aReply.outcome == Outcome::NotRun) {
    slots.OnShed();
  } else {
    slots.OnCompletion(serviceTime, false, now);
    slots.OnShed();
  }
}

auto Executor::RunOnBackend(Endpoint aServer, ExecuteRequest aRequest)
  -> Task<ExecuteReply>
{
  const auto start = board_.Now();
  const auto timeLeft =
    TimeLeft(aRequest.deadlineMillis, board_.node.Board().clock.Wall());
  int status = 0;
  ExecuteReply reply;
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(std::min(kConnectTimeout, timeLeft));
  const auto [connectError] =
    co_await stream.async_connect(ToAsioTcp(aServer), kAwait);
  const auto remaining =
    TimeLeft(aRequest.deadlineMillis, board_.node.Board().clock.Wall());
  if (connectError || remaining <= Millis{ 0 }) {
    reply = { Outcome::NotRun, {}, {}, "backend_unreachable" };
  } else {
    stream.expires_after(remaining);
    const auto [writeError, written] = co_await asio::async_write(
      stream, asio::buffer(aRequest.request), kAwait);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxAnswerBytes / 2);
    auto readError = writeError;
    if (!writeError) {
      std::tie(readError, std::ignore) =
        co_await http::async_read(stream, buffer, parser, kAwait);
    }
    if (readError) {
      // Closing the connection cancels a request that still runs there.
      reply = { Outcome::Unknown, {}, {}, "backend_gave_no_whole_answer" };
    } else {
      auto answer = parser.release();
      status = static_cast<int>(answer.result_int());
      if (answer["X-Not-Run"] == "1") {
        reply = { Outcome::NotRun, {}, {}, "backend_shed" };
      } else {
        answer.keep_alive(true);
        answer.set("X-Damaskwalk-Outcome", "answered");
        answer.prepare_payload();
        std::ostringstream text;
        text << answer;
        reply = { Outcome::Answered, {}, text.str(), "ran" };
      }
    }
  }
  const auto elapsed =
    std::chrono::duration_cast<std::chrono::microseconds>(board_.Now() - start);
  RecordCompletion(reply, status, elapsed);
  co_return reply;
}

auto Executor::ReadHealth(Endpoint aServer) -> Task<std::optional<std::string>>
{
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(kHealthTimeout);
  const auto [connectError] =
    co_await stream.async_connect(ToAsioTcp(aServer), kAwait);
  if (connectError) {
    co_return std::nullopt;
  }
  http::request<http::empty_body> request(http::verb::get, "/health", 11);
  request.set(http::field::connection, "close");
  co_await http::async_write(stream, request, kAwait);
  beast::flat_buffer buffer;
  http::response<http::string_body> response;
  const auto [error, count] =
    co_await http::async_read(stream, buffer, response, kAwait);
  if (error) {
    co_return std::nullopt;
  }
  co_return response.body();
}

auto Executor::WatchHealth() -> Task<void>
{
  std::uint32_t failures = 0;
  for (;;) {
    co_await board_.node.Sleep(kHealthPeriod);
    const auto document = board_.node.Board().documents.Current();
    const auto* own = board_.OwnBackend(*document);
    if (!own) {
      continue;
    }
    const auto readStart = board_.Now();
    const auto health = co_await ReadHealth(own->server);
    const auto roundTripMicros =
      std::chrono::duration_cast<std::chrono::microseconds>(board_.Now() -
                                                            readStart)
        .count();
    if (health) {
      const auto previousMicros = roundTripMicros_.load();
      roundTripMicros_ =
        previousMicros == 0
          ? roundTripMicros
          : previousMicros +
              (std::min(roundTripMicros, previousMicros * 3) - previousMicros) /
                5;
    }
    if (!health) {
      if (++failures == kHealthFailureThreshold) {
        board_.backend.reachable = false;
        Event("backend_unreachable").With("server", ToText(own->server)).Warn();
        board_.RecordEvent("event=backend_unreachable");
      }
      continue;
    }
    if (!board_.backend.reachable.exchange(true)) {
      Event("backend_back").With("server", ToText(own->server)).Info();
      const std::lock_guard lock(board_.admission.mutex);
      board_.admission.slots.OnColdStart();
    }
    failures = 0;
    const bool draining = health->starts_with("draining");
    if (board_.backend.draining.exchange(draining) != draining) {
      Event("backend_draining").With("draining", draining ? 1 : 0).Info();
      board_.RecordEvent(draining ? "event=backend_draining"
                                  : "event=backend_takes_work");
    }
  }
}

} // namespace damaskwalk
