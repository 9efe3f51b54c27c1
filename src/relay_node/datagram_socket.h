#pragma once

// A UDP socket that receives and sends in batches.

#include "core/types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace damaskwalk {

// Single threaded. Errors of sending are counted, never waited for.
class DatagramSocket
{
public:
  using Handler =
    std::function<void(std::span<char> aBytes, const Endpoint& aFrom)>;

  // Binds. @throws boost::system::system_error when the address is taken.
  DatagramSocket(boost::asio::io_context& aIo, const Endpoint& aAddress);
  // Binds to any port of the address and connects, so that a closed port of
  // the peer is noticed.
  DatagramSocket(boost::asio::io_context& aIo,
                 std::uint32_t aOwnIp,
                 const Endpoint& aPeer);
  ~DatagramSocket();
  DatagramSocket(const DatagramSocket&) = delete;
  auto operator=(const DatagramSocket&) -> DatagramSocket& = delete;

  // @param aHandler takes each datagram.
  // @param aAfterBatch runs after each batch.
  auto Start(Handler aHandler, std::function<void()> aAfterBatch) -> void;
  // Copies the bytes; they leave with Flush.
  auto Queue(std::string_view aBytes, const Endpoint& aTo) -> void;
  auto Flush() -> void;
  // The peer's port was closed since the last call. Connected sockets only.
  auto TakeRefused() -> bool;
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
