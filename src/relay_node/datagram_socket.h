#pragma once

// UDP socket that receives and sends several datagrams per system call.

#include "core/types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace damaskwalk {

// Single threaded. Never blocks: a datagram that cannot be sent at once is
// dropped and counted.
class DatagramSocket
{
public:
  using Handler =
    std::function<void(std::span<char> aBytes, const Endpoint& aFrom)>;

  // Binds to the address.
  // @throws boost::system::system_error if the address is in use.
  DatagramSocket(boost::asio::io_context& aIo, const Endpoint& aAddress);
  // Binds to any port of the address and connects to the peer, so that the
  // kernel reports if the peer's port is closed.
  DatagramSocket(boost::asio::io_context& aIo,
                 std::uint32_t aOwnIp,
                 const Endpoint& aPeer);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  auto operator=(const DatagramSocket&) -> DatagramSocket& = delete;

  // Starts receiving. Datagrams longer than 2048 bytes are ignored.
  // @param aHandler called for each datagram.
  // @param aAfterBatch called after each batch of datagrams.
  auto Start(Handler aHandler, std::function<void()> aAfterBatch) -> void;
  // Copies the bytes; Flush sends them.
  auto Queue(std::string_view aBytes, const Endpoint& aTo) -> void;
  auto Flush() -> void;
  // True if the kernel reported since the last call that the peer's port is
  // closed. Connected sockets only.
  auto TakeRefused() -> bool;
  // Datagrams that could not be sent.
  auto Dropped() const -> std::uint64_t { return dropped_; }

private:
  struct Buffers;

  auto WaitReadable() -> void;
  auto ReceiveBatches() -> void;

  boost::asio::ip::udp::socket socket_;
  bool connected_ = false;
  bool refused_ = false;
  std::unique_ptr<Buffers> buffers_;
  Handler handler_;
  std::function<void()> afterBatch_;
  std::vector<char> queuedBytes_;
  struct QueuedDatagram
  {
    std::size_t offset = 0;
    std::size_t size = 0;
    Endpoint to;
  };
  std::vector<QueuedDatagram> queue_;
  std::uint64_t dropped_ = 0;
};

} // namespace damaskwalk
