#pragma once

// Sends datagrams. One interface, one file per implementation.

#include "core/clock.h"
#include "core/types.h"

#include <boost/asio/ip/udp.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace damaskwalk {

class Transport
{
public:
  virtual ~Transport() = default;
  // Sends or drops; never blocks. Thread safe.
  virtual auto Send(const Endpoint& aTo, std::string_view aBytes) -> void = 0;
  // False when a partition test blocks the endpoint.
  virtual auto MayReach(const Endpoint& aPeer) const -> bool = 0;
  // Reads the list of blocked endpoints again, where there is one.
  virtual auto Refresh() -> void {}
};

auto MakeTransportUdp(boost::asio::ip::udp::socket& aSocket)
  -> std::unique_ptr<Transport>;

// Drops datagrams to the endpoints that a file lists, one per line. For
// partition tests.
auto MakeTransportPartition(std::unique_ptr<Transport> aInner,
                            std::string aFile) -> std::unique_ptr<Transport>;

auto ToAsioUdp(const Endpoint& aEndpoint) -> boost::asio::ip::udp::endpoint;
auto FromAsioUdp(const boost::asio::ip::udp::endpoint& aEndpoint) -> Endpoint;

} // namespace damaskwalk
