#pragma once

// What relays tell each other: small datagrams, and one request with a reply
// over TCP for a newer state.

#include "relay/fleet_state.h"
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

// What an agent measured of the backend server beside it.
struct BackendLoad
{
  ServiceId service;
  bool acceptsFlows = true; // answers first packets
  bool draining = false;
  bool failing = false; // ejected: it answers, but badly
  bool onTrial = false; // ... and may be tried again
  // Said at the end: no flow lives there.
  bool noFlows = false;
  std::uint32_t slots = 1;
  std::uint32_t inFlight = 0; // requests without an answer
  // Requests without an answer, averaged over the last second, in hundredths.
  std::uint32_t meanInFlightHundredths = 0;
  std::uint32_t flows = 0;
  std::uint32_t serviceMicros = 0;   // mean time of one request in a slot
  std::uint32_t failurePerMille = 0; // answers that are server errors
};

// Says that the sender runs, and what state it has.
struct RelayHeartbeat
{
  RelayRole role = RelayRole::Balancer;
  std::uint64_t incarnation = 0; // drawn anew at each start
  StateDigest digest;
  // The receiver shall answer with its own.
  bool wantsReply = false;
  // The sender is about to end: an agent at once, a balancer when drained.
  bool stopping = false;
  std::vector<BackendLoad> load; // one from agents, none from balancers
};

// Tells a balancer which agent has a flow.
struct FlowLocation
{
  FlowKey flow;
  Endpoint agent;
};

// Tells a directory agent which flows the sender has.
struct FlowRegistration
{
  Endpoint agent;
  std::vector<FlowKey> flows;
};

struct PeerMessage
{
  std::variant<RelayHeartbeat, FlowLocation, FlowRegistration> body;
};

// Over TCP: asks for what the sender lacks.
struct StateRequest
{
  StateDigest have;
};

struct StateReply
{
  StateDigest digest;
  // One entry where newer than what was asked from; else none.
  std::vector<RouteTable> routes;
  std::vector<TargetSet> targets;
};

auto EncodePeerMessage(const PeerMessage& aMessage) -> std::string;
auto DecodePeerMessage(std::string_view aBytes)
  -> boost::leaf::result<PeerMessage>;
auto EncodeStateRequest(const StateRequest& aRequest) -> std::string;
auto DecodeStateRequest(std::string_view aBytes)
  -> boost::leaf::result<StateRequest>;
auto EncodeStateReply(const StateReply& aReply) -> std::string;
auto DecodeStateReply(std::string_view aBytes)
  -> boost::leaf::result<StateReply>;

} // namespace damaskwalk
