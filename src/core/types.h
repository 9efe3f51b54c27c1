#pragma once

#include <xxhash.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace damaskwalk {

// IPv4 address and port, host byte order. Port 0 is the invalid value.
struct Endpoint
{
  std::uint32_t ip = 0;
  std::uint16_t port = 0;

  auto IsValid() const -> bool { return port != 0; }
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on <=>.
  auto operator<=>(const Endpoint&) const = default;
};

// Identifies a flow: the caller's endpoint and the service address it calls.
struct FlowKey
{
  Endpoint caller;
  Endpoint address;

  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on <=>.
  auto operator<=>(const FlowKey&) const = default;
};

// Hash of a service's name; 0 is the invalid value.
struct ServiceId
{
  std::uint64_t value = 0;

  auto IsValid() const -> bool { return value != 0; }
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on <=>.
  auto operator<=>(const ServiceId&) const = default;
};

// Hash of a failure domain's name; 0 is the invalid value.
struct DomainId
{
  std::uint64_t value = 0;

  auto IsValid() const -> bool { return value != 0; }
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on <=>.
  auto operator<=>(const DomainId&) const = default;
};

// Identifies one attempt of one request, unique over the fleet's lifetime.
struct AttemptId
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto IsValid() const -> bool { return (high | low) != 0; }
  // NOLINTNEXTLINE(modernize-use-nullptr): false positive on <=>.
  auto operator<=>(const AttemptId&) const = default;
};

// Increases at each start of a process, and each time it refutes a report that
// it failed.
using Incarnation = std::uint64_t;
using DocumentVersion = std::uint64_t;

inline auto Mix(std::uint64_t aLeft, std::uint64_t aRight) -> std::uint64_t
{
  const std::uint64_t words[2] = { aLeft, aRight };
  return XXH3_64bits(words, sizeof words);
}

inline auto HashText(std::string_view aText) -> std::uint64_t
{
  return XXH3_64bits(aText.data(), aText.size());
}

inline auto HashOf(const Endpoint& aEndpoint) -> std::uint64_t
{
  return (std::uint64_t{ aEndpoint.ip } << 16) | aEndpoint.port;
}

inline auto HashOf(const FlowKey& aFlow) -> std::uint64_t
{
  return Mix(HashOf(aFlow.caller), HashOf(aFlow.address));
}

inline auto ServiceIdOf(std::string_view aName) -> ServiceId
{
  return ServiceId{ HashText(aName) | 1 };
}

inline auto DomainIdOf(std::string_view aName) -> DomainId
{
  return DomainId{ HashText(aName) | 1 };
}

// @param aText such as "10.0.0.1:80".
// @return nothing when it is not an IPv4 address and a port other than 0.
auto ParseEndpoint(std::string_view aText) -> std::optional<Endpoint>;

auto ToText(const Endpoint& aEndpoint) -> std::string;
auto ToText(const FlowKey& aFlow) -> std::string;
// @param aText "caller>address", as ToText writes it.
// @return nothing when either part is not an endpoint.
auto ParseFlowKey(std::string_view aText) -> std::optional<FlowKey>;
auto ToText(const AttemptId& aAttempt) -> std::string;

struct KeyHash
{
  auto operator()(const Endpoint& aKey) const -> std::size_t
  {
    return Mix(HashOf(aKey), 1);
  }
  auto operator()(const FlowKey& aKey) const -> std::size_t
  {
    return HashOf(aKey);
  }
  auto operator()(const ServiceId& aKey) const -> std::size_t
  {
    return aKey.value;
  }
  auto operator()(const DomainId& aKey) const -> std::size_t
  {
    return aKey.value;
  }
  auto operator()(const AttemptId& aKey) const -> std::size_t
  {
    return Mix(aKey.high, aKey.low);
  }
};

} // namespace damaskwalk
