#pragma once

// The process on entry VMs: forwards each packet to an agent of its service.

#include "core/flow_table.h"
#include "runtime/node.h"

namespace damaskwalk {

// The agent that a packet is forwarded to, and the reason for the choice.
struct Route
{
  Endpoint agent;
  PacketStage stage = PacketStage::Entry;
  const char* cause = ""; // token, hint or directory
};

// Chooses the agent for a packet: by the caller's token, by the flow's hint, or
// by rendezvous hashing over the service's agents. Thread safe.
class Router
{
public:
  Router(const BalancerSettings& aSettings, const Membership& aMembers);

  auto Decide(const Service& aService, const Frame& aFrame) -> Route;
  // Builds the token table of a document's services.
  auto SetDocument(const Document& aDocument) -> void;
  auto Hints() -> HintTable& { return hints_; }
  auto Hints() const -> const HintTable& { return hints_; }

private:
  struct AgentToken
  {
    std::uint32_t token = 0;
    Endpoint agent;
  };
  using TokenTable =
    std::unordered_map<ServiceId, std::vector<AgentToken>, KeyHash>;

  auto FindByToken(const Service& aService, std::uint32_t aToken) const
    -> Endpoint;

  BalancerSettings settings_;
  const Membership& members_;
  HintTable hints_;
  std::shared_ptr<const TokenTable> tokens_;
  mutable std::mutex tokensMutex_;
};

class Balancer final : public NodeRole
{
public:
  Balancer(Node& aNode, const BalancerSettings& aSettings);

  auto OnFrame(std::string_view aBytes) -> void override;
  auto OnMessage(const ReceivedMessage& aReceived) -> void override;
  auto OnCall(ReceivedMessage aReceived) -> Task<Message> override;
  auto OnTick() -> void override {}
  auto OnDocument(DocumentPtr aBefore, DocumentPtr aNow) -> void override;
  auto OnMembers(const std::vector<MemberChange>& aChanges) -> void override;
  auto Status() const -> boost::json::object override;
  auto Explain(const ExplainQuery& aQuery) const
    -> boost::json::object override;
  auto Drain() -> Task<void> override;

private:
  // Rate limit on a service's SYN packets.
  struct TokenBucket
  {
    double tokens = 0;
    TimePoint refilledAt;
  };
  auto Forward(const Frame& aFrame, std::string_view aBytes) -> void;
  auto AdmitFirstPacket(const Service& aService) -> bool;

  Node& node_;
  BalancerSettings settings_;
  Router router_;
  std::mutex bucketsMutex_;
  std::unordered_map<ServiceId, TokenBucket, KeyHash> firstPacketBuckets_;
  prometheus::Counter& packets_;
  prometheus::Counter& routedByHint_;
  prometheus::Counter& routedByToken_;
  prometheus::Counter& noService_;
  prometheus::Counter& rateLimited_;
};

} // namespace damaskwalk
