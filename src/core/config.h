#pragma once

// Compile-time limits and timeouts. Each DAMASKWALK_ macro bounds the memory or
// bytes that an input can make a process use; it can be overridden on the
// compiler's command line with -D.

#include <chrono>
#include <cstddef>

#ifndef DAMASKWALK_MAX_DATAGRAM_BYTES
#define DAMASKWALK_MAX_DATAGRAM_BYTES 8192
#endif
#ifndef DAMASKWALK_MAX_BULK_BYTES
#define DAMASKWALK_MAX_BULK_BYTES (std::size_t{ 4 } * 1024 * 1024)
#endif
#ifndef DAMASKWALK_MAX_SEGMENT_BYTES
#define DAMASKWALK_MAX_SEGMENT_BYTES 1400
#endif
#ifndef DAMASKWALK_MAX_REQUEST_BYTES
#define DAMASKWALK_MAX_REQUEST_BYTES (std::size_t{ 64 } * 1024)
#endif
#ifndef DAMASKWALK_MAX_ANSWER_BYTES
#define DAMASKWALK_MAX_ANSWER_BYTES (std::size_t{ 1024 } * 1024)
#endif
#ifndef DAMASKWALK_FLOW_SHARDS
#define DAMASKWALK_FLOW_SHARDS 16
#endif
#ifndef DAMASKWALK_MAX_HINTS
#define DAMASKWALK_MAX_HINTS (1u << 20)
#endif
#ifndef DAMASKWALK_MAX_KEY_RECORDS
#define DAMASKWALK_MAX_KEY_RECORDS 100000
#endif
#ifndef DAMASKWALK_MAX_MEMBERS
#define DAMASKWALK_MAX_MEMBERS 32768
#endif
#ifndef DAMASKWALK_MAX_JOURNAL_EVENTS
#define DAMASKWALK_MAX_JOURNAL_EVENTS 4096
#endif

namespace damaskwalk {

constexpr std::size_t kMaxDatagramBytes = DAMASKWALK_MAX_DATAGRAM_BYTES;
constexpr std::size_t kMaxBulkBytes = DAMASKWALK_MAX_BULK_BYTES;
constexpr std::size_t kMaxSegmentBytes = DAMASKWALK_MAX_SEGMENT_BYTES;
constexpr std::size_t kMaxRequestBytes = DAMASKWALK_MAX_REQUEST_BYTES;
constexpr std::size_t kMaxAnswerBytes = DAMASKWALK_MAX_ANSWER_BYTES;
constexpr std::size_t kFlowShards = DAMASKWALK_FLOW_SHARDS;
constexpr std::size_t kMaxHints = DAMASKWALK_MAX_HINTS;
constexpr std::size_t kMaxKeyRecords = DAMASKWALK_MAX_KEY_RECORDS;
constexpr std::size_t kMaxMembers = DAMASKWALK_MAX_MEMBERS;
constexpr std::size_t kMaxJournalEvents = DAMASKWALK_MAX_JOURNAL_EVENTS;

// Longest name, key or path in any message.
constexpr std::size_t kMaxNameBytes = 256;
// Longest list in one message.
constexpr std::size_t kMaxListEntries = 4096;

// Flow directory and recovery: the longest time of a flow's handshake, and the
// search for a flow's owner.
constexpr std::chrono::milliseconds kHandshakeTimeout{ 3000 };
constexpr std::chrono::milliseconds kLookupRetryPeriod{ 300 };
constexpr std::chrono::milliseconds kLookupTimeout{ 1500 };
constexpr std::size_t kMaxPendingLookups = 4096;

// Failure detection. kDeadTimeout must exceed kKeyLease, so that a key home
// that loses its role has stopped granting before another one starts.
constexpr std::chrono::milliseconds kHeartbeatPeriod{ 500 };
constexpr std::chrono::milliseconds kSuspectTimeout{ 1100 };
constexpr std::chrono::milliseconds kDeadTimeout{ 1700 };
constexpr std::chrono::milliseconds kPausedTimeout{ 10000 };
// TCP connection to a suspect's port. A port that accepts answers within a
// round trip.
constexpr std::chrono::milliseconds kPortCheckTimeout{ 400 };
constexpr std::chrono::milliseconds kKeyLease{ 1400 };

// A process that did not run for this long revalidates its document before it
// acts.
constexpr std::chrono::milliseconds kPauseThreshold{ 400 };

// An address that moved between services is not served for this long.
constexpr std::chrono::milliseconds kAddressQuarantine{ 2000 };

// After a restore of the platform, a document that was replaced before is not
// taken for this long, as the newest is published again. Ends within the time
// by which a publication has to be in force.
constexpr std::chrono::milliseconds kRestoredDocumentHold{ 3000 };

// Idempotency keys are kept this long; claims with an older issue time are
// answered Unknown.
constexpr std::chrono::minutes kKeyRetention{ 10 };

} // namespace damaskwalk
