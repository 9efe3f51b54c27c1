#pragma once

// Messages over TCP, for those that need a reply or may exceed a datagram. A
// connection carries one request and one reply; each is a 32-bit big-endian
// length and the encoded message.

#include "core/clock.h"
#include "wire/messages.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <optional>
#include <string>

namespace damaskwalk {

enum class CallStatus : std::uint8_t
{
  Replied,
  NotSent, // the other side cannot have received the request
  Refused, // as NotSent, and its port is closed: no process runs there
  Lost,    // the request may have been received, but no reply arrived
};

struct CallReply
{
  CallStatus status = CallStatus::NotSent;
  std::string bytes;
};

auto ToAsioTcp(const Endpoint& aEndpoint) -> boost::asio::ip::tcp::endpoint;

// Connects, sends, and waits for the reply.
// @param aTimeout longest wait for the connection, and again for the exchange.
auto CallBulk(Endpoint aTo, std::string aRequest, Millis aTimeout)
  -> boost::asio::awaitable<CallReply>;

// Reads one message; nothing on an error or when it exceeds kMaxBulkBytes.
auto ReadBulk(boost::beast::tcp_stream& aStream)
  -> boost::asio::awaitable<std::optional<std::string>>;

// Writes one message; false on an error.
auto WriteBulk(boost::beast::tcp_stream& aStream, const std::string& aBytes)
  -> boost::asio::awaitable<bool>;

} // namespace damaskwalk
