#pragma once

// HTTP server for short GET requests: readiness and metrics.

#include "core/types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <string>

namespace damaskwalk {

struct HttpResponse
{
  unsigned status = 200;
  std::string contentType = "text/plain";
  std::string body;
};

// Single threaded. Must not be destroyed while its io_context runs.
class HttpEndpoint
{
public:
  using Handler = std::function<HttpResponse()>;

  // @throws boost::system::system_error if the address is in use.
  HttpEndpoint(boost::asio::io_context& aIo, const Endpoint& aAddress);

  // @param aPath the path without its query. Other paths get status 404.
  auto Serve(const std::string& aPath, Handler aHandler) -> void;
  auto Start() -> void;

private:
  auto AcceptConnections() -> boost::asio::awaitable<void>;
  auto ServeConnection(boost::asio::ip::tcp::socket aSocket)
    -> boost::asio::awaitable<void>;
  auto Respond(const std::string& aPath) const -> HttpResponse;

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::map<std::string, Handler> handlers_;
};

} // namespace damaskwalk
