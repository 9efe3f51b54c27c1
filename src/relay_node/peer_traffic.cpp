#include "relay_node/peer_traffic.h"

#include "core/event.h"

namespace damaskwalk {

auto ToText(TrafficKind aKind) -> const char*
{
  static const std::array<const char*, kTrafficKinds> kNames = {
    "heartbeat", "location", "registration", "report",
    "query",     "answer",   "state",        "packet"
  };
  return kNames.at(static_cast<std::size_t>(aKind));
}

auto TrafficKindOf(const PeerMessage& aMessage) -> TrafficKind
{
  // The first kinds are in the order of the variant.
  return static_cast<TrafficKind>(aMessage.body.index());
}

auto PeerTraffic::SetFar(std::unordered_set<std::uint32_t> aIps) -> void
{
  far_ = std::move(aIps);
}

auto PeerTraffic::Add(TrafficKind aKind, std::uint32_t aTo, std::size_t aBytes)
  -> void
{
  auto& sent = sent_.at(static_cast<std::size_t>(aKind));
  ++sent.messages;
  (far_.contains(aTo) ? sent.far : sent.near) += aBytes;
}

auto PeerTraffic::Sent(TrafficKind aKind) const -> const Amount&
{
  return sent_.at(static_cast<std::size_t>(aKind));
}

auto PeerTraffic::Summary() const -> std::string
{
  Event event("peer_traffic");
  for (std::size_t i = 0; i < kTrafficKinds; ++i) {
    const std::string name = ToText(static_cast<TrafficKind>(i));
    event.With((name + "_messages").c_str(), sent_.at(i).messages);
    event.With((name + "_near").c_str(), sent_.at(i).near);
    event.With((name + "_far").c_str(), sent_.at(i).far);
  }
  return event.Text();
}

} // namespace damaskwalk
