#pragma once

// The process that runs next to each backend server: owner of flows and their
// requests, directory agent, executor and key home.

#include "agent/directory.h"
#include "agent/executor.h"
#include "agent/feeds.h"
#include "agent/flows.h"
#include "agent/handover.h"
#include "agent/requests.h"

namespace damaskwalk {

class Agent final : public NodeRole
{
public:
  Agent(Node& aNode, const AgentSettings& aSettings);

  // Starts the health checks of the backend server.
  auto Start() -> void;
  auto OnFrame(std::string_view aBytes) -> void override;
  auto OnMessage(const ReceivedMessage& aReceived) -> void override;
  auto OnCall(ReceivedMessage aReceived) -> Task<Message> override;
  auto OnTick() -> void override;
  auto OnDocument(DocumentPtr aBefore, DocumentPtr aNow) -> void override;
  auto OnMembers(const std::vector<MemberChange>& aChanges) -> void override;
  auto Status() const -> boost::json::object override;
  auto Explain(const ExplainQuery& aQuery) const
    -> boost::json::object override;
  auto Drain() -> Task<void> override;

private:
  auto SendHeartbeats() -> void;
  auto OnHeartbeat(const Envelope& aEnvelope, const Heartbeat& aHeartbeat)
    -> void;
  // Requests key records from former key homes and, after a lost lease, from
  // the peers.
  auto PullKeys() -> Task<void>;
  // Gives up the role of key home; each peer gets the records that it answers
  // for from now on.
  auto ResignKeys() -> Task<void>;

  Node& node_;
  mutable AgentBoard board_;
  mutable FlowController flows_;
  DirectoryController directory_;
  mutable Executor executor_;
  RequestController requests_;
  FeedController feeds_;
  HandoverController handover_;
  TimePoint nextHeartbeat_;
  std::uint64_t ticks_ = 0;
  std::atomic<bool> heartbeatDue_{ false };
  std::atomic<bool> pullingKeys_{ false };
};

} // namespace damaskwalk
