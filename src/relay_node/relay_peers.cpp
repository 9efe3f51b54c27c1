// The part of a relay process that exchanges messages with peers.

#include "relay/limits.h"
#include "relay_node/relay_process.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/pred.hpp>

namespace damaskwalk {

namespace leaf = boost::leaf;

auto RelayProcess::SendToPeer(std::uint32_t aIp, const PeerMessage& aMessage)
  -> void
{
  const auto bytes = EncodePeerMessage(aMessage);
  traffic_.Add(TrafficKindOf(aMessage), aIp, bytes.size());
  peerSocket_.Queue(bytes, { aIp, settings_.peers.port });
}

auto RelayProcess::OnPeerDatagram(std::span<char> aBytes, const Endpoint& aFrom)
  -> void
{
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(message,
                      DecodePeerMessage({ aBytes.data(), aBytes.size() }));
      if (const auto* heartbeat = std::get_if<RelayHeartbeat>(&message.body)) {
        exchange_.OnHeartbeat(aFrom.ip, *heartbeat, *this);
      } else if (const auto* location =
                   std::get_if<FlowLocation>(&message.body)) {
        if (balancer_ &&
            location->agent == Endpoint{ aFrom.ip, settings_.packets.port }) {
          balancer_->OnFlowLocation(*location);
        }
      } else if (const auto* report =
                   std::get_if<DomainReport>(&message.body)) {
        exchange_.OnDomainReport(aFrom.ip, *report, *this);
      } else if (agent_) {
        OnAgentMessage(aFrom.ip, message);
      }
      return {};
    },
    [this](leaf::match<WireError, WireError::UnknownKind>) {
      ++unknownPeerMessages_;
    },
    [this] { ++malformedPeerMessages_; });
}

auto RelayProcess::OnAgentMessage(std::uint32_t aFrom, PeerMessage& aMessage)
  -> void
{
  if (const auto* registration =
        std::get_if<FlowRegistration>(&aMessage.body)) {
    // An agent registers its own flows only.
    if (registration->agent == Endpoint{ aFrom, settings_.packets.port }) {
      agent_->OnRegistration(*registration);
    } else {
      ++malformedPeerMessages_;
    }
  } else if (auto* query = std::get_if<FlowQuery>(&aMessage.body)) {
    const auto packet = init_.codec.Decode(query->packet, PacketOrigin::Caller);
    if (packet) {
      agent_->OnFlowQuery(aFrom, query->wholeDomain, *packet, *this);
    } else {
      ++malformedPeerMessages_;
    }
  } else if (const auto* answer = std::get_if<FlowAnswer>(&aMessage.body)) {
    agent_->OnFlowAnswer(*answer, *this);
  }
}

auto RelayProcess::MakeHeartbeat() -> RelayHeartbeat
{
  RelayHeartbeat heartbeat;
  heartbeat.role = settings_.role;
  heartbeat.incarnation = incarnation_;
  heartbeat.digest = state_.Digest();
  heartbeat.stopping = stopping_;
  if (agent_) {
    heartbeat.load.push_back(stopping_ ? agent_->FinalReport()
                                       : agent_->Report());
  }
  return heartbeat;
}

auto RelayProcess::ReportLoadTo(std::uint32_t aIp) -> void
{
  const auto now = init_.clock.Now();
  auto& last = loadReportedAt_[aIp];
  if (now - last < kMinLoadReportPeriod) {
    return;
  }
  last = now;
  SendToPeer(aIp, PeerMessage{ MakeHeartbeat() });
}

auto RelayProcess::PullState(std::uint32_t aIp) -> void
{
  StartPull(aIp, !state_.HasState());
}

auto RelayProcess::OnBalancer(std::uint32_t aIp) -> void
{
  if (agent_) {
    agent_->OnBalancer(aIp);
  }
}

auto RelayProcess::OnAgentStarted(std::uint32_t aIp) -> void
{
  if (agent_) {
    agent_->OnAgentStarted(aIp, *this);
  }
}

auto RelayProcess::AnnounceSelf() -> void
{
  exchange_.Announce(*this);
  peerSocket_.Flush();
}

} // namespace damaskwalk
