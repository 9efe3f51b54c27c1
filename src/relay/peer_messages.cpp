#include "relay/peer_messages.h"

#include "relay/limits.h"
#include "relay/message_archive.h"

#include <algorithm>

namespace damaskwalk {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t kMaxFlowsPerMessage = 256;
constexpr std::size_t kMaxAgentsPerReport = 64;
constexpr std::size_t kMaxBalancersPerReport = 256;
constexpr std::size_t kMaxPacketBytes = 2048;

} // namespace

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
  constexpr std::uint32_t kHundredths = 100;
  const auto limit = [](std::uint32_t& aField, std::uint32_t aMost) {
    aField = std::min(aField, aMost);
  };
  limit(aValue.slots, kMaxReportedInFlight);
  limit(aValue.inFlight, kMaxReportedInFlight);
  limit(aValue.meanInFlightHundredths, kMaxReportedInFlight * kHundredths);
  limit(aValue.serviceMicros,
        static_cast<std::uint32_t>(kMaxReportedServiceTime.count()));
  limit(aValue.failurePerMille, kMaxReportedPerMille);
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

namespace {

// Bytes that are too few for the fields count as a release without them.
auto ReadLaterDigest(InArchive& aArchive,
                     const MemoryBuffer& aBuffer,
                     StateDigest& aDigest) -> void
{
  auto digest = aDigest;
  LaterDigest later{ digest };
  try {
    if (aBuffer.Remaining() > 0) {
      aArchive(later);
      aDigest = digest;
    }
  } catch (const cereal::Exception&) {
    return;
  }
}

} // namespace

auto EncodePeerMessage(const PeerMessage& aMessage) -> std::string
{
  const auto kind = static_cast<std::uint8_t>(aMessage.body.index());
  if (const auto* heartbeat = std::get_if<RelayHeartbeat>(&aMessage.body)) {
    auto digest = heartbeat->digest;
    return Encode(kind, *heartbeat, LaterDigest{ digest });
  }
  const auto* location = std::get_if<FlowLocation>(&aMessage.body);
  if (location && !location->confirmed) {
    return Encode(kind, *location, location->confirmed);
  }
  return std::visit([kind](const auto& aBody) { return Encode(kind, aBody); },
                    aMessage.body);
}

auto DecodePeerMessage(std::string_view aBytes) -> leaf::result<PeerMessage>
{
  PeerMessage message;
  BOOST_LEAF_CHECK(Decode(
    aBytes, [&message](InArchive& aArchive, const MemoryBuffer& aBuffer) {
      std::uint8_t kind = 0;
      aArchive(kind);
      switch (kind) {
        case 0: {
          RelayHeartbeat heartbeat;
          aArchive(heartbeat);
          ReadLaterDigest(aArchive, aBuffer, heartbeat.digest);
          message.body = std::move(heartbeat);
          return std::get<RelayHeartbeat>(message.body).role <=
                 RelayRole::Agent;
        }
        case 1: {
          FlowLocation location;
          aArchive(location);
          if (aBuffer.Remaining() > 0) {
            aArchive(location.confirmed);
          }
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

} // namespace damaskwalk
