#include "runtime/node.h"

#include "core/document_version.h"
#include "runtime/log.h"

#include <boost/leaf/handle_errors.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include <sys/socket.h>
#include <time.h>

#include <algorithm>
#include <array>

namespace damaskwalk {

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using asio::ip::tcp;
using asio::ip::udp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReceiveBatch = 32;
constexpr int kSocketBufferBytes = 4 * 1024 * 1024;
constexpr Millis kServeTimeout{ 60000 };
constexpr Millis kMalformedLogPeriod{ 1000 };

auto ThreadCpuNanos() -> std::int64_t
{
  timespec time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return time.tv_sec * 1000000000LL + time.tv_nsec;
}

} // namespace

CpuTimer::CpuTimer(std::atomic<std::int64_t>& aTotal)
  : total_(aTotal)
  , start_(ThreadCpuNanos())
{
}

CpuTimer::~CpuTimer()
{
  total_ += ThreadCpuNanos() - start_;
}

Blackboard::Blackboard(const NodeSettings& aSettings,
                       Role aRole,
                       const Clock& aClock)
  : clock(aClock)
  , documents(aClock)
  , members({ aSettings.listen,
              aRole,
              aSettings.failureDomain,
              StartIncarnation(aClock.Wall()),
              HashOf(aSettings.listen) },
            aClock)
  , budget({ aSettings.controlBytesPerSecond, aSettings.controlBurstBytes },
           aClock.Now())
  , journal(aClock)
{
}

Node::Node(const NodeSettings& aSettings, Role aRole)
  : settings_(aSettings)
  , role_(aRole)
  , board_(aSettings, aRole, clock_)
  , tracer_(aSettings.traceFile,
            aSettings.traceService.empty() ? ToText(aSettings.listen)
                                           : aSettings.traceService,
            Mix(HashOf(aSettings.listen), board_.members.SelfIncarnation()))
  , platform_(aSettings.platform)

  , malformedMessages_(metrics_.Counter("damaskwalk_garbage_datagrams_total",
                                        "Datagrams that were no message"))
{
}

Node::~Node()
{
  io_.stop();
  for (auto& thread : threads_) {
    thread.join();
  }
}

auto Node::BindSockets() -> leaf::result<void>
{
  const auto fail = [this](const char* aKey, const std::string& aProblem) {
    return leaf::new_error(SettingsError{ "", "node", aKey, aProblem });
  };
  const auto inUse = ToText(settings_.listen) + " is in use";
  boost::system::error_code error;
  acceptor_ = std::make_unique<tcp::acceptor>(io_);
  acceptor_->open(tcp::v4());
  acceptor_->set_option(tcp::acceptor::reuse_address(true));
  acceptor_->bind(ToAsioTcp(settings_.listen), error);
  if (!error) {
    acceptor_->listen(1024, error);
  }
  if (error) {
    return fail("listen", inUse);
  }
  for (std::uint32_t i = 0; i < settings_.threads; ++i) {
    auto socket = std::make_unique<udp::socket>(io_);
    socket->open(udp::v4());
    const int on = 1;
    ::setsockopt(
      socket->native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
    socket->set_option(
      asio::socket_base::receive_buffer_size(kSocketBufferBytes), error);
    socket->set_option(asio::socket_base::send_buffer_size(kSocketBufferBytes),
                       error);
    socket->bind(ToAsioUdp(settings_.listen), error);
    if (error) {
      return fail("listen", inUse);
    }
    socket->non_blocking(true);
    sockets_.push_back(std::move(socket));
  }
  if (settings_.metrics.IsValid() && !metrics_.Serve(settings_.metrics)) {
    return fail("metrics", ToText(settings_.metrics) + " is in use");
  }
  transport_ = MakeTransportUdp(*sockets_.front());
  if (!settings_.partitionFile.empty()) {
    transport_ =
      MakeTransportPartition(std::move(transport_), settings_.partitionFile);
  }
  return {};
}

auto Node::Start(NodeRole& aRole) -> leaf::result<void>
{
  nodeRole_ = &aRole;
  BOOST_LEAF_CHECK(BindSockets());
  lastTick_ = clock_.Now().time_since_epoch().count();
  return {};
}

auto Node::Run() -> int
{
  for (std::size_t i = 0; i < sockets_.size(); ++i) {
    Spawn(ReceiveLoop(i));
  }
  Spawn(AcceptLoop());
  Spawn(Bootstrap());
  Spawn(TickLoop());
  Spawn(DocumentWatchLoop());
  Spawn(ListingLoop());
  Spawn(StopOnSignal());
  Event("started")
    .With("listen", ToText(settings_.listen))
    .With("failure_domain", settings_.failureDomain)
    .Info();
  for (std::uint32_t i = 1; i < settings_.threads; ++i) {
    threads_.emplace_back([this] { io_.run(); });
  }
  io_.run();
  for (auto& thread : threads_) {
    thread.join();
  }
  threads_.clear();
  Event("stopped").With("listen", ToText(settings_.listen)).Info();
  return 0;
}

auto Node::Spawn(Task<void> aTask) -> void
{
  asio::co_spawn(
    asio::make_strand(io_), std::move(aTask), [](std::exception_ptr aError) {
      if (!aError) {
        return;
      }
      try {
        std::rethrow_exception(aError);
      } catch (const std::exception& error) {
        Event("task_failed").With("problem", error.what()).Warn();
      }
    });
}

auto Node::Sleep(Millis aTime) -> Task<void>
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(kAwait);
}

auto Node::Post(std::function<void()> aFunction) -> void
{
  asio::post(io_, std::move(aFunction));
}

auto Node::IsListedLeaving() const -> bool
{
  return board_.members.IsSelfListedLeaving();
}

auto Node::StopOnSignal() -> Task<void>
{
  asio::signal_set signals(co_await asio::this_coro::executor, SIGTERM, SIGINT);
  co_await signals.async_wait(kAwait);
  stopping_ = true;
  Event("stopping").With("listen", ToText(settings_.listen)).Info();
  board_.members.SetLeaving();
  Spawn([](Node& aNode) -> Task<void> {
    co_await aNode.Sleep(aNode.settings_.stopTimeout);
    Event("stop_timeout").Warn();
    aNode.io_.stop();
  }(*this));
  co_await nodeRole_->Drain();
  io_.stop();
}

auto Node::ReceiveLoop(std::size_t aIndex) -> Task<void>
{
  auto& socket = *sockets_[aIndex];
  std::vector<std::array<char, kMaxDatagramBytes>> buffers(kReceiveBatch);
  std::array<iovec, kReceiveBatch> vectors{};
  std::array<mmsghdr, kReceiveBatch> headers{};
  for (std::size_t i = 0; i < kReceiveBatch; ++i) {
    vectors[i] = { buffers[i].data(), buffers[i].size() };
    headers[i].msg_hdr.msg_iov = &vectors[i];
    headers[i].msg_hdr.msg_iovlen = 1;
  }
  for (;;) {
    const auto count = ::recvmmsg(socket.native_handle(),
                                  headers.data(),
                                  kReceiveBatch,
                                  MSG_DONTWAIT,
                                  nullptr);
    if (count <= 0) {
      const auto [error] =
        co_await socket.async_wait(udp::socket::wait_read, kAwait);
      if (error == asio::error::operation_aborted) {
        co_return;
      }
      continue;
    }
    CheckPause();
    for (int i = 0; i < count; ++i) {
      OnDatagram({ buffers[static_cast<std::size_t>(i)].data(),
                   headers[static_cast<std::size_t>(i)].msg_len });
    }
  }
}

auto Node::OnDatagram(std::string_view aBytes) -> void
{
  if (LooksLikeFrame(aBytes)) {
    nodeRole_->OnFrame(aBytes);
    return;
  }
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(received, DecodeMessage(aBytes));
      OnReceivedMessage(received);
      return {};
    },
    [&](WireError) { CountMalformed(aBytes); },
    [&] { CountMalformed(aBytes); });
}

auto Node::CountMalformed(std::string_view aBytes) -> void
{
  malformedMessages_.Increment();
  const auto now = clock_.Now().time_since_epoch().count();
  auto logged = lastMalformedLog_.load();
  const auto period =
    std::chrono::duration_cast<TimePoint::duration>(kMalformedLogPeriod)
      .count();
  if (now - logged > period &&
      lastMalformedLog_.compare_exchange_strong(logged, now)) {
    Event("garbage_dropped").With("bytes", aBytes.size()).Warn();
  }
}

auto Node::OnReceivedMessage(const ReceivedMessage& aReceived) -> void
{
  const auto& sender = aReceived.envelope.sender;
  if (!transport_->MayReach(sender)) {
    return;
  }
  OnPeerVersion(aReceived.envelope);
  if (std::holds_alternative<PacketForward>(aReceived.message)) {
    nodeRole_->OnMessage(aReceived);
    return;
  }
  const CpuTimer timer(controlCpuNanos_);
  board_.members.OnMessageFrom(
    sender, aReceived.envelope.role, aReceived.envelope.incarnation);
  if (const auto* probe = std::get_if<Probe>(&aReceived.message)) {
    const auto actions = board_.members.OnProbe(sender, *probe);
    if (actions.probes.empty()) {
      Send(sender,
           ProbeAck{ probe->sequence, Self(), board_.members.TakeFacts(6) });
    }
    SendProbes(actions);
    return;
  }
  if (const auto* ack = std::get_if<ProbeAck>(&aReceived.message)) {
    const auto requester = board_.members.OnAck(*ack);
    if (requester.IsValid()) {
      Send(requester, ProbeAck{ 0, ack->target, {} });
    }
    return;
  }
  if (const auto* advert = std::get_if<DocumentAdvert>(&aReceived.message)) {
    OnAdvert(aReceived, *advert);
    return;
  }
  nodeRole_->OnMessage(aReceived);
}

auto Node::SelfEnvelope() const -> Envelope
{
  const auto document = board_.documents.Current();
  return { settings_.listen,
           role_,
           board_.members.SelfIncarnation(),
           document->version,
           document->digest };
}

auto Node::Send(const Endpoint& aTo, const Message& aMessage) -> bool
{
  const auto bytes = EncodeMessage(SelfEnvelope(), aMessage);
  if (!board_.budget.TrySpend(ClassOf(aMessage), bytes.size(), clock_.Now())) {
    return false;
  }
  transport_->Send(aTo, bytes);
  return true;
}

auto Node::SendFrame(const Frame& aFrame) -> void
{
  transport_->Send(settings_.gateway, EncodeFrame(aFrame));
}

auto Node::Call(Endpoint aTo, Message aMessage, Millis aTimeout)
  -> Task<CallOutcome>
{
  if (!transport_->MayReach(aTo)) {
    co_await Sleep(aTimeout);
    co_return CallOutcome{};
  }
  auto bytes = EncodeMessage(SelfEnvelope(), aMessage);
  if (!board_.budget.TrySpend(ClassOf(aMessage), bytes.size(), clock_.Now())) {
    co_return CallOutcome{};
  }
  auto reply = co_await CallBulk(aTo, std::move(bytes), aTimeout);
  CallOutcome outcome;
  outcome.status = reply.status;
  if (reply.status != CallStatus::Replied) {
    co_return outcome;
  }
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(received, DecodeMessage(reply.bytes));
      outcome.message = std::move(received.message);
      OnPeerVersion(received.envelope);
      board_.members.OnMessageFrom(
        aTo, received.envelope.role, received.envelope.incarnation);
      return {};
    },
    [&] {
      CountMalformed(reply.bytes);
      outcome.status = CallStatus::Lost;
    });
  co_return outcome;
}

auto Node::AcceptLoop() -> Task<void>
{
  for (;;) {
    auto strand = asio::make_strand(io_);
    auto [error, socket] = co_await acceptor_->async_accept(strand, kAwait);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      co_await Sleep(Millis{ 10 });
      continue;
    }
    asio::co_spawn(strand,
                   ServeConnection(boost::beast::tcp_stream(std::move(socket))),
                   asio::detached);
  }
}

auto Node::ServeConnection(boost::beast::tcp_stream aStream) -> Task<void>
{
  aStream.expires_after(kServeTimeout);
  const auto bytes = co_await ReadBulk(aStream);
  if (!bytes) {
    co_return;
  }
  CheckPause();
  std::optional<ReceivedMessage> received;
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(decoded, DecodeMessage(*bytes));
      received = std::move(decoded);
      return {};
    },
    [&] { CountMalformed(*bytes); });
  if (!received || !transport_->MayReach(received->envelope.sender)) {
    co_return;
  }
  if (received->envelope.role != Role::Unknown) {
    OnPeerVersion(received->envelope);
    board_.members.OnMessageFrom(received->envelope.sender,
                                 received->envelope.role,
                                 received->envelope.incarnation);
  }
  auto reply = co_await OnCall(std::move(*received));
  const auto encoded = EncodeMessage(SelfEnvelope(), reply);
  board_.budget.TrySpend(ClassOf(reply), encoded.size(), clock_.Now());
  co_await WriteBulk(aStream, encoded);
}

auto Node::OnCall(ReceivedMessage aReceived) -> Task<Message>
{
  if (const auto* pull = std::get_if<DocumentPull>(&aReceived.message)) {
    co_return board_.documents.ReplySince(pull->knownVersion);
  }
  if (const auto* query = std::get_if<ExplainQuery>(&aReceived.message)) {
    co_return TextReply{ boost::json::serialize(nodeRole_->Explain(*query)) };
  }
  if (std::holds_alternative<StatusQuery>(aReceived.message)) {
    auto status = nodeRole_->Status();
    status["address"] = ToText(Self());
    status["failure_domain"] = settings_.failureDomain;
    status["version"] = board_.documents.Version();
    status["platform_era"] = DocumentEraOf(board_.documents.Version());
    status["refused_version"] = board_.documents.RefusedVersion();
    status["reader"] = IsReader();
    status["current"] = IsCurrent();
    status["control_cpu_micros"] = controlCpuNanos_.load() / 1000;
    status["platform_calls"] = platformCalls_.load();
    status["platform_confirmed_millis"] = confirmedMillis_.load();
    boost::json::array errors;
    for (const auto& error : board_.documents.RefusedErrors()) {
      errors.emplace_back(ToText(error));
    }
    status["refused_errors"] = std::move(errors);
    boost::json::object control;
    for (std::size_t i = 0; i < kControlClasses; ++i) {
      const auto kind = static_cast<ControlClass>(i);
      const auto use = board_.budget.UsageOf(kind);
      control[ToText(kind)] = { { "messages", use.messages },
                                { "bytes", use.bytes },
                                { "refused", use.refused } };
    }
    status["control"] = std::move(control);
    boost::json::array members;
    for (const auto& view : board_.members.Views()) {
      members.push_back(
        { { "member", ToText(view.member) },
          { "role", view.role == Role::Balancer ? "balancer" : "agent" },
          { "state", ToText(view.state) },
          { "failure_domain", view.failureDomain } });
    }
    status["members"] = std::move(members);
    co_return TextReply{ boost::json::serialize(status) };
  }
  co_return co_await nodeRole_->OnCall(std::move(aReceived));
}

auto Node::TickLoop() -> Task<void>
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (;;) {
    timer.expires_after(kTickPeriod);
    co_await timer.async_wait(kAwait);
    CheckPause();
    // Membership runs every 50 ms, the transport refreshes every 100 ms, and
    // one peer a second gets an advert.
    if (++ticks_ % 5 == 0) {
      const CpuTimer control(controlCpuNanos_);
      TickMembers();
    }
    if (ticks_ % 10 == 0) {
      transport_->Refresh();
    }
    if (ticks_ % 100 == 0) {
      for (const auto& peer : RandomPeers(1)) {
        Send(peer, MakeAdvert());
      }
    }
    nodeRole_->OnTick();
  }
}

} // namespace damaskwalk
