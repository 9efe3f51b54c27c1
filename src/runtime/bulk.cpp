#include "runtime/bulk.h"

#include "core/config.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

namespace damaskwalk {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

} // namespace

auto ToAsioTcp(const Endpoint& aEndpoint) -> asio::ip::tcp::endpoint
{
  return { asio::ip::address_v4(aEndpoint.ip), aEndpoint.port };
}

auto ReadBulk(beast::tcp_stream& aStream)
  -> asio::awaitable<std::optional<std::string>>
{
  std::uint32_t size = 0;
  const auto [headError, headBytes] = co_await asio::async_read(
    aStream, asio::buffer(&size, sizeof size), kAwait);
  boost::endian::big_to_native_inplace(size);
  if (headError || size > kMaxBulkBytes) {
    co_return std::nullopt;
  }
  std::string bytes(size, '\0');
  const auto [error, count] =
    co_await asio::async_read(aStream, asio::buffer(bytes), kAwait);
  if (error) {
    co_return std::nullopt;
  }
  co_return bytes;
}

auto WriteBulk(beast::tcp_stream& aStream, const std::string& aBytes)
  -> asio::awaitable<bool>
{
  std::string framed(4, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(framed.data()),
                               static_cast<std::uint32_t>(aBytes.size()));
  framed += aBytes;
  const auto [error, count] =
    co_await asio::async_write(aStream, asio::buffer(framed), kAwait);
  co_return !error;
}

auto CallBulk(Endpoint aTo, std::string aRequest, Millis aTimeout)
  -> asio::awaitable<CallReply>
{
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(aTimeout);
  const auto [connectError] =
    co_await stream.async_connect(ToAsioTcp(aTo), kAwait);
  if (connectError) {
    const bool refused = connectError == asio::error::connection_refused;
    co_return CallReply{ refused ? CallStatus::Refused : CallStatus::NotSent,
                         {} };
  }
  stream.expires_after(aTimeout);
  if (!co_await WriteBulk(stream, aRequest)) {
    co_return CallReply{ CallStatus::Lost, {} };
  }
  auto reply = co_await ReadBulk(stream);
  if (!reply) {
    co_return CallReply{ CallStatus::Lost, {} };
  }
  co_return CallReply{ CallStatus::Replied, std::move(*reply) };
}

} // namespace damaskwalk
