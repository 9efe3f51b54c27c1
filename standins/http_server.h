#pragma once

// Minimal coroutine-based HTTP/1.1 server, shared by the stand-ins.

#include "core/types.h"
#include "runtime/bulk.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <functional>
#include <map>
#include <string>

namespace damaskwalk::standin {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using BeastRequest = http::request<http::string_body>;
using BeastResponse = http::response<http::string_body>;
using Stream = beast::tcp_stream;
constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// Handles one request. Yields false when the server is to send the response,
// true when the handler wrote to the stream itself; the connection ends then.
using RequestHandler = std::function<
  asio::awaitable<bool>(Stream&, const BeastRequest&, BeastResponse&)>;

inline auto ServeConnection(Stream aStream, RequestHandler aHandler)
  -> asio::awaitable<void>
{
  beast::flat_buffer buffer;
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(std::uint64_t{ 16 } << 20);
    aStream.expires_after(std::chrono::seconds(30));
    const auto [readError, read] =
      co_await http::async_read(aStream, buffer, parser, kAwait);
    if (readError) {
      co_return;
    }
    const auto request = parser.release();
    BeastResponse response(http::status::ok, 11);
    response.keep_alive(request.keep_alive());
    if (co_await aHandler(aStream, request, response)) {
      co_return;
    }
    response.prepare_payload();
    const auto [writeError, written] =
      co_await http::async_write(aStream, response, kAwait);
    if (writeError || !request.keep_alive()) {
      co_return;
    }
  }
}

inline auto AcceptConnections(asio::ip::tcp::acceptor& aAcceptor,
                              RequestHandler aHandler) -> asio::awaitable<void>
{
  for (;;) {
    auto [error, socket] = co_await aAcceptor.async_accept(kAwait);
    if (error) {
      co_return;
    }
    asio::co_spawn(aAcceptor.get_executor(),
                   ServeConnection(Stream(std::move(socket)), aHandler),
                   asio::detached);
  }
}

// @return the value of a query parameter of a request target; aDefault when it
// is missing.
inline auto PercentDecoded(std::string_view aText) -> std::string
{
  std::string text;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    unsigned byte = 0;
    const auto* digits = aText.data() + i + 1;
    if (aText[i] == '%' && i + 2 < aText.size() &&
        std::from_chars(digits, digits + 2, byte, 16).ptr == digits + 2) {
      text.push_back(static_cast<char>(byte));
      i += 2;
    } else {
      text.push_back(aText[i]);
    }
  }
  return text;
}

inline auto QueryParameter(std::string_view aTarget,
                           const std::string& aName,
                           std::string_view aDefault) -> std::string
{
  const auto query = aTarget.find('?');
  if (query == std::string_view::npos) {
    return std::string(aDefault);
  }
  auto rest = "&" + std::string(aTarget.substr(query + 1));
  const auto at = rest.find("&" + aName + "=");
  if (at == std::string::npos) {
    return std::string(aDefault);
  }
  const auto start = at + aName.size() + 2;
  return PercentDecoded(rest.substr(start, rest.find('&', start) - start));
}

// Serves on one thread until SIGTERM or SIGINT.
class Server
{
public:
  Server(const Endpoint& aListen, RequestHandler aHandler)
    : acceptor_(io_, ToAsioTcp(aListen))
    , signals_(io_, SIGTERM, SIGINT)
  {
    asio::co_spawn(
      io_, AcceptConnections(acceptor_, std::move(aHandler)), asio::detached);
    signals_.async_wait([this](auto, int) { io_.stop(); });
  }

  auto Io() -> asio::io_context& { return io_; }
  auto Run() -> void { io_.run(); }

private:
  asio::io_context io_{ 1 };
  asio::ip::tcp::acceptor acceptor_;
  asio::signal_set signals_;
};

inline auto Sleep(std::chrono::milliseconds aTime) -> asio::awaitable<void>
{
  asio::steady_timer timer(co_await asio::this_coro::executor, aTime);
  co_await timer.async_wait(kAwait);
}

} // namespace damaskwalk::standin
