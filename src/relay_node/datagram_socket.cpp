#include "relay_node/datagram_socket.h"

#include "runtime/transport.h"

#include <array>
#include <cerrno>

#include <netinet/in.h>
#include <sys/socket.h>

namespace damaskwalk {

namespace asio = boost::asio;

namespace {

constexpr std::size_t kBatchSize = 32;
constexpr std::size_t kMaxDatagramBytes = 2048;
// Batches received before other handlers of the io_context run.
constexpr std::size_t kMaxBatchesPerTurn = 8;
// Holds a burst of one flow window from each of a few hundred flows.
constexpr int kReceiveBufferBytes = 1 << 20;

auto ToSockaddr(const Endpoint& aEndpoint) -> sockaddr_in
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aEndpoint.ip);
  address.sin_port = htons(aEndpoint.port);
  return address;
}

} // namespace

struct DatagramSocket::Buffers
{
  std::array<std::array<char, kMaxDatagramBytes>, kBatchSize> bytes;
  std::array<mmsghdr, kBatchSize> headers{};
  std::array<iovec, kBatchSize> iovecs{};
  std::array<sockaddr_in, kBatchSize> from{};

  auto Prepare() -> void
  {
    for (std::size_t i = 0; i < kBatchSize; ++i) {
      iovecs[i] = { bytes[i].data(), kMaxDatagramBytes };
      headers[i] = {};
      headers[i].msg_hdr.msg_iov = &iovecs[i];
      headers[i].msg_hdr.msg_iovlen = 1;
      headers[i].msg_hdr.msg_name = &from[i];
      headers[i].msg_hdr.msg_namelen = sizeof from[i];
    }
  }
};

DatagramSocket::DatagramSocket(asio::io_context& aIo, const Endpoint& aAddress)
  : socket_(aIo, asio::ip::udp::v4())
  , buffers_(std::make_unique<Buffers>())
{
  boost::system::error_code ignored;
  socket_.set_option(
    asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  socket_.bind(ToAsioUdp(aAddress));
  socket_.non_blocking(true);
}

DatagramSocket::DatagramSocket(asio::io_context& aIo,
                               std::uint32_t aOwnIp,
                               const Endpoint& aPeer)
  : DatagramSocket(aIo, Endpoint{ aOwnIp, 0 })
{
  socket_.connect(ToAsioUdp(aPeer));
  connected_ = true;
}

DatagramSocket::~DatagramSocket() = default;

auto DatagramSocket::Start(Handler aHandler, std::function<void()> aAfterBatch)
  -> void
{
  handler_ = std::move(aHandler);
  afterBatch_ = std::move(aAfterBatch);
  WaitReadable();
}

auto DatagramSocket::WaitReadable() -> void
{
  socket_.async_wait(asio::ip::udp::socket::wait_read,
                     [this](const boost::system::error_code& aError) {
                       if (aError == asio::error::operation_aborted) {
                         return;
                       }
                       ReceiveBatches();
                       WaitReadable();
                     });
}

auto DatagramSocket::ReceiveBatches() -> void
{
  for (std::size_t batch = 0; batch < kMaxBatchesPerTurn; ++batch) {
    buffers_->Prepare();
    const auto count = ::recvmmsg(socket_.native_handle(),
                                  buffers_->headers.data(),
                                  kBatchSize,
                                  MSG_DONTWAIT,
                                  nullptr);
    if (count < 0) {
      refused_ |= errno == ECONNREFUSED;
      break;
    }
    for (int i = 0; i < count; ++i) {
      const auto& header = buffers_->headers[std::size_t(i)];
      if ((header.msg_hdr.msg_flags & MSG_TRUNC) != 0) {
        continue;
      }
      const auto& from = buffers_->from[std::size_t(i)];
      handler_({ buffers_->bytes[std::size_t(i)].data(), header.msg_len },
               { ntohl(from.sin_addr.s_addr), ntohs(from.sin_port) });
    }
    afterBatch_();
    if (static_cast<std::size_t>(count) < kBatchSize) {
      return;
    }
  }
  afterBatch_();
}

auto DatagramSocket::Queue(std::string_view aBytes, const Endpoint& aTo) -> void
{
  queue_.push_back({ queuedBytes_.size(), aBytes.size(), aTo });
  queuedBytes_.insert(queuedBytes_.end(), aBytes.begin(), aBytes.end());
}

auto DatagramSocket::Flush() -> void
{
  std::array<mmsghdr, kBatchSize> headers;
  std::array<iovec, kBatchSize> iovecs;
  std::array<sockaddr_in, kBatchSize> to;
  std::size_t next = 0;
  while (next < queue_.size()) {
    const auto size = std::min(kBatchSize, queue_.size() - next);
    for (std::size_t i = 0; i < size; ++i) {
      const auto& out = queue_[next + i];
      to[i] = ToSockaddr(out.to);
      iovecs[i] = { queuedBytes_.data() + out.offset, out.size };
      headers[i] = {};
      headers[i].msg_hdr.msg_iov = &iovecs[i];
      headers[i].msg_hdr.msg_iovlen = 1;
      if (!connected_) {
        headers[i].msg_hdr.msg_name = &to[i];
        headers[i].msg_hdr.msg_namelen = sizeof to[i];
      }
    }
    const auto sent = ::sendmmsg(socket_.native_handle(),
                                 headers.data(),
                                 static_cast<unsigned>(size),
                                 MSG_DONTWAIT);
    if (sent > 0) {
      next += static_cast<std::size_t>(sent);
      continue;
    }
    if (errno == ECONNREFUSED && !refused_) {
      // The error belongs to an earlier datagram: this one was not sent yet.
      refused_ = true;
      continue;
    }
    // The next datagram cannot be sent: drop it and continue with the rest.
    ++dropped_;
    ++next;
  }
  queue_.clear();
  queuedBytes_.clear();
}

auto DatagramSocket::TakeRefused() -> bool
{
  return std::exchange(refused_, false);
}

} // namespace damaskwalk
