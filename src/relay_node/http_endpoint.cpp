#include "relay_node/http_endpoint.h"

#include "core/clock.h"
#include "runtime/bulk.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace damaskwalk {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// Idle and stalled clients are disconnected after this time.
constexpr Millis kClientTimeout{ 10000 };

} // namespace

HttpEndpoint::HttpEndpoint(asio::io_context& aIo, const Endpoint& aAddress)
  : io_(aIo)
  , acceptor_(aIo, ToAsioTcp(aAddress))
{
}

auto HttpEndpoint::Serve(const std::string& aPath, Handler aHandler) -> void
{
  handlers_[aPath] = std::move(aHandler);
}

auto HttpEndpoint::Start() -> void
{
  asio::co_spawn(io_, AcceptConnections(), asio::detached);
}

auto HttpEndpoint::AcceptConnections() -> asio::awaitable<void>
{
  for (;;) {
    auto [error, socket] = co_await acceptor_.async_accept(kAwait);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (!error) {
      asio::co_spawn(io_, ServeConnection(std::move(socket)), asio::detached);
    }
  }
}

auto HttpEndpoint::ServeConnection(asio::ip::tcp::socket aSocket)
  -> asio::awaitable<void>
{
  beast::tcp_stream stream(std::move(aSocket));
  beast::flat_buffer buffer;
  for (;;) {
    stream.expires_after(kClientTimeout);
    http::request<http::empty_body> request;
    const auto [readError, read] =
      co_await http::async_read(stream, buffer, request, kAwait);
    if (readError) {
      co_return;
    }
    auto reply = Respond(std::string(request.target()));
    http::response<http::string_body> response(http::status(reply.status),
                                               request.version());
    response.set(http::field::content_type, reply.contentType);
    response.body() = std::move(reply.body);
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    const auto [writeError, written] =
      co_await http::async_write(stream, response, kAwait);
    if (writeError || !request.keep_alive()) {
      co_return;
    }
  }
}

auto HttpEndpoint::Respond(const std::string& aPath) const -> HttpResponse
{
  const auto found = handlers_.find(aPath.substr(0, aPath.find('?')));
  return found == handlers_.end() ? HttpResponse{ 404, "text/plain", "" }
                                  : found->second();
}

} // namespace damaskwalk
