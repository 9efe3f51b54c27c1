#pragma once

// Limits and periods of the pass-through relay. Each names its reason; the
// platform's promises that they follow from are in docs/PLATFORM.md.

#include "core/clock.h"

#include <cstddef>
#include <cstdint>

namespace damaskwalk {

// A lapsed registration is back this soon after the store's return.
constexpr Millis kLapsedTargetRetention{ 2000 };
// A backend server that left may hold flows for as long as it drains.
constexpr Millis kGoneTargetRetention{ 40000 };

// Heartbeats between relays, stretched so that one node sends at most 100 a
// second.
constexpr Millis kRelayHeartbeatPeriod{ 500 };
constexpr Millis kHeartbeatPeriodPerTarget{ 10 };
// A peer is silent after three missed heartbeats.
constexpr std::uint32_t kMaxMissedHeartbeats = 3;
// A load report answers a first packet at most this often per balancer.
constexpr Millis kMinLoadReportPeriod{ 30 };
// An agent that left a first packet without a report for this long is silent.
constexpr Millis kLoadReportTimeout{ 180 };

// The first reader asks the store this often: a change is known everywhere
// well within the three seconds allowed.
constexpr Millis kStoreReadPeriod{ 400 };
// Another process reads when nobody confirmed the state for this long, later
// the lower its rank.
constexpr Millis kStoreTakeoverDelay{ 900 };
constexpr Millis kStoreTakeoverDelayPerRank{ 120 };
constexpr std::uint32_t kMaxStoreTakeoverRank = 10;
// After a failed read the process waits this long: refused calls count too.
constexpr Millis kStoreRetryDelay{ 800 };
// Routes change less often than targets: every second read asks for them.
constexpr std::uint32_t kReadsPerRouteRead = 2;

// State is pulled from one peer at a time; an answer takes a few round trips,
// so that after this long another peer is asked as well.
constexpr Millis kNextPullDelay{ 100 };
constexpr std::size_t kMaxConcurrentPulls = 4;

// Flow tables. A balancer entry costs about 40 bytes, an agent's about 100.
constexpr std::size_t kMaxBalancerFlows = 1U << 18;
constexpr std::size_t kMaxAgentFlows = 1U << 16;
constexpr std::size_t kMaxDirectoryFlows = 1U << 17;
// Entries of a finished flow stay for late retransmissions (1.6 s at most).
constexpr Millis kFinishedFlowRetention{ 4000 };
// Added to the configured idle timeout before an entry is dropped.
constexpr Millis kIdleTimeoutMargin{ 2000 };
// Idle timeout until a configuration states one.
constexpr Millis kDefaultIdleTimeout{ 15000 };
// Agents register long flows anew this often, so that a restarted directory
// agent knows them again.
constexpr Millis kFlowRegistrationPeriod{ 4000 };
// Flows of one registration message: stays below 1,400 bytes.
constexpr std::size_t kMaxFlowsPerRegistration = 100;

// A backend server answers a first packet within about a millisecond; after
// this it is taken as not responding and another one is tried.
constexpr Millis kFlowOpenTimeout{ 60 };
// Most requests that a backend server is given at once: its slots twice over,
// and a few that are on their way. Its own queue holds four times its slots,
// and beyond that it breaks requests off.
constexpr std::uint32_t kMaxRequestsPerSlot = 2;
constexpr std::uint32_t kMaxRequestsInTransit = 2;
// Two round trips between caller and agent: the answer to the first packet, the
// request after it, and the way of the answer.
constexpr Millis kFirstRequestDelay{ 12 };
// An opened flow counts as such a request until its first request comes, at
// most for this long.
constexpr Millis kFirstRequestTimeout{ 100 };
// Callers give a first packet up after 1.4 s; it takes a round trip to open.
constexpr Millis kMaxFirstPacketAge{ 1300 };
// Callers send two copies of a first packet, after these times.
constexpr std::uint32_t kMaxFirstPacketRetransmissions = 2;
constexpr Millis kFirstRetransmissionDelay{ 200 };
constexpr Millis kSecondRetransmissionDelay{ 600 };
// Latency objective of routes that state none.
constexpr Millis kDefaultLatencyObjective{ 250 };
// Agents that a first packet may visit.
constexpr std::uint8_t kMaxFirstPacketHops = 6;
// Agents that a later packet may visit while its flow is looked for.
constexpr std::uint8_t kMaxSearchHops = 120;
// A search that ended because views differed is repeated after this long: state
// spreads in a few round trips. The next packet of the flow starts anew.
constexpr Millis kSearchRetryDelay{ 100 };
constexpr std::uint32_t kMaxSearchRetries = 3;
constexpr Millis kPostponedSearchRetention{ 1000 };
// At most 1.5 MB of datagrams.
constexpr std::size_t kMaxPostponedSearches = 1024;
// A backend server that let first packets go unanswered is tried again after.
constexpr Millis kUnresponsiveRetryDelay{ 500 };
// A backend server that refused a first packet gets none for this long.
constexpr Millis kRefusedRetryDelay{ 100 };
// First packets without an answer before the backend server counts as down.
constexpr std::uint32_t kUnresponsiveThreshold = 2;

// Packets held while a starting process has no state yet.
constexpr std::size_t kMaxWaitingPackets = 512;
// Older held packets have been sent again by their end.
constexpr Millis kWaitingPacketRetention{ 1000 };

// Ejection of a backend server that answers badly while it looks healthy.
// Three in a row, or a third of the last ten or so, are no accident.
constexpr std::uint32_t kConsecutiveFailuresThreshold = 3;
constexpr double kFailureShareThreshold = 0.3;
constexpr std::uint32_t kMinFailureShareSamples = 10;
// First ejection and the longest, after doubling at each new one.
constexpr Millis kFirstEjectionTime{ 1000 };
constexpr Millis kMaxEjectionTime{ 8000 };
// Then one first packet in this time tries it, and so many good answers in a
// row restore it.
constexpr Millis kTrialPeriod{ 250 };
constexpr std::uint32_t kRestoreSuccessThreshold = 3;
// Ejections are ignored while less than this share of a service would be left.
constexpr double kMinHealthyShare = 0.5;
// Balancers send one in so many first packets of a service to a server on
// trial.
constexpr std::uint32_t kFlowsPerTrial = 50;

// Placement. Crossing failure domains costs a round trip and bytes; a farther
// backend server must save at least this much.
constexpr std::chrono::microseconds kCrossDomainCost{ 8000 };
// Assumed service time until requests were measured.
constexpr std::chrono::microseconds kDefaultServiceTime{ 30000 };
// Slowdown of a backend server that is still cold.
constexpr double kColdFactor = 1.6;
// Candidates looked at in the own failure domain and beyond: two choices take
// most of the gain of knowing all, three cover small domains whole.
constexpr std::size_t kMaxNearCandidates = 3;
constexpr std::size_t kMaxFarCandidates = 2;

} // namespace damaskwalk
