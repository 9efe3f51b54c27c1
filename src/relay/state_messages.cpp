// The requests for state and the replies to them.

#include "relay/limits.h"
#include "relay/message_archive.h"
#include "wire/packed.h"

#include <algorithm>
#include <cmath>

namespace damaskwalk {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t kMaxPackedBytes = std::size_t{ 4 } * 1024 * 1024;
constexpr std::size_t kMaxRoutes = 65536;
constexpr std::size_t kMaxTargets = 65536;
constexpr std::size_t kMaxEvacuatedDomains = 4096;
constexpr std::size_t kMaxServiceLimits = 65536;

} // namespace

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

// Ports of the backend servers, in the order of their targets. Earlier releases
// do not send them.
struct BackendPorts
{
  std::vector<std::uint16_t> ports;
};

auto PortsOf(const std::vector<RelayTarget>& aTargets) -> BackendPorts
{
  BackendPorts ports;
  for (const auto& target : aTargets) {
    ports.ports.push_back(target.backendPort);
  }
  return ports;
}

auto SetPorts(const BackendPorts& aPorts, std::vector<RelayTarget>& aTargets)
  -> void
{
  const auto count = std::min(aPorts.ports.size(), aTargets.size());
  for (std::size_t i = 0; i < count; ++i) {
    aTargets[i].backendPort = aPorts.ports[i];
  }
}

template<class Archive>
auto serialize(Archive& aArchive, BackendPorts& aValue) -> void
{
  auto ports = Bounded<kMaxTargets>(aValue.ports);
  aArchive(ports);
}

template<class Archive>
auto serialize(Archive& aArchive, TargetSet& aValue) -> void
{
  auto targets = Bounded<kMaxTargets>(aValue.targets);
  aArchive(aValue.revision.number, targets);
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
  aArchive(aValue.fromHash, aValue.toHash, aValue.revision.number, changed);
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
auto serialize(Archive& aArchive, EvacuationSet& aValue) -> void
{
  std::vector<NameEntry> names;
  for (auto& domain : aValue.domains) {
    names.push_back({ std::move(domain) });
  }
  auto domains = Bounded<kMaxEvacuatedDomains>(names);
  aArchive(aValue.revision.number, domains);
  aValue.domains.clear();
  for (auto& entry : names) {
    aValue.domains.push_back(std::move(entry.name));
  }
}

template<class Archive>
auto serialize(Archive& aArchive, ServiceLimits& aValue) -> void
{
  aArchive(aValue.service);
  serialize(aArchive, aValue.coldStart);
  aArchive(aValue.coldFlowsPerSecond);
}

template<class Archive>
auto serialize(Archive& aArchive, std::vector<ServiceLimits>& aValue) -> void
{
  auto limits = Bounded<kMaxServiceLimits>(aValue);
  aArchive(limits);
}

template<class Archive>
auto serialize(Archive& aArchive, FormerService& aValue) -> void
{
  aArchive(aValue.address, aValue.service);
  serialize(aArchive, aValue.age);
}

template<class Archive>
auto serialize(Archive& aArchive, RouteHistoryReport& aValue) -> void
{
  auto former = Bounded<kMaxFormerServices>(aValue.former);
  aArchive(aValue.complete, former);
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

// Decodes a message and, while bytes follow, the groups of fields that later
// releases appended to it. A group that is cut counts as absent, and so do
// those after it.
template<class Body, class... Appended>
auto DecodeAppended(std::string_view aBytes, Body aBody, Appended... aAppended)
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
    const auto readNext = [&](auto& aGroup) {
      if (buffer.Remaining() > 0) {
        aGroup(archive);
      }
    };
    (readNext(aAppended), ...);
  } catch (const std::exception&) {
    if (!hasBody) {
      return leaf::new_error(WireError::Truncated);
    }
  }
  return {};
}

// Reads a list of at most one entry.
template<class Entry>
auto ReadSingle(InArchive& aArchive, std::vector<Entry>& aList) -> void
{
  std::vector<Entry> read;
  auto list = Bounded<1>(read);
  aArchive(list);
  aList = std::move(read);
}

auto UnpackInto(StateReply& aReply) -> leaf::result<void>
{
  const auto bytes = Unpack(aReply.packed);
  aReply.packed.clear();
  if (!bytes) {
    return leaf::new_error(WireError::Malformed);
  }
  return DecodeAppended(
    *bytes,
    [&aReply](InArchive& aArchive) {
      auto routes = Bounded<1>(aReply.routes);
      auto targets = Bounded<1>(aReply.targets);
      aArchive(routes, targets);
    },
    [&aReply](InArchive& aArchive) {
      BackendPorts ports;
      aArchive(ports);
      if (!aReply.targets.empty()) {
        SetPorts(ports, aReply.targets.front().targets);
      }
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

auto BoundLimits(StateReply& aReply) -> void
{
  constexpr Millis kMaxColdStart = std::chrono::hours{ 24 };
  for (auto& limits : aReply.limits) {
    for (auto& limit : limits) {
      limit.coldStart = std::clamp(limit.coldStart, Millis{ 0 }, kMaxColdStart);
      const bool valid =
        std::isfinite(limit.coldFlowsPerSecond) && limit.coldFlowsPerSecond > 0;
      limit.coldFlowsPerSecond = valid ? limit.coldFlowsPerSecond : 0;
    }
  }
}

} // namespace

auto EncodeStateRequest(const StateRequest& aRequest) -> std::string
{
  if (aRequest.acceptsOperations) {
    auto have = aRequest.have;
    return Encode(aRequest,
                  aRequest.acceptsCompact,
                  aRequest.acceptsOperations,
                  LaterDigest{ have });
  }
  return aRequest.acceptsCompact ? Encode(aRequest, aRequest.acceptsCompact)
                                 : Encode(aRequest);
}

auto DecodeStateRequest(std::string_view aBytes) -> leaf::result<StateRequest>
{
  StateRequest request;
  BOOST_LEAF_CHECK(DecodeAppended(
    aBytes,
    [&request](InArchive& aArchive) { aArchive(request); },
    [&request](InArchive& aArchive) { aArchive(request.acceptsCompact); },
    [&request](InArchive& aArchive) {
      auto have = request.have;
      LaterDigest later{ have };
      bool accepts = false;
      aArchive(accepts, later);
      request.have = have;
      request.acceptsOperations = accepts;
    }));
  return request;
}

namespace {

auto HasPorts(const StateReply& aReply) -> bool
{
  return !aReply.deltas.empty() &&
         std::ranges::any_of(aReply.deltas.front().changed,
                             &RelayTarget::backendPort);
}

} // namespace

auto EncodeStateReply(const StateReply& aReply) -> std::string
{
  // Earlier releases, which ask for nothing compact, refuse bytes at the end.
  const bool hasOperations =
    !aReply.evacuations.empty() || !aReply.limits.empty() ||
    !aReply.history.empty() || HasStoreEra(aReply.digest) || HasPorts(aReply);
  if (aReply.deltas.empty() && aReply.packed.empty() && !hasOperations) {
    return Encode(aReply);
  }
  auto reply = aReply;
  const auto ports = reply.deltas.empty()
                       ? BackendPorts{}
                       : PortsOf(reply.deltas.front().changed);
  const auto compact = [&reply](auto... aLater) {
    return Encode(reply,
                  Bounded<1>(reply.deltas),
                  Bounded<kMaxPackedBytes>(reply.packed),
                  aLater...);
  };
  return hasOperations ? compact(Bounded<1>(reply.evacuations),
                                 Bounded<1>(reply.limits),
                                 Bounded<1>(reply.history),
                                 LaterDigest{ reply.digest },
                                 ports)
                       : compact();
}

auto PackState(const std::vector<RouteTable>& aRoutes,
               const std::vector<TargetSet>& aTargets) -> std::string
{
  auto routes = aRoutes;
  auto targets = aTargets;
  const auto ports =
    targets.empty() ? BackendPorts{} : PortsOf(targets.front().targets);
  return Pack(Encode(Bounded<1>(routes), Bounded<1>(targets), ports));
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
    },
    [&reply](InArchive& aArchive) {
      ReadSingle(aArchive, reply.evacuations);
      ReadSingle(aArchive, reply.limits);
      ReadSingle(aArchive, reply.history);
    },
    [&reply](InArchive& aArchive) {
      auto digest = reply.digest;
      LaterDigest later{ digest };
      aArchive(later);
      reply.digest = digest;
    },
    [&reply](InArchive& aArchive) {
      BackendPorts ports;
      aArchive(ports);
      if (!reply.deltas.empty()) {
        SetPorts(ports, reply.deltas.front().changed);
      }
    }));
  if (!reply.packed.empty()) {
    BOOST_LEAF_CHECK(UnpackInto(reply));
  }
  ReplaceUnknownWords(reply);
  BoundLimits(reply);
  return reply;
}

} // namespace damaskwalk
