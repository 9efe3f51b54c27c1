#pragma once

// Every message between the system's own processes. A message's kind on the
// wire is its index in Message; new kinds are added at the end.

#include "core/types.h"
#include "wire/frame.h"

#include <string>
#include <variant>
#include <vector>

namespace damaskwalk {

// How far a packet has come on its way to the flow's owner.
enum class PacketStage : std::uint8_t
{
  Entry,     // from a balancer, by rendezvous
  Hinted,    // from a balancer, by hint or token
  Placed,    // from a directory agent: the receiver shall own the flow
  Relayed,   // from a directory agent or a former owner
  Recovered, // from a directory agent that asked around
};

// A caller's packet, passed between processes.
struct PacketForward
{
  ServiceId service;
  PacketStage stage = PacketStage::Entry;
  std::uint8_t hops = 0;
  // Where a hint or correction shall go; invalid when none is wanted.
  Endpoint balancer;
  std::string frame;
};

struct FlowHint
{
  FlowKey flow;
  Endpoint owner; // invalid: forget the hint
};

struct FlowFact
{
  FlowKey flow;
  Endpoint owner;
  std::uint32_t epoch = 0;
  std::uint8_t ended = 0;
};

// Owner to directory agents.
struct FlowRegister
{
  ServiceId service;
  std::vector<FlowFact> facts;
};

// Directory agent to an owner whose registered flows live elsewhere or ended.
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
  Endpoint owner; // invalid: not here
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
  // Mean slot time of a request.
  std::uint32_t serviceMicros = 0;
  std::uint8_t fit = 1;
};

struct CallerRate
{
  std::uint64_t caller = 0;
  std::uint32_t perSecond = 0;
};

struct PeerAck
{
  Endpoint peer;
  // Highest heartbeat heard from the peer; 0 hears it but acknowledges none.
  std::uint64_t sequence = 0;
};

// Between the agents of one service.
struct Heartbeat
{
  ServiceId service;
  std::uint64_t sequence = 0;
  // Digest of the published targets that the sender goes by.
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
  Endpoint target; // whom to probe for the sender; invalid: the receiver
  std::vector<MemberFact> facts;
};

struct ProbeAck
{
  std::uint64_t sequence = 0;
  Endpoint target;
  std::vector<MemberFact> facts;
};

struct DocumentAdvert
{
  // Age of the platform's last word that the version is its newest.
  std::uint64_t confirmedAgeMillis = 0;
};

struct WrongService
{
  FlowKey flow;
};

// The rest travels over TCP, one reply to each request.

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
  DocumentVersion base = 0; // 0: whole
  std::vector<SectionText> changed;
  std::vector<SectionText> removed;
};

enum class Outcome : std::uint8_t
{
  Answered,
  NotRun,
  Unknown,
};

// An owner asks for a request to run on the receiver's backend server.
struct ExecuteRequest
{
  ServiceId service;
  AttemptId attempt;
  std::string kind;
  std::uint8_t repeatable = 0;
  std::uint8_t callerIsHeavy =
    0; // its caller is heavy: leaves a reserve of slots
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

// An owner asks a key's home whether an attempt may run.
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
  Unknown,  // may have run, or the home cannot know
  NotHome,  // the receiver does not hold the role now
};

struct KeyClaimReply
{
  ClaimResult result = ClaimResult::Unknown;
  std::string answer;
};

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

// A new home asks a former one for the records it now answers for.
struct KeyPull
{
  ServiceId service;
  std::uint64_t targetsDigest = 0;
  // The published targets that the asker went by before.
  std::uint64_t formerDigest = 0;
  // The asker is not new to the set: it lost its lease or restarted.
  std::uint8_t rejoin = 0;
};

struct KeyPullReply
{
  std::uint8_t complete = 0;
  // To a rejoining home: the sender stands in for it now.
  std::uint8_t tookOver = 0;
  std::int64_t roleSinceMillis = 0;
  std::vector<KeyRecordText> records;
};

// A flow's whole state, as it moves to another owner.
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
  std::uint8_t mayHaveRun = 0; // a try of the waiting request was lost
  std::string feedRequest;     // HTTP text of an open feed
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

// A stopping home gives its role up.
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

// Goes with every message.
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

// Refuses garbage, truncation, unknown versions and kinds, and long lengths.
auto DecodeMessage(std::string_view aBytes)
  -> boost::leaf::result<ReceivedMessage>;

// Short name of a message's kind, for metrics and logs.
auto KindName(const Message& aMessage) -> const char*;

} // namespace damaskwalk
