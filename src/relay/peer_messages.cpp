#include "relay/peer_messages.h"

#include "relay/limits.h"
#include "wire/codec.h"
#include "wire/packed.h"

#include <istream>
#include <ostream>

namespace damaskwalk {

namespace leaf = boost::leaf;

namespace {

// First byte of every message. Increment it when the layout changes.
constexpr std::uint8_t kLayoutVersion = 1;
constexpr std::size_t kMaxFlowsPerMessage = 256;
constexpr std::size_t kMaxAgentsPerReport = 64;
constexpr std::size_t kMaxBalancersPerReport = 256;
constexpr std::size_t kMaxPacketBytes = 2048;
constexpr std::size_t kMaxPackedBytes = std::size_t{ 4 } * 1024 * 1024;
constexpr std::size_t kMaxRoutes = 65536;
constexpr std::size_t kMaxTargets = 65536;
constexpr std::size_t kMaxServicesPerRoute = 64;

} // namespace

template<class Archive>
auto serialize(Archive& aArchive, Millis& aValue) -> void
{
  std::int64_t count = aValue.count();
  aArchive(count);
  aValue = Millis{ count };
}

template<class Archive>
auto serialize(Archive& aArchive, StateDigest& aValue) -> void
{
  aArchive(aValue.routes, aValue.targets, aValue.targetsHash);
  serialize(aArchive, aValue.age);
}

template<class Archive>
auto serialize(Archive& aArchive, BackendLoad& aValue) -> void
{
  aArchive(aValue.service,
           aValue.acceptsFlows,
           aValue.draining,
           aValue.failing,
           aValue.onTrial,
           aValue.noFlows,
           aValue.slots,
           aValue.inFlight,
           aValue.meanInFlightHundredths,
           aValue.flows,
           aValue.serviceMicros,
           aValue.failurePerMille);
}

template<class Archive>
auto serialize(Archive& aArchive, RelayHeartbeat& aValue) -> void
{
  auto load = Bounded<1>(aValue.load);
  aArchive(aValue.role,
           aValue.incarnation,
           aValue.digest,
           aValue.wantsReply,
           aValue.stopping,
           load);
}

template<class Archive>
auto serialize(Archive& aArchive, FlowLocation& aValue) -> void
{
  aArchive(aValue.flow, aValue.agent);
}

template<class Archive>
auto serialize(Archive& aArchive, FlowRegistration& aValue) -> void
{
  auto flows = Bounded<kMaxFlowsPerMessage>(aValue.flows);
  aArchive(aValue.agent, flows);
}

template<class Archive>
auto serialize(Archive& aArchive, DomainReport& aValue) -> void
{
  auto silent = Bounded<kMaxAgentsPerReport>(aValue.silentAgents);
  auto balancers = Bounded<kMaxBalancersPerReport>(aValue.balancers);
  aArchive(aValue.domain.value, aValue.reporter, silent, balancers);
}

template<class Archive>
auto serialize(Archive& aArchive, FlowQuery& aValue) -> void
{
  auto packet = Bounded<kMaxPacketBytes>(aValue.packet);
  aArchive(aValue.wholeDomain, packet);
}

template<class Archive>
auto serialize(Archive& aArchive, FlowAnswer& aValue) -> void
{
  auto certain = Bounded<kMaxAgentsPerAnswer>(aValue.certain);
  aArchive(aValue.flow, aValue.holder, certain);
}

template<class Archive>
auto serialize(Archive& aArchive, WeightedService& aValue) -> void
{
  aArchive(aValue.service, aValue.weight);
}

template<class Archive>
auto serialize(Archive& aArchive, RelayRoute& aValue) -> void
{
  auto name = Bounded<kMaxNameBytes>(aValue.name);
  auto services = Bounded<kMaxServicesPerRoute>(aValue.services);
  aArchive(name, aValue.address, aValue.kind);
  serialize(aArchive, aValue.timeout);
  serialize(aArchive, aValue.latencyObjective);
  aArchive(aValue.priority, services);
}

template<class Archive>
auto serialize(Archive& aArchive, RouteTable& aValue) -> void
{
  auto routes = Bounded<kMaxRoutes>(aValue.routes);
  aArchive(aValue.version);
  serialize(aArchive, aValue.idleTimeout);
  aArchive(routes);
}

template<class Archive>
auto serialize(Archive& aArchive, RelayTarget& aValue) -> void
{
  auto id = Bounded<kMaxNameBytes>(aValue.id);
  auto domain = Bounded<kMaxNameBytes>(aValue.failureDomain);
  aArchive(id,
           aValue.service,
           aValue.agent,
           domain,
           aValue.slots,
           aValue.state,
           aValue.startedAtMillis);
  serialize(aArchive, aValue.coldRemaining);
}

template<class Archive>
auto serialize(Archive& aArchive, TargetSet& aValue) -> void
{
  auto targets = Bounded<kMaxTargets>(aValue.targets);
  aArchive(aValue.revision, targets);
}

// A text as an entry of a list.
struct NameEntry
{
  std::string name;
};

template<class Archive>
auto serialize(Archive& aArchive, NameEntry& aValue) -> void
{
  auto name = Bounded<kMaxNameBytes>(aValue.name);
  aArchive(name);
}

template<class Archive>
auto serialize(Archive& aArchive, TargetDelta& aValue) -> void
{
  auto changed = Bounded<kMaxTargets>(aValue.changed);
  aArchive(aValue.fromHash, aValue.toHash, aValue.revision, changed);
  std::vector<NameEntry> names;
  for (auto& id : aValue.removed) {
    names.push_back({ std::move(id) });
  }
  auto removed = Bounded<kMaxTargets>(names);
  aArchive(removed);
  aValue.removed.clear();
  for (auto& entry : names) {
    aValue.removed.push_back(std::move(entry.name));
  }
}

template<class Archive>
auto serialize(Archive& aArchive, StateRequest& aValue) -> void
{
  aArchive(aValue.have);
}

template<class Archive>
auto serialize(Archive& aArchive, StateReply& aValue) -> void
{
  auto routes = Bounded<1>(aValue.routes);
  auto targets = Bounded<1>(aValue.targets);
  aArchive(aValue.digest, routes, targets);
}

namespace {

template<class... Parts>
auto Encode(const Parts&... aParts) -> std::string
{
  std::string bytes;
  StringBuffer buffer(bytes);
  std::ostream stream(&buffer);
  OutArchive archive(stream);
  archive(kLayoutVersion);
  (archive(const_cast<Parts&>(aParts)), ...);
  return bytes;
}

template<class Body>
auto Decode(std::string_view aBytes, Body aBody) -> leaf::result<void>
{
  MemoryBuffer buffer(aBytes.data(), aBytes.size());
  std::istream stream(&buffer);
  try {
    InArchive archive(stream);
    std::uint8_t layout = 0;
    archive(layout);
    if (layout != kLayoutVersion) {
      return leaf::new_error(WireError::UnknownVersion);
    }
    if (!aBody(archive)) {
      return leaf::new_error(WireError::UnknownKind);
    }
  } catch (const std::exception&) {
    return leaf::new_error(WireError::Truncated);
  }
  // Bytes after the known fields are fields of a later release.
  return {};
}

// Decodes a message and, if bytes follow, the fields that a later release
// appended to it. Fields that are cut count as absent.
template<class Body, class Appended>
auto DecodeAppended(std::string_view aBytes, Body aBody, Appended aAppended)
  -> leaf::result<void>
{
  bool hasBody = false;
  MemoryBuffer buffer(aBytes.data(), aBytes.size());
  std::istream stream(&buffer);
  try {
    InArchive archive(stream);
    std::uint8_t layout = 0;
    archive(layout);
    if (layout != kLayoutVersion) {
      return leaf::new_error(WireError::UnknownVersion);
    }
    aBody(archive);
    hasBody = true;
    if (buffer.Remaining() > 0) {
      aAppended(archive);
    }
  } catch (const std::exception&) {
    if (!hasBody) {
      return leaf::new_error(WireError::Truncated);
    }
  }
  return {};
}

auto UnpackInto(StateReply& aReply) -> leaf::result<void>
{
  const auto bytes = Unpack(aReply.packed);
  aReply.packed.clear();
  if (!bytes) {
    return leaf::new_error(WireError::Malformed);
  }
  return Decode(*bytes, [&aReply](InArchive& aArchive) {
    auto routes = Bounded<1>(aReply.routes);
    auto targets = Bounded<1>(aReply.targets);
    aArchive(routes, targets);
    return true;
  });
}

// Replaces kinds and states of a later release by the most careful known ones.
auto ReplaceUnknownWords(StateReply& aReply) -> void
{
  for (auto& table : aReply.routes) {
    for (auto& route : table.routes) {
      if (route.kind > RouteKind::Upload) {
        route.kind = RouteKind::AtMostOnce;
      }
    }
  }
  const auto replaceStates = [](std::vector<RelayTarget>& aTargets) {
    for (auto& target : aTargets) {
      if (target.state > TargetState::Draining) {
        target.state = TargetState::Draining;
      }
    }
  };
  for (auto& set : aReply.targets) {
    replaceStates(set.targets);
  }
  for (auto& delta : aReply.deltas) {
    replaceStates(delta.changed);
  }
}

} // namespace

auto EncodePeerMessage(const PeerMessage& aMessage) -> std::string
{
  const auto kind = static_cast<std::uint8_t>(aMessage.body.index());
  return std::visit([kind](const auto& aBody) { return Encode(kind, aBody); },
                    aMessage.body);
}

auto DecodePeerMessage(std::string_view aBytes) -> leaf::result<PeerMessage>
{
  PeerMessage message;
  BOOST_LEAF_CHECK(Decode(aBytes, [&message](InArchive& aArchive) {
    std::uint8_t kind = 0;
    aArchive(kind);
    switch (kind) {
      case 0: {
        RelayHeartbeat heartbeat;
        aArchive(heartbeat);
        message.body = std::move(heartbeat);
        return std::get<RelayHeartbeat>(message.body).role <= RelayRole::Agent;
      }
      case 1: {
        FlowLocation location;
        aArchive(location);
        message.body = location;
        return true;
      }
      case 2: {
        FlowRegistration registration;
        aArchive(registration);
        message.body = std::move(registration);
        return true;
      }
      case 3: {
        DomainReport report;
        aArchive(report);
        message.body = std::move(report);
        return true;
      }
      case 4: {
        FlowQuery query;
        aArchive(query);
        message.body = std::move(query);
        return true;
      }
      case 5: {
        FlowAnswer answer;
        aArchive(answer);
        message.body = std::move(answer);
        return true;
      }
      default:
        return false;
    }
  }));
  return message;
}

auto EncodeStateRequest(const StateRequest& aRequest) -> std::string
{
  return aRequest.acceptsCompact ? Encode(aRequest, aRequest.acceptsCompact)
                                 : Encode(aRequest);
}

auto DecodeStateRequest(std::string_view aBytes) -> leaf::result<StateRequest>
{
  StateRequest request;
  BOOST_LEAF_CHECK(DecodeAppended(
    aBytes,
    [&request](InArchive& aArchive) { aArchive(request); },
    [&request](InArchive& aArchive) { aArchive(request.acceptsCompact); }));
  return request;
}

auto EncodeStateReply(const StateReply& aReply) -> std::string
{
  // Earlier releases, which ask for nothing compact, refuse bytes at the end.
  if (aReply.deltas.empty() && aReply.packed.empty()) {
    return Encode(aReply);
  }
  auto reply = aReply;
  return Encode(
    reply, Bounded<1>(reply.deltas), Bounded<kMaxPackedBytes>(reply.packed));
}

auto PackState(const std::vector<RouteTable>& aRoutes,
               const std::vector<TargetSet>& aTargets) -> std::string
{
  auto routes = aRoutes;
  auto targets = aTargets;
  return Pack(Encode(Bounded<1>(routes), Bounded<1>(targets)));
}

auto DecodeStateReply(std::string_view aBytes) -> leaf::result<StateReply>
{
  StateReply reply;
  BOOST_LEAF_CHECK(DecodeAppended(
    aBytes,
    [&reply](InArchive& aArchive) { aArchive(reply); },
    [&reply](InArchive& aArchive) {
      auto deltas = Bounded<1>(reply.deltas);
      aArchive(deltas);
      auto packed = Bounded<kMaxPackedBytes>(reply.packed);
      aArchive(packed);
    }));
  if (!reply.packed.empty()) {
    BOOST_LEAF_CHECK(UnpackInto(reply));
  }
  ReplaceUnknownWords(reply);
  return reply;
}

} // namespace damaskwalk
