#pragma once

// Interfaces that a platform adapter implements for a relay process.

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

// Encodes and decodes packets in the platform's wire format.
class PacketCodec
{
public:
  virtual ~PacketCodec() = default;
  // Nothing if the bytes are not a valid packet.
  virtual auto Decode(std::span<char> aBytes, PacketOrigin aOrigin) const
    -> std::optional<Packet> = 0;
  // Overwrites the tag of a valid packet.
  virtual auto WriteTag(std::span<char> aBytes, const RelayTag& aTag) const
    -> void = 0;
  // Removes the mark of a packet that the backend server returned.
  virtual auto ClearReturned(std::span<char> aBytes) const -> void = 0;
  // The bytes of a packet that resets the flow at its caller.
  virtual auto MakeReset(const FlowKey& aFlow, std::uint32_t aSequence) const
    -> std::string = 0;
};

enum class StateSourceError : std::uint8_t
{
  Unreachable, // no connection
  NoAnswer,    // no answer within the timeout, or the connection was lost
  Refused,     // answered with an error status
  BadAnswer,   // the answer is incomplete, too large or cannot be decoded
};

auto ToText(StateSourceError aError) -> const char*;

// Result of a read. Not a leaf::result: Boost.LEAF keeps error objects in the
// thread's active handler, which does not survive the suspension of a
// coroutine.
template<class T>
using ReadResult = std::variant<T, StateSourceError>;

// What became of a stored value with a part that could not be decoded.
enum class DecodeEffect : std::uint8_t
{
  DefaultUsed,  // the field has its default
  EntrySkipped, // the entry is not used; the others are
  AllRefused,   // the whole value is not used; the former one stays in force
};

// A part of a stored value that this release cannot decode.
struct DecodeFinding
{
  std::string entry; // name of the route or target; empty: the whole value
  std::string field; // empty: the entry as a whole
  DecodeEffect effect = DecodeEffect::EntrySkipped;

  auto operator==(const DecodeFinding&) const -> bool = default;
};

auto ToText(DecodeEffect aEffect) -> const char*;
// One key=value line.
auto ToText(const DecodeFinding& aFinding) -> std::string;

template<class T>
struct Decoded
{
  T value;
  std::vector<DecodeFinding> findings;
};

// What operators wrote to the store.
struct OperatorState
{
  // Without versions if they did not change since the last read, or if the new
  // configuration was refused as a whole; then a finding says so.
  RouteSuccession routes;
  EvacuationSet evacuations;
};

// Reads targets and what operators wrote from the platform's store.
class StateSource
{
public:
  virtual ~StateSource() = default;
  virtual auto ReadTargets()
    -> boost::asio::awaitable<ReadResult<Decoded<TargetSet>>> = 0;
  virtual auto ReadOperatorState()
    -> boost::asio::awaitable<ReadResult<Decoded<OperatorState>>> = 0;
  // Calls made so far, including failed ones.
  virtual auto Calls() const -> std::uint64_t = 0;
};

} // namespace damaskwalk
