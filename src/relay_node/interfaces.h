#pragma once

// What a platform adapter supplies to a relay process.

#include "relay/content_reader.h"
#include "relay/fleet_state.h"
#include "relay/packet.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <span>
#include <string>
#include <variant>

namespace damaskwalk {

enum class PacketOrigin : std::uint8_t
{
  Caller,
  Backend,
};

// Bytes of a packet on the wire.
class PacketCodec
{
public:
  virtual ~PacketCodec() = default;
  // Nothing when the bytes are no packet.
  virtual auto Decode(std::span<char> aBytes, PacketOrigin aOrigin) const
    -> std::optional<Packet> = 0;
  virtual auto WriteTag(std::span<char> aBytes, const RelayTag& aTag) const
    -> void = 0;
  // Unmarks a packet that the backend server handed back.
  virtual auto ClearReturned(std::span<char> aBytes) const -> void = 0;
  virtual auto MakeReset(const FlowKey& aFlow, std::uint32_t aSequence) const
    -> std::string = 0;
};

enum class StateSourceError : std::uint8_t
{
  Unreachable, // no answer in time, or the connection broke
  Refused,     // answered without serving the read
  BadAnswer,   // answered with something unreadable
};

auto ToText(StateSourceError aError) -> const char*;

// A read's outcome. Boost.LEAF keeps error objects in the thread's active
// handler, which does not survive the suspension of a coroutine.
template<class T>
using ReadResult = std::variant<T, StateSourceError>;

// Reads the platform's published state.
class StateSource
{
public:
  virtual ~StateSource() = default;
  virtual auto ReadTargets()
    -> boost::asio::awaitable<ReadResult<TargetSet>> = 0;
  // @return nothing when the routes did not change since the last read.
  virtual auto ReadRoutes()
    -> boost::asio::awaitable<ReadResult<std::optional<RouteTable>>> = 0;
  // Calls made so far, served or not.
  virtual auto Calls() const -> std::uint64_t = 0;
};

} // namespace damaskwalk
