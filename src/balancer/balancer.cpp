#include "balancer/balancer.h"

#include "core/rendezvous.h"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <limits>

namespace damaskwalk {

namespace leaf = boost::leaf;

namespace {

constexpr double kFirstPacketBurstSeconds = 0.5;
constexpr Millis kLatePacketDelay{ 300 };

} // namespace

Router::Router(const BalancerSettings& aSettings, const Membership& aMembers)
  : settings_(aSettings)
  , members_(aMembers)
  , hints_(aSettings.hintCapacity)
  , tokens_(std::make_shared<const TokenTable>())
{
}

auto Router::SetDocument(const Document& aDocument) -> void
{
  auto tokens = std::make_shared<TokenTable>();
  for (const auto& service : aDocument.services) {
    auto& list = (*tokens)[service.id];
    for (const auto& backend : service.backends) {
      list.push_back({ OwnerToken(backend.agent), backend.agent });
    }
  }
  const std::lock_guard lock(tokensMutex_);
  tokens_ = std::move(tokens);
}

auto Router::FindByToken(const Service& aService, std::uint32_t aToken) const
  -> Endpoint
{
  std::shared_ptr<const TokenTable> tokens;
  {
    const std::lock_guard lock(tokensMutex_);
    tokens = tokens_;
  }
  const auto list = tokens->find(aService.id);
  if (list == tokens->end()) {
    return {};
  }
  Endpoint agent;
  for (const auto& entry : list->second) {
    if (entry.token != aToken) {
      continue;
    }
    if (agent.IsValid()) {
      return {}; // ambiguous: two agents have the same token
    }
    agent = entry.agent;
  }
  return agent;
}

auto Router::Decide(const Service& aService, const Frame& aFrame) -> Route
{
  const auto flow = FlowOf(aFrame);
  const bool first = aFrame.Has(flag::kSyn);
  const auto isRunning = [this](const Endpoint& aAgent) {
    const auto state = members_.StateOf(aAgent);
    return state != MemberState::Dead && state != MemberState::Paused;
  };
  if (settings_.tokens && !first && aFrame.timestampEcho != 0) {
    const auto agent = FindByToken(aService, aFrame.timestampEcho & 0xFFFF);
    if (agent.IsValid() && isRunning(agent)) {
      return { agent, PacketStage::Hinted, "token" };
    }
  }
  if (settings_.hints && !first) {
    const auto agent = hints_.Find(flow);
    if (agent.IsValid() && isRunning(agent)) {
      return { agent, PacketStage::Hinted, "hint" };
    }
  }
  // The first agent in rendezvous order that is neither dead nor paused.
  const auto key = HashOf(flow);
  auto weightLimit = std::numeric_limits<std::uint64_t>::max();
  for (std::size_t rank = 0; rank < aService.backends.size(); ++rank) {
    Endpoint best;
    std::uint64_t bestWeight = 0;
    for (const auto& backend : aService.backends) {
      const auto weight = RendezvousWeight(key, backend.agent);
      if (weight >= bestWeight && weight < weightLimit) {
        best = backend.agent;
        bestWeight = weight;
      }
    }
    if (!best.IsValid() || isRunning(best)) {
      return { best, PacketStage::Entry, "directory" };
    }
    weightLimit = bestWeight;
  }
  return {};
}

Balancer::Balancer(Node& aNode, const BalancerSettings& aSettings)
  : node_(aNode)
  , settings_(aSettings)
  , router_(aSettings, aNode.Board().members)
  , packets_(aNode.Meter().Counter("damaskwalk_packets_total",
                                   "Packets from the fabric"))
  , routedByHint_(aNode.Meter().Counter("damaskwalk_packets_hinted_total",
                                        "Packets sent by a hint"))
  , routedByToken_(aNode.Meter().Counter("damaskwalk_packets_token_total",
                                         "Packets sent by the caller's token"))
  , noService_(aNode.Meter().Counter("damaskwalk_packets_no_service_total",
                                     "Packets to an address of no service"))
  , rateLimited_(
      aNode.Meter().Counter("damaskwalk_first_packets_limited_total",
                            "First packets over the service's limit"))
{
}

auto Balancer::OnFrame(std::string_view aBytes) -> void
{
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(frame, DecodeFrame(aBytes));
      Forward(frame, aBytes);
      return {};
    },
    [this] { noService_.Increment(); });
}

auto Balancer::AdmitFirstPacket(const Service& aService) -> bool
{
  const auto now = node_.Board().clock.Now();
  const double rate = aService.firstPacketsPerSecond;
  const std::lock_guard lock(bucketsMutex_);
  const auto [found, inserted] = firstPacketBuckets_.try_emplace(aService.id);
  auto& bucket = found->second;
  const auto elapsedSeconds =
    std::chrono::duration<double>(now - bucket.refilledAt).count();
  const auto burst = std::max(rate * kFirstPacketBurstSeconds, 1.0);
  bucket.tokens =
    inserted ? burst : std::min(bucket.tokens + elapsedSeconds * rate, burst);
  bucket.refilledAt = now;
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

auto Balancer::Forward(const Frame& aFrame, std::string_view aBytes) -> void
{
  packets_.Increment();
  const auto document = node_.Board().documents.Current();
  const auto* service = document->FindByAddress(aFrame.destination);
  const bool first = aFrame.Has(flag::kSyn);
  const bool notReady =
    first && (!node_.IsCurrent() ||
              node_.Board().documents.IsQuarantined(aFrame.destination));
  if (!service || notReady) {
    noService_.Increment();
    return;
  }
  if (first && !AdmitFirstPacket(*service)) {
    rateLimited_.Increment();
    return;
  }
  const auto route = router_.Decide(*service, aFrame);
  if (!route.agent.IsValid()) {
    noService_.Increment();
    return;
  }
  if (route.stage == PacketStage::Hinted) {
    (route.cause[0] == 't' ? routedByToken_ : routedByHint_).Increment();
  }
  PacketForward packet;
  packet.service = service->id;
  packet.stage = route.stage;
  packet.hops = 1;
  // Flows whose packets carry a token need no hint.
  const bool wantsHint = settings_.hints &&
                         !(settings_.tokens && aFrame.timestampEcho != 0) &&
                         !first;
  if (wantsHint || route.stage == PacketStage::Hinted) {
    packet.balancer = node_.Self();
  }
  packet.frame = std::string(aBytes);
  if (aFrame.trace.IsSampled()) {
    const auto context = node_.Traces().Record(
      { "balancer",
        aFrame.trace,
        node_.Board().clock.Wall(),
        {},
        std::string("by=") + route.cause + " agent=" + ToText(route.agent) });
    auto tracedFrame = aFrame;
    tracedFrame.trace = context;
    packet.frame = EncodeFrame(tracedFrame);
  }
  node_.Send(route.agent, packet);
}

auto Balancer::OnMessage(const ReceivedMessage& aReceived) -> void
{
  const auto& message = aReceived.message;
  if (const auto* hint = std::get_if<FlowHint>(&message)) {
    if (hint->owner.IsValid()) {
      router_.Hints().Set(hint->flow, hint->owner);
    } else {
      router_.Hints().Drop(hint->flow);
    }
  } else if (const auto* wrong = std::get_if<WrongService>(&message)) {
    router_.Hints().Drop(wrong->flow);
  } else if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    node_.Board().members.Merge(heartbeat->facts);
  }
}

auto Balancer::OnCall(ReceivedMessage) -> Task<Message>
{
  co_return TextReply{};
}

auto Balancer::OnDocument(DocumentPtr, DocumentPtr aNow) -> void
{
  router_.SetDocument(*aNow);
}

auto Balancer::OnMembers(const std::vector<MemberChange>& aChanges) -> void
{
  for (const auto& change : aChanges) {
    if (change.to == MemberState::Dead || change.restarted) {
      router_.Hints().DropOwner(change.member);
    }
  }
}

auto Balancer::Status() const -> boost::json::object
{
  boost::json::object status;
  status["role"] = "balancer";
  status["hints"] = router_.Hints().Size();
  status["packets"] = packets_.Value();
  status["packets_hinted"] = routedByHint_.Value();
  status["packets_token"] = routedByToken_.Value();
  return status;
}

auto Balancer::Explain(const ExplainQuery& aQuery) const -> boost::json::object
{
  boost::json::object answer;
  answer["address"] = ToText(node_.Self());
  const auto flow = ParseFlowKey(aQuery.flow);
  if (!flow) {
    return answer;
  }
  const auto document = node_.Board().documents.Current();
  const auto* service = document->FindByAddress(flow->address);
  answer["service"] = service ? service->name : "";
  const auto hint = router_.Hints().Find(*flow);
  answer["hint"] = hint.IsValid() ? ToText(hint) : "";
  return answer;
}

auto Balancer::Drain() -> Task<void>
{
  // The fabric continues to send packets here for a short time after the VM is
  // listed as gone.
  co_await node_.Sleep(kLatePacketDelay);
}

} // namespace damaskwalk
