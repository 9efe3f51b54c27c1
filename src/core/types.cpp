#include "core/types.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdio>

namespace damaskwalk {

auto ParseEndpoint(std::string_view aText) -> std::optional<Endpoint>
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string host(aText.substr(0, colon));
  const auto portText = aText.substr(colon + 1);
  in_addr address{};
  if (inet_pton(AF_INET, host.c_str(), &address) != 1) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const auto* end = portText.data() + portText.size();
  const auto parsed = std::from_chars(portText.data(), end, port);
  if (parsed.ec != std::errc{} || parsed.ptr != end || port == 0) {
    return std::nullopt;
  }
  return Endpoint{ ntohl(address.s_addr), port };
}

auto ToText(const Endpoint& aEndpoint) -> std::string
{
  char text[32];
  std::snprintf(text,
                sizeof text,
                "%u.%u.%u.%u:%u",
                aEndpoint.ip >> 24,
                (aEndpoint.ip >> 16) & 255,
                (aEndpoint.ip >> 8) & 255,
                aEndpoint.ip & 255,
                aEndpoint.port);
  return text;
}

auto ToText(const FlowKey& aFlow) -> std::string
{
  return ToText(aFlow.caller) + ">" + ToText(aFlow.address);
}

auto ParseFlowKey(std::string_view aText) -> std::optional<FlowKey>
{
  const auto arrow = aText.find('>');
  if (arrow == std::string_view::npos) {
    return std::nullopt;
  }
  const auto caller = ParseEndpoint(aText.substr(0, arrow));
  const auto address = ParseEndpoint(aText.substr(arrow + 1));
  if (!caller || !address) {
    return std::nullopt;
  }
  return FlowKey{ *caller, *address };
}

auto ToText(const AttemptId& aAttempt) -> std::string
{
  char text[40];
  std::snprintf(text,
                sizeof text,
                "%016llx%016llx",
                static_cast<unsigned long long>(aAttempt.high),
                static_cast<unsigned long long>(aAttempt.low));
  return text;
}

} // namespace damaskwalk
