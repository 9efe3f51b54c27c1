#include "wire/messages.h"

#include "wire/codec.h"

#include <array>
#include <utility>

namespace damaskwalk {

namespace {

constexpr std::uint16_t kMessageMagic = 0xDA57;
constexpr std::uint8_t kWireVersion = 1;
constexpr std::size_t kMaxLongTextBytes = kMaxAnswerBytes;

// Defines how a message is encoded: its fields, in their order on the wire.
#define DAMASKWALK_FIELDS(Type, ...)                                           \
  template<class Archive>                                                      \
  auto Fields(Archive& aArchive, Type& aBody)->void                            \
  {                                                                            \
    aArchive(__VA_ARGS__);                                                     \
  }

template<class Text>
auto NameText(Text& aText)
{
  return Bounded<kMaxNameBytes>(aText);
}

template<class Text>
auto LongText(Text& aText)
{
  return Bounded<kMaxLongTextBytes>(aText);
}

template<class Entry>
auto List(std::vector<Entry>& aList)
{
  return Bounded<kMaxListEntries>(aList);
}

} // namespace

// The same for a struct inside messages. It stands outside the unnamed
// namespace so that cereal finds it by argument-dependent lookup.
#define DAMASKWALK_NESTED(Type, ...)                                           \
  template<class Archive>                                                      \
  auto serialize(Archive& aArchive, Type& aBody)->void                         \
  {                                                                            \
    aArchive(__VA_ARGS__);                                                     \
  }

DAMASKWALK_NESTED(TraceContext, aBody.traceHigh, aBody.traceLow, aBody.span)
DAMASKWALK_NESTED(FlowFact, aBody.flow, aBody.owner, aBody.epoch, aBody.ended)
DAMASKWALK_NESTED(MemberFact,
                  aBody.member,
                  aBody.role,
                  aBody.state,
                  aBody.incarnation,
                  NameText(aBody.failureDomain))
DAMASKWALK_NESTED(LoadReport,
                  aBody.slots,
                  aBody.busy,
                  aBody.limit,
                  aBody.queued,
                  aBody.flows,
                  aBody.connections,
                  aBody.utilisation,
                  aBody.serviceMicros,
                  aBody.healthy)
DAMASKWALK_NESTED(CallerRate, aBody.caller, aBody.perSecond)
DAMASKWALK_NESTED(PeerAck, aBody.peer, aBody.sequence)
DAMASKWALK_NESTED(SectionText, NameText(aBody.name), LongText(aBody.text))
DAMASKWALK_NESTED(KeyRecordText,
                  NameText(aBody.key),
                  aBody.attempt,
                  aBody.state,
                  aBody.issuedMillis,
                  LongText(aBody.answer))
DAMASKWALK_NESTED(FlowState,
                  aBody.flow,
                  aBody.epoch,
                  aBody.sendUnacked,
                  aBody.receiveNext,
                  aBody.finReceived,
                  aBody.finQueued,
                  LongText(aBody.unacked),
                  LongText(aBody.received),
                  aBody.attempt,
                  aBody.claimed,
                  aBody.mayHaveRun,
                  LongText(aBody.feedRequest),
                  NameText(aBody.lastEventId),
                  aBody.feedStarted)

namespace {

DAMASKWALK_FIELDS(Envelope,
                  aBody.sender,
                  aBody.role,
                  aBody.incarnation,
                  aBody.version,
                  aBody.digest)
DAMASKWALK_FIELDS(PacketForward,
                  aBody.service,
                  aBody.stage,
                  aBody.hops,
                  aBody.balancer,
                  Bounded<kMaxDatagramBytes>(aBody.frame))
DAMASKWALK_FIELDS(FlowHint, aBody.flow, aBody.owner)
DAMASKWALK_FIELDS(FlowRegister, aBody.service, List(aBody.facts))
DAMASKWALK_FIELDS(FlowReject, List(aBody.facts))
DAMASKWALK_FIELDS(FlowLookup, aBody.flow, aBody.acknowledgement)
DAMASKWALK_FIELDS(FlowLookupReply, aBody.flow, aBody.owner, aBody.epoch)
DAMASKWALK_FIELDS(Heartbeat,
                  aBody.service,
                  aBody.sequence,
                  aBody.targetsDigest,
                  aBody.leaving,
                  aBody.load,
                  List(aBody.heard),
                  List(aBody.heaviest),
                  List(aBody.facts))
DAMASKWALK_FIELDS(Probe, aBody.sequence, aBody.target, List(aBody.facts))
DAMASKWALK_FIELDS(ProbeAck, aBody.sequence, aBody.target, List(aBody.facts))
DAMASKWALK_FIELDS(DocumentAdvert, aBody.confirmedAgeMillis)
DAMASKWALK_FIELDS(WrongService, aBody.flow)
DAMASKWALK_FIELDS(DocumentPull, aBody.knownVersion)
DAMASKWALK_FIELDS(DocumentReply,
                  aBody.version,
                  aBody.digest,
                  aBody.base,
                  Bounded<200000>(aBody.changed),
                  Bounded<200000>(aBody.removed))
DAMASKWALK_FIELDS(ExecuteRequest,
                  aBody.service,
                  aBody.attempt,
                  NameText(aBody.kind),
                  aBody.repeatable,
                  aBody.callerIsHeavy,
                  aBody.deadlineMillis,
                  aBody.trace,
                  LongText(aBody.request))
DAMASKWALK_FIELDS(ExecuteReply,
                  aBody.outcome,
                  aBody.load,
                  LongText(aBody.answer),
                  NameText(aBody.cause))
DAMASKWALK_FIELDS(KeyClaim,
                  aBody.service,
                  NameText(aBody.key),
                  NameText(aBody.caller),
                  aBody.attempt,
                  aBody.issuedMillis)
DAMASKWALK_FIELDS(KeyClaimReply, aBody.result, LongText(aBody.answer))
DAMASKWALK_FIELDS(KeyOutcome,
                  aBody.service,
                  NameText(aBody.key),
                  NameText(aBody.caller),
                  aBody.attempt,
                  aBody.outcome,
                  LongText(aBody.answer))
DAMASKWALK_FIELDS(KeyPull,
                  aBody.service,
                  aBody.targetsDigest,
                  aBody.formerDigest,
                  aBody.rejoin)
DAMASKWALK_FIELDS(KeyPullReply,
                  aBody.complete,
                  aBody.tookOver,
                  aBody.roleSinceMillis,
                  Bounded<kMaxKeyRecords>(aBody.records))
template<class Archive>
auto Fields(Archive& aArchive, KeyResign& aBody) -> void
{
  aArchive(aBody.service, aBody.targetsDigest);
  Fields(aArchive, aBody.roles);
}
DAMASKWALK_FIELDS(Handover, aBody.service, List(aBody.flows))
DAMASKWALK_FIELDS(HandoverReply, aBody.accepted, List(aBody.refused))
DAMASKWALK_FIELDS(ExplainQuery, NameText(aBody.flow), NameText(aBody.request))
DAMASKWALK_FIELDS(TextReply, LongText(aBody.text))

using Loader = Message (*)(InArchive&);

template<class Body>
auto LoadBody(InArchive& aArchive) -> Message
{
  Body body;
  if constexpr (!std::is_same_v<Body, StatusQuery>) {
    Fields(aArchive, body);
  }
  return body;
}

template<std::size_t... Indices>
constexpr auto MakeLoaders(std::index_sequence<Indices...>)
{
  return std::array<Loader, sizeof...(Indices)>{
    &LoadBody<std::variant_alternative_t<Indices, Message>>...
  };
}

constexpr auto kLoaders =
  MakeLoaders(std::make_index_sequence<std::variant_size_v<Message>>{});

constexpr std::array<const char*, std::variant_size_v<Message>> kKindNames = {
  "packet_forward",  "flow_hint",         "flow_register", "flow_reject",
  "flow_lookup",     "flow_lookup_reply", "heartbeat",     "probe",
  "probe_ack",       "document_advert",   "wrong_service", "document_pull",
  "document_reply",  "execute_request",   "execute_reply", "key_claim",
  "key_claim_reply", "key_outcome",       "key_pull",      "key_pull_reply",
  "handover",        "handover_reply",    "status_query",  "explain_query",
  "text_reply",      "key_resign"
};

} // namespace

auto EncodeMessage(const Envelope& aEnvelope, const Message& aMessage)
  -> std::string
{
  std::string bytes;
  StringBuffer buffer(bytes);
  std::ostream stream(&buffer);
  OutArchive archive(stream);
  archive(
    kMessageMagic, kWireVersion, static_cast<std::uint8_t>(aMessage.index()));
  Fields(archive, const_cast<Envelope&>(aEnvelope));
  std::visit(
    [&archive](const auto& aBody) {
      using Body = std::decay_t<decltype(aBody)>;
      if constexpr (!std::is_same_v<Body, StatusQuery>) {
        Fields(archive, const_cast<Body&>(aBody));
      }
    },
    aMessage);
  return bytes;
}

auto DecodeMessage(std::string_view aBytes)
  -> boost::leaf::result<ReceivedMessage>
{
  try {
    MemoryBuffer buffer(aBytes.data(), aBytes.size());
    std::istream stream(&buffer);
    InArchive archive(stream);
    std::uint16_t magic = 0;
    std::uint8_t version = 0;
    std::uint8_t kind = 0;
    archive(magic, version, kind);
    if (magic != kMessageMagic) {
      return boost::leaf::new_error(WireError::Malformed);
    }
    if (version != kWireVersion) {
      return boost::leaf::new_error(WireError::UnknownVersion);
    }
    if (kind >= kLoaders.size()) {
      return boost::leaf::new_error(WireError::UnknownKind);
    }
    ReceivedMessage received;
    Fields(archive, received.envelope);
    received.message = kLoaders[kind](archive);
    if (buffer.Remaining() != 0) {
      return boost::leaf::new_error(WireError::Malformed);
    }
    return received;
  } catch (const cereal::Exception&) {
    return boost::leaf::new_error(WireError::Truncated);
  }
}

auto KindName(const Message& aMessage) -> const char*
{
  return kKindNames[aMessage.index()];
}

} // namespace damaskwalk
