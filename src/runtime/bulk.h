#pragma once

// One request and one reply over TCP: a 32-bit big-endian length, then the
// message.

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
  NotSent, // the other side cannot have seen the request
  Refused, // as NotSent, and its port is closed: no process is there
  Lost,    // sent, and no reply came
};

struct CallReply
{
  CallStatus status = CallStatus::NotSent;
  std::string bytes;
};

auto ToAsioTcp(const Endpoint& aEndpoint) -> boost::asio::ip::tcp::endpoint;

// Connects, sends, and waits for the reply.
// @param aTimeout bounds connecting and the whole exchange, each.
auto CallBulk(Endpoint aTo, std::string aRequest, Millis aTimeout)
  -> boost::asio::awaitable<CallReply>;

// Reads one message; nothing on error, or when it is too long.
auto ReadBulk(boost::beast::tcp_stream& aStream)
  -> boost::asio::awaitable<std::optional<std::string>>;

auto WriteBulk(boost::beast::tcp_stream& aStream, const std::string& aBytes)
  -> boost::asio::awaitable<bool>;

} // namespace damaskwalk
