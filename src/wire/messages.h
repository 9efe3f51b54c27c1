#pragma once

// The messages between balancers, agents and the command line. A message's
// kind on the wire is its index in Message, so new kinds are added at the end.
// messages.cpp states the order of the fields on the wire.

#include "core/types.h"
#include "wire/frame.h"

#include <string>
#include <variant>
#include <vector>

namespace damaskwalk {

// Who forwarded a packet towards the flow's owner, and how the receiver was
// chosen.
enum class PacketStage : std::uint8_t
{
  Entry,     // a balancer, by rendezvous hashing
  Hinted,    // a balancer, by hint or token
  Placed,    // a directory agent: the receiver becomes the flow's owner
  Relayed,   // a directory agent or a former owner
  Recovered, // a directory agent that found the owner by asking other agents
};

// A caller's packet, passed between processes.
struct PacketForward
{
  ServiceId service;
  PacketStage stage = PacketStage::Entry;
  std::uint8_t hops = 0;
  // Balancer to send hints and corrections to; invalid: send none.
  Endpoint balancer;
  std::string frame;
};

// Tells a balancer where to send a flow's packets.
struct FlowHint
{
  FlowKey flow;
  Endpoint owner; // invalid: remove the hint
};

// The owner of a flow in an epoch, or the end of the flow.
struct FlowFact
{
  FlowKey flow;
  Endpoint owner;
  std::uint32_t epoch = 0;
  std::uint8_t ended = 0;
};

// From a flow's owner to the flow's directory agents.
struct FlowRegister
{
  ServiceId service;
  std::vector<FlowFact> facts;
};

// From a directory agent to an owner: of the flows that it registered, those
// that another agent owns or that have ended.
struct FlowReject
{
  std::vector<FlowFact> facts;
};

struct FlowLookup
{
  FlowKey flow;
  std::uint32_t acknowledgement = 0;
};

struct FlowLookupReply
{
  FlowKey flow;
  Endpoint owner; // invalid: the sender does not know the flow
  std::uint32_t epoch = 0;
};

enum class MemberState : std::uint8_t
{
  Alive,
  Leaving,
  Suspect,
  Paused, // its VM answers, the process does not
  Dead,
};

enum class Role : std::uint8_t
{
  Unknown,
  Balancer,
  Agent,
};

struct MemberFact
{
  Endpoint member;
  Role role = Role::Unknown;
  MemberState state = MemberState::Alive;
  Incarnation incarnation = 0;
  std::string failureDomain;
};

struct LoadReport
{
  std::uint32_t slots = 0;
  std::uint32_t busy = 0;
  std::uint32_t limit = 0;
  std::uint32_t queued = 0;
  std::uint32_t flows = 0;
  std::uint32_t connections = 0;
  // Busy share of the slots over the last seconds, in millionths.
  std::uint32_t utilisation = 0;
  // Mean time that a request occupies a slot.
  std::uint32_t serviceMicros = 0;
  // 0 when the backend server is unreachable or fails requests.
  std::uint8_t healthy = 1;
};

struct CallerRate
{
  std::uint64_t caller = 0;    // hash of the caller's name
  std::uint32_t perSecond = 0; // requests
};

struct PeerAck
{
  Endpoint peer;
  // Highest sequence number of the peer's heartbeats received; 0: the peer
  // runs, but none of its heartbeats is acknowledged.
  std::uint64_t sequence = 0;
};

// Between the agents of one service.
struct Heartbeat
{
  ServiceId service;
  std::uint64_t sequence = 0;
  // Digest of the published targets that the sender uses.
  std::uint64_t targetsDigest = 0;
  std::uint8_t leaving = 0;
  LoadReport load;
  std::vector<PeerAck> heard;
  std::vector<CallerRate> heaviest;
  std::vector<MemberFact> facts;
};

// SWIM-style probing among all processes.
struct Probe
{
  std::uint64_t sequence = 0;
  Endpoint target; // member to probe for the sender; invalid: the receiver
  std::vector<MemberFact> facts;
};

struct ProbeAck
{
  std::uint64_t sequence = 0;
  Endpoint target;
  std::vector<MemberFact> facts;
};

// States the sender's document version, which the envelope carries.
struct DocumentAdvert
{
  // Time since the platform last confirmed that this version is its newest.
  std::uint64_t confirmedAgeMillis = 0;
};

// From an agent to a balancer: the flow's address does not belong to the
// agent's service.
struct WrongService
{
  FlowKey flow;
};

// The messages below go over TCP, one reply to each request.

struct DocumentPull
{
  DocumentVersion knownVersion = 0;
};

struct SectionText
{
  std::string name;
  std::string text;
};

struct DocumentReply
{
  DocumentVersion version = 0;
  std::uint64_t digest = 0;
  // Version that the changes apply to; 0: `changed` is the whole document.
  DocumentVersion base = 0;
  std::vector<SectionText> changed;
  std::vector<SectionText> removed;
};

enum class Outcome : std::uint8_t
{
  Answered,
  NotRun,
  Unknown,
};

// From a flow's owner: runs a request on the receiver's backend server.
struct ExecuteRequest
{
  ServiceId service;
  AttemptId attempt;
  std::string kind;
  std::uint8_t repeatable = 0;
  // 1: the request must leave a reserve of slots free for other callers.
  std::uint8_t callerIsHeavy = 0;
  std::int64_t deadlineMillis = 0; // wall time
  TraceContext trace;
  std::string request; // HTTP/1.1 text
};

struct ExecuteReply
{
  Outcome outcome = Outcome::Unknown;
  LoadReport load;
  std::string answer; // HTTP/1.1 text
  std::string cause;
};

// From a flow's owner: asks the home of an idempotency key whether an attempt
// may run.
struct KeyClaim
{
  ServiceId service;
  std::string key;
  std::string caller;
  AttemptId attempt;
  std::int64_t issuedMillis = 0;
};

enum class ClaimResult : std::uint8_t
{
  Granted,
  Recorded, // finished earlier; the answer is in the reply
  Unknown,  // may have run, or the home cannot tell
  NotHome,  // the receiver does not hold the role now
};

struct KeyClaimReply
{
  ClaimResult result = ClaimResult::Unknown;
  std::string answer;
};

// From a flow's owner to a key's home: how a granted attempt ended.
struct KeyOutcome
{
  ServiceId service;
  std::string key;
  std::string caller;
  AttemptId attempt;
  Outcome outcome = Outcome::Unknown;
  std::string answer;
};

struct KeyRecordText
{
  std::string key;
  AttemptId attempt;
  std::uint8_t state = 0;
  std::int64_t issuedMillis = 0;
  std::string answer;
};

// A new home asks a former home for the records of the keys that it took on.
struct KeyPull
{
  ServiceId service;
  std::uint64_t targetsDigest = 0;
  // Digest of the published targets that the sender used before.
  std::uint64_t formerDigest = 0;
  // 1: the sender is not new to the set of targets, but lost its lease or
  // restarted.
  std::uint8_t rejoin = 0;
};

struct KeyPullReply
{
  // Value of roleSinceMillis while the sender still uses other targets than the
  // requester; the reply is then incomplete.
  static constexpr std::int64_t kOtherTargets = -1;

  std::uint8_t complete = 0;
  // To a rejoining home, 1: the sender answered for its keys meanwhile.
  std::uint8_t tookOver = 0;
  std::int64_t roleSinceMillis = 0;
  std::vector<KeyRecordText> records;
};

// Complete state of a flow that is handed over to another owner.
struct FlowState
{
  FlowKey flow;
  std::uint32_t epoch = 0;
  std::uint32_t sendUnacked = 0;
  std::uint32_t receiveNext = 0;
  std::uint8_t finReceived = 0;
  std::uint8_t finQueued = 0;
  std::string unacked;  // sent or queued bytes from sendUnacked on
  std::string received; // bytes of a request that has not been dispatched
  AttemptId attempt;    // claimed, not dispatched
  std::uint8_t claimed = 0;
  std::uint8_t mayHaveRun = 0; // an attempt of the waiting request was lost
  std::string feedRequest;     // HTTP text of an open feed's request
  std::string lastEventId;
  std::uint8_t feedStarted = 0;
};

struct Handover
{
  ServiceId service;
  std::vector<FlowState> flows;
};

struct HandoverReply
{
  std::uint8_t accepted = 0;
  std::vector<FlowKey> refused;
};

// A key home that stops passes its role on.
struct KeyResign
{
  ServiceId service;
  std::uint64_t targetsDigest = 0;
  KeyPullReply roles;
};

struct StatusQuery
{};

struct ExplainQuery
{
  std::string flow;
  std::string request;
};

struct TextReply
{
  std::string text; // JSON
};

using Message = std::variant<PacketForward,
                             FlowHint,
                             FlowRegister,
                             FlowReject,
                             FlowLookup,
                             FlowLookupReply,
                             Heartbeat,
                             Probe,
                             ProbeAck,
                             DocumentAdvert,
                             WrongService,
                             DocumentPull,
                             DocumentReply,
                             ExecuteRequest,
                             ExecuteReply,
                             KeyClaim,
                             KeyClaimReply,
                             KeyOutcome,
                             KeyPull,
                             KeyPullReply,
                             Handover,
                             HandoverReply,
                             StatusQuery,
                             ExplainQuery,
                             TextReply,
                             KeyResign>;

// Sent with every message. Version and digest are those of the document that
// is in force at the sender.
struct Envelope
{
  Endpoint sender;
  Role role = Role::Unknown;
  Incarnation incarnation = 0;
  DocumentVersion version = 0;
  std::uint64_t digest = 0;
};

struct ReceivedMessage
{
  Envelope envelope;
  Message message;
};

auto EncodeMessage(const Envelope& aEnvelope, const Message& aMessage)
  -> std::string;

// Fails with a WireError on malformed or truncated bytes, an unknown version or
// kind, or a length over its limit.
auto DecodeMessage(std::string_view aBytes)
  -> boost::leaf::result<ReceivedMessage>;

// Short name of a message's kind, for metrics and logs.
auto KindName(const Message& aMessage) -> const char*;

} // namespace damaskwalk
