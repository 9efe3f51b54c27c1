#include "wire/messages.h"

#include "wire/codec.h"

#include <array>
#include <utility>

namespace damaskwalk {

namespace {

constexpr std::uint16_t kMessageMagic = 0xDA57;
constexpr std::uint8_t kWireVersion = 1;
constexpr std::size_t kMaxLongBytes = kMaxAnswerBytes;

#define DAMASKWALK_FIELDS(Type, ...)                                           \
  template<class Archive>                                                      \
  auto Fields(Archive& aArchive, Type& m)->void                                \
  {                                                                            \
    aArchive(__VA_ARGS__);                                                     \
  }

template<class Text>
auto Name(Text& aText)
{
  return Bounded<kMaxNameBytes>(aText);
}

template<class Text>
auto Long(Text& aText)
{
  return Bounded<kMaxLongBytes>(aText);
}

template<class Entry>
auto List(std::vector<Entry>& aList)
{
  return Bounded<kMaxListEntries>(aList);
}

} // namespace

// Nested structs, found by argument-dependent lookup.
#define DAMASKWALK_NESTED(Type, ...)                                           \
  template<class Archive>                                                      \
  auto serialize(Archive& aArchive, Type& m)->void                             \
  {                                                                            \
    aArchive(__VA_ARGS__);                                                     \
  }

DAMASKWALK_NESTED(TraceContext, m.traceHigh, m.traceLow, m.span)
DAMASKWALK_NESTED(FlowFact, m.flow, m.owner, m.epoch, m.ended)
DAMASKWALK_NESTED(MemberFact,
                  m.member,
                  m.role,
                  m.state,
                  m.incarnation,
                  Name(m.failureDomain))
DAMASKWALK_NESTED(LoadReport,
                  m.slots,
                  m.busy,
                  m.limit,
                  m.queued,
                  m.flows,
                  m.connections,
                  m.utilisation,
                  m.serviceMicros,
                  m.fit)
DAMASKWALK_NESTED(CallerRate, m.caller, m.perSecond)
DAMASKWALK_NESTED(PeerAck, m.peer, m.sequence)
DAMASKWALK_NESTED(SectionText, Name(m.name), Long(m.text))
DAMASKWALK_NESTED(KeyRecordText,
                  Name(m.key),
                  m.attempt,
                  m.state,
                  m.issuedMillis,
                  Long(m.answer))
DAMASKWALK_NESTED(FlowState,
                  m.flow,
                  m.epoch,
                  m.sendUnacked,
                  m.receiveNext,
                  m.finReceived,
                  m.finQueued,
                  Long(m.unacked),
                  Long(m.received),
                  m.attempt,
                  m.claimed,
                  m.mayHaveRun,
                  Long(m.feedRequest),
                  Name(m.lastEventId),
                  m.feedStarted)

namespace {

DAMASKWALK_FIELDS(Envelope,
                  m.sender,
                  m.role,
                  m.incarnation,
                  m.version,
                  m.digest)
DAMASKWALK_FIELDS(PacketForward,
                  m.service,
                  m.stage,
                  m.hops,
                  m.balancer,
                  Bounded<kMaxDatagramBytes>(m.frame))
DAMASKWALK_FIELDS(FlowHint, m.flow, m.owner)
DAMASKWALK_FIELDS(FlowRegister, m.service, List(m.facts))
DAMASKWALK_FIELDS(FlowReject, List(m.facts))
DAMASKWALK_FIELDS(FlowLookup, m.flow, m.acknowledgement)
DAMASKWALK_FIELDS(FlowLookupReply, m.flow, m.owner, m.epoch)
DAMASKWALK_FIELDS(Heartbeat,
                  m.service,
                  m.sequence,
                  m.targetsDigest,
                  m.leaving,
                  m.load,
                  List(m.heard),
                  List(m.heaviest),
                  List(m.facts))
DAMASKWALK_FIELDS(Probe, m.sequence, m.target, List(m.facts))
DAMASKWALK_FIELDS(ProbeAck, m.sequence, m.target, List(m.facts))
DAMASKWALK_FIELDS(DocumentAdvert, m.freshMillis)
DAMASKWALK_FIELDS(WrongService, m.flow)
DAMASKWALK_FIELDS(DocumentPull, m.have)
DAMASKWALK_FIELDS(DocumentReply,
                  m.version,
                  m.digest,
                  m.base,
                  Bounded<200000>(m.changed),
                  Bounded<200000>(m.removed))
DAMASKWALK_FIELDS(ExecuteRequest,
                  m.service,
                  m.attempt,
                  Name(m.kind),
                  m.repeatable,
                  m.deadlineMillis,
                  m.trace,
                  Long(m.request))
DAMASKWALK_FIELDS(ExecuteReply,
                  m.outcome,
                  m.load,
                  Long(m.answer),
                  Name(m.cause))
DAMASKWALK_FIELDS(KeyClaim,
                  m.service,
                  Name(m.key),
                  Name(m.caller),
                  m.attempt,
                  m.issuedMillis)
DAMASKWALK_FIELDS(KeyClaimReply, m.result, Long(m.answer))
DAMASKWALK_FIELDS(KeyOutcome,
                  m.service,
                  Name(m.key),
                  Name(m.caller),
                  m.attempt,
                  m.outcome,
                  Long(m.answer))
DAMASKWALK_FIELDS(KeyPull, m.service, m.targetsDigest, m.formerDigest, m.rejoin)
DAMASKWALK_FIELDS(KeyPullReply,
                  m.complete,
                  m.tookOver,
                  m.roleSinceMillis,
                  Bounded<kMaxKeyRecords>(m.records))
template<class Archive>
auto Fields(Archive& aArchive, KeyResign& m) -> void
{
  aArchive(m.service, m.targetsDigest);
  Fields(aArchive, m.roles);
}
DAMASKWALK_FIELDS(Handover, m.service, List(m.flows))
DAMASKWALK_FIELDS(HandoverReply, m.accepted, List(m.refused))
DAMASKWALK_FIELDS(ExplainQuery, Name(m.flow), Name(m.request))
DAMASKWALK_FIELDS(TextReply, Long(m.text))

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

auto DecodeMessage(std::string_view aBytes) -> boost::leaf::result<Letter>
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
      return boost::leaf::new_error(WireError::Garbage);
    }
    if (version != kWireVersion) {
      return boost::leaf::new_error(WireError::UnknownVersion);
    }
    if (kind >= kLoaders.size()) {
      return boost::leaf::new_error(WireError::UnknownKind);
    }
    Letter letter;
    Fields(archive, letter.envelope);
    letter.message = kLoaders[kind](archive);
    if (buffer.Remaining() != 0) {
      return boost::leaf::new_error(WireError::Garbage);
    }
    return letter;
  } catch (const cereal::Exception&) {
    return boost::leaf::new_error(WireError::Truncated);
  }
}

auto KindName(const Message& aMessage) -> const char*
{
  return kKindNames[aMessage.index()];
}

} // namespace damaskwalk
