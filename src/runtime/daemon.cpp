// Implements the public interface on top of the balancer and agent roles.

#include "damaskwalk/damaskwalk.h"

#include "agent/agent.h"
#include "balancer/balancer.h"
#include "core/log_timeline.h"
#include "runtime/caller_flow.h"
#include "runtime/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

namespace damaskwalk {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace {

constexpr int kSettingsErrorExitCode = 2;

// Runs the body. Prints an error as one line and returns the exit code.
template<class Body>
auto WithSettings(const std::string& aFile, Body aBody) -> int
{
  return leaf::try_handle_all(
    std::move(aBody),
    [&aFile](const SettingsError& aError) {
      auto error = aError;
      error.file = aFile;
      std::fprintf(stderr, "%s\n", ToText(error).c_str());
      return kSettingsErrorExitCode;
    },
    [] {
      std::fprintf(stderr, "event=start_failed problem=\"unknown\"\n");
      return 1;
    });
}

auto Query(const QueryInit& aInit, Message aQuery) -> QueryResult
{
  QueryResult result;
  const auto address = ParseEndpoint(aInit.address);
  if (!address) {
    return result;
  }
  asio::io_context io;
  auto task = [&]() -> asio::awaitable<void> {
    const auto reply = co_await CallBulk(
      *address, EncodeMessage(Envelope{}, aQuery), aInit.timeout);
    if (reply.status != CallStatus::Replied) {
      co_return;
    }
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(received, DecodeMessage(reply.bytes));
        if (const auto* text = std::get_if<TextReply>(&received.message)) {
          result = { true, text->text };
        }
        return {};
      },
      [] {});
  };
  asio::co_spawn(io, task(), asio::detached);
  io.run();
  return result;
}

auto ToText(CloseCause aCause) -> std::string
{
  switch (aCause) {
    case CloseCause::Finished:
      return "finished";
    case CloseCause::Reset:
      return "reset";
    case CloseCause::Timeout:
      return "timeout";
    default:
      return "";
  }
}

} // namespace

auto RunBalancer(const DaemonInit& aInit) -> int
{
  return WithSettings(aInit.settingsFile, [&]() -> leaf::result<int> {
    BOOST_LEAF_AUTO(settings, LoadBalancerSettings(aInit.settingsFile));
    if (aInit.checkOnly) {
      return 0;
    }
    StartLogging("damaskwalk-balancer");
    Node node(settings.node, Role::Balancer);
    Balancer balancer(node, settings);
    BOOST_LEAF_CHECK(node.Start(balancer));
    return node.Run();
  });
}

auto RunAgent(const DaemonInit& aInit) -> int
{
  return WithSettings(aInit.settingsFile, [&]() -> leaf::result<int> {
    BOOST_LEAF_AUTO(settings, LoadAgentSettings(aInit.settingsFile));
    if (aInit.checkOnly) {
      return 0;
    }
    StartLogging("damaskwalk-agent");
    Node node(settings.node, Role::Agent);
    Agent agent(node, settings);
    BOOST_LEAF_CHECK(node.Start(agent));
    agent.Start();
    return node.Run();
  });
}

auto CheckDocument(std::string_view aText) -> std::vector<DocumentProblem>
{
  std::vector<DocumentProblem> problems;
  for (auto& error : ParseDocument(aText, 1).errors) {
    problems.push_back({ std::move(error.section),
                         std::move(error.key),
                         std::move(error.owner),
                         std::move(error.problem),
                         std::move(error.valid) });
  }
  return problems;
}

auto ListAgents(std::string_view aText) -> std::vector<std::string>
{
  std::vector<std::string> agents;
  const auto parsed = ParseDocument(aText, 1);
  if (!parsed.document) {
    return agents;
  }
  for (const auto& service : parsed.document->services) {
    for (const auto& backend : service.backends) {
      agents.push_back(damaskwalk::ToText(backend.agent));
    }
  }
  return agents;
}

auto ExplainLogs(const std::vector<std::string>& aLogs, const LogQuery& aQuery)
  -> std::vector<std::string>
{
  std::vector<LogLine> lines;
  for (const auto& log : aLogs) {
    std::ranges::move(ParseLogLines(log), std::back_inserter(lines));
  }
  std::vector<std::string> timeline;
  for (auto& line :
       BuildTimeline(std::move(lines), { aQuery.request, aQuery.flow })) {
    timeline.push_back(std::move(line.text));
  }
  return timeline;
}

auto QueryStatus(const QueryInit& aInit) -> QueryResult
{
  return Query(aInit, StatusQuery{});
}

auto QueryExplain(const QueryInit& aInit,
                  const std::string& aFlow,
                  const std::string& aRequestId) -> QueryResult
{
  return Query(aInit, ExplainQuery{ aFlow, aRequestId });
}

auto Call(const CallInit& aInit) -> CallResult
{
  CallResult result;
  result.outcome = "no_answer";
  const auto fabric = ParseEndpoint(aInit.fabric);
  const auto source = ParseEndpoint(aInit.source);
  const auto address = ParseEndpoint(aInit.address);
  if (!fabric || !source || !address) {
    result.closeCause = "bad_address";
    return result;
  }
  std::random_device random;
  const SystemClock clock;
  TraceContext trace;
  if (aInit.sampled) {
    trace = { Mix(random(), random()), Mix(random(), random()), 0 };
  }
  CallerRequest request;
  request.method = aInit.method;
  request.path = aInit.path;
  request.host = aInit.address;
  request.caller = aInit.caller;
  request.requestId = aInit.requestId.empty()
                        ? "call-" + std::to_string(random())
                        : aInit.requestId;
  request.key = aInit.key;
  request.lastEventId = aInit.lastEventId;
  request.issuedMillis = WallMillis(clock.Wall());
  request.deadline = aInit.deadline;
  request.trace = trace;
  result.requestId = request.requestId;
  CallerFlowInit flowInit;
  flowInit.flow = { *source, *address };
  flowInit.initialSequence = random();
  CallerFlow flow(flowInit, clock.Now());
  flow.Send(MakeRequestText(request), trace);

  asio::io_context io;
  asio::ip::udp::socket socket(io, asio::ip::udp::v4());
  socket.non_blocking(true);
  const auto target = ToAsioUdp(*fabric);
  const auto send = [&](const Stream::Frames& aFrames) {
    for (const auto& frame : aFrames) {
      boost::system::error_code ignored;
      socket.send_to(asio::buffer(EncodeFrame(frame)), target, 0, ignored);
    }
  };
  std::array<char, kMaxDatagramBytes> bytes{};
  const auto end = clock.Now() + aInit.deadline + Millis{ 1000 };
  std::uint32_t events = 0;
  while (clock.Now() < end && flow.State() != StreamState::Closed) {
    Stream::Frames out;
    flow.Poll(clock.Now(), out);
    boost::system::error_code error;
    const auto count = socket.receive(asio::buffer(bytes), 0, error);
    if (!error) {
      leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(frame, DecodeFrame({ bytes.data(), count }));
          flow.OnFrame(frame, clock.Now(), out);
          return {};
        },
        [] {});
    }
    send(out);
    if (const auto response = flow.TakeResponse()) {
      result.answered = true;
      result.status = response->status;
      result.outcome = response->outcome;
      result.cause = response->cause;
      result.body = response->body;
      break;
    }
    for (const auto& event : flow.TakeEvents()) {
      result.body += event.id + " " + event.data + "\n";
      ++events;
    }
    if (aInit.events > 0 && events >= aInit.events) {
      result.answered = true;
      result.outcome = "answered";
      break;
    }
    if (error) {
      std::this_thread::sleep_for(Millis{ 1 });
    }
  }
  result.closeCause = ToText(flow.Cause());
  flow.Close();
  Stream::Frames out;
  flow.Poll(clock.Now(), out);
  send(out);
  return result;
}

} // namespace damaskwalk
