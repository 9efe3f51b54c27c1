#include "runtime/transport.h"

#include <boost/asio/buffer.hpp>

namespace damaskwalk {

namespace {

class TransportUdp final : public Transport
{
public:
  explicit TransportUdp(boost::asio::ip::udp::socket& aSocket)
    : socket_(aSocket)
  {
  }

  auto Send(const Endpoint& aTo, std::string_view aBytes) -> void override
  {
    boost::system::error_code ignored;
    socket_.send_to(boost::asio::buffer(aBytes.data(), aBytes.size()),
                    ToAsioUdp(aTo),
                    0,
                    ignored);
  }

  auto MayReach(const Endpoint&) const -> bool override { return true; }

private:
  boost::asio::ip::udp::socket& socket_;
};

} // namespace

auto ToAsioUdp(const Endpoint& aEndpoint) -> boost::asio::ip::udp::endpoint
{
  return { boost::asio::ip::address_v4(aEndpoint.ip), aEndpoint.port };
}

auto FromAsioUdp(const boost::asio::ip::udp::endpoint& aEndpoint) -> Endpoint
{
  return { aEndpoint.address().to_v4().to_uint(), aEndpoint.port() };
}

auto MakeTransportUdp(boost::asio::ip::udp::socket& aSocket)
  -> std::unique_ptr<Transport>
{
  return std::make_unique<TransportUdp>(aSocket);
}

} // namespace damaskwalk
