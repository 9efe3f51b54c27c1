#pragma once

// Messages between relays: small datagrams, and a request with a reply over TCP
// to fetch newer state. Later releases may append fields to a message and add
// kinds of messages: a decoder ignores the bytes after the fields that it
// knows, and reports WireError::UnknownKind for a kind that it does not know.

#include "relay/fleet_state.h"
#include "relay/target_log.h"
#include "wire/frame.h"

#include <boost/leaf/result.hpp>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace damaskwalk {

enum class RelayRole : std::uint8_t
{
  Balancer,
  Agent,
};

// Load and health of an agent's backend server, as the agent measured them.
struct BackendLoad
{
  ServiceId service;
  bool acceptsFlows = true; // answers first packets
  bool draining = false;
  bool failing = false; // ejected: too many answers are errors
  bool onTrial = false; // ejected, and may be tried again
  // Set only by a stopping agent: the backend server holds no flow.
  bool noFlows = false;
  std::uint32_t slots = 1;
  std::uint32_t inFlight = 0; // requests without an answer
  // Requests without an answer, averaged over the last second, in hundredths.
  std::uint32_t meanInFlightHundredths = 0;
  std::uint32_t flows = 0;
  std::uint32_t serviceMicros = 0;   // mean time of one request in a slot
  std::uint32_t failurePerMille = 0; // answers that are server errors
};

// Announces that the sender runs, and the state that it has.
struct RelayHeartbeat
{
  RelayRole role = RelayRole::Balancer;
  std::uint64_t incarnation = 0; // drawn anew at each start
  StateDigest digest;
  // The receiver must reply with its own heartbeat. The sender sends no
  // periodic ones to it.
  bool wantsReply = false;
  // The sender is stopping: an agent at once, a balancer when drained.
  bool stopping = false;
  std::vector<BackendLoad> load; // one from agents, none from balancers
};

// Hint to a balancer: the agent that has the flow.
struct FlowLocation
{
  FlowKey flow;
  Endpoint agent;
  // The flow is open at the agent's backend server. If not, the server accepted
  // its first packet, as others may have done. Appended if false; earlier
  // releases send neither.
  bool confirmed = true;
};

// Registers the sender's flows with a directory agent.
struct FlowRegistration
{
  Endpoint agent;
  std::vector<FlowKey> flows;
};

// What the processes of one failure domain tell those of the others, which do
// not exchange heartbeats with them.
struct DomainReport
{
  DomainId domain;
  std::uint32_t reporter = 0; // address of the process that made the report
  // Agents of the domain whose heartbeats the reporter misses.
  std::vector<std::uint32_t> silentAgents;
  // Balancers of the domain.
  std::vector<std::uint32_t> balancers;
};

// Asks whether the receiver, or any agent of its failure domain, has the flow
// of a packet. The packet is delivered to a backend server that may have it.
struct FlowQuery
{
  bool wholeDomain = false;
  std::string packet; // the datagram
};

struct FlowAnswer
{
  FlowKey flow;
  Endpoint holder; // the agent that has the flow; invalid: none found
  // Addresses of the agents that are certain not to have it.
  std::vector<std::uint32_t> certain;
};

// The position of a body in the variant is its kind on the wire.
struct PeerMessage
{
  std::variant<RelayHeartbeat,
               FlowLocation,
               FlowRegistration,
               DomainReport,
               FlowQuery,
               FlowAnswer>
    body;
};

// Over TCP: requests the state that the sender lacks.
struct StateRequest
{
  StateDigest have;
  // The requester reads deltas and packed state. Appended; absent in earlier
  // releases.
  bool acceptsCompact = false;
  // The requester reads evacuations, limits and the route history. Appended
  // with the later fields of the digest; absent in earlier releases.
  bool acceptsOperations = false;
};

struct StateReply
{
  StateDigest digest;
  // One entry if newer than the requester's, else none.
  std::vector<RouteTable> routes;
  std::vector<TargetSet> targets;
  // For requesters that accept compact state: one entry in place of the
  // targets, and routes and targets as PackState makes them. Decoding unpacks
  // the latter.
  std::vector<TargetDelta> deltas;
  std::string packed;
  // For requesters that accept them. One entry if newer than the requester's,
  // else none; the limits go with the routes.
  std::vector<EvacuationSet> evacuations;
  std::vector<std::vector<ServiceLimits>> limits;
  std::vector<RouteHistoryReport> history;
};

auto EncodePeerMessage(const PeerMessage& aMessage) -> std::string;
auto DecodePeerMessage(std::string_view aBytes)
  -> boost::leaf::result<PeerMessage>;
auto EncodeStateRequest(const StateRequest& aRequest) -> std::string;
auto DecodeStateRequest(std::string_view aBytes)
  -> boost::leaf::result<StateRequest>;
auto EncodeStateReply(const StateReply& aReply) -> std::string;
// Compresses routes and targets, to be sent many times.
auto PackState(const std::vector<RouteTable>& aRoutes,
               const std::vector<TargetSet>& aTargets) -> std::string;
auto DecodeStateReply(std::string_view aBytes)
  -> boost::leaf::result<StateReply>;

} // namespace damaskwalk
