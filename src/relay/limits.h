#pragma once

// Limits and periods of the pass-through relay, with the reason for each. The
// platform guarantees that they are derived from are in docs/PLATFORM.md.

#include "core/clock.h"

#include <cstddef>
#include <cstdint>

namespace damaskwalk {

// A vanished target counts as gone after this time. After a store outage,
// lapsed registrations are renewed within it.
constexpr Millis kLapsedTargetGracePeriod{ 2000 };
// An agent that is heard for this long without a registration is searched. A
// server that has just started registers within it; packets of flows that it
// does not hold must not reach it before it is ready.
constexpr Millis kUnregisteredAgentDelay{ 2000 };
// A deregistered backend server may hold flows for as long as it drains.
constexpr Millis kGoneTargetRetention{ 40000 };

// After a restore of the store, an evacuation that it lost holds for this long,
// as its operator writes it again. Ends within the time by which the end of an
// evacuation has to be in force.
constexpr Millis kLostEvacuationHold{ 3000 };

// Heartbeats between relays. The period grows with the number of targets that a
// process hears, so that it sends at most 100 heartbeats a second.
constexpr Millis kRelayHeartbeatPeriod{ 500 };
constexpr Millis kHeartbeatPeriodPerTarget{ 10 };
// Up to this many targets, every process exchanges heartbeats with all agents;
// beyond it, with the agents of its failure domain.
constexpr std::size_t kFullMeshTargets = 100;
// Most agents that a process exchanges heartbeats with in a failure domain, and
// the least, made up from other domains if there are not enough.
constexpr std::size_t kMaxNearAgents = 128;
constexpr std::size_t kMinNearAgents = 8;
// Period in which a failure domain reports to each other one, and the number of
// its processes that do so, on average.
constexpr Millis kDomainReportPeriod{ 500 };
constexpr double kDomainReporters = 2.0;
// A report is believed for this long. A domain that sent none for as long is
// lost, or cut off.
constexpr Millis kDomainReportLifetime{ 3000 };
// A far agent that stopped is believed to be down for this long; after that its
// domain's reports tell.
constexpr Millis kFarStopLifetime{ 2500 };
// Far agents whose load a balancer asks for in a heartbeat period, and for how
// long it believes the answer.
constexpr std::size_t kFarProbesPerPeriod = 4;
constexpr Millis kFarLoadLifetime{ 1500 };
// Until a process has heard more agents than a full mesh has, it asks this many
// far ones in a heartbeat period that it never heard. One that leaves several
// probes unanswered does not count as an agent.
constexpr std::size_t kUnheardProbesPerPeriod = 64;
constexpr std::uint32_t kMaxUnansweredProbes = 3;
// Agents of each other failure domain that are told of a read of the store.
constexpr std::size_t kFarAnnouncements = 3;
// Most targets that a stopping agent tells so itself.
constexpr std::size_t kMaxStopAnnouncements = 1024;
// A confirmation of the state from another domain is passed on within the own
// one if the state was older than this.
constexpr Millis kPassOnAge{ 250 };
// Newer state that is seen at a process of another domain is pulled from there
// if nobody in the own one has it after this time.
constexpr Millis kFarPullDelay{ 200 };
// A peer is silent after three missed heartbeats.
constexpr std::uint32_t kMaxMissedHeartbeats = 3;
// An agent replies at once to the first heartbeat of a near process.
constexpr Millis kHeartbeatReplyTimeout{ 250 };
// An address that was not heard for this long since heartbeats were expected
// from it has no agent. Longer than the restart of an agent takes.
constexpr Millis kVacantAddressTime{ 5000 };
// Most first packets that a balancer sends to an agent that has reported no
// load, while others accept them.
constexpr std::uint32_t kMaxUnheardPlacements = 4;
// Shortest time between load reports to one balancer; an agent sends them in
// response to first packets.
constexpr Millis kMinLoadReportPeriod{ 30 };
// An agent is silent if it sends no load report for this long after a first
// packet.
constexpr Millis kLoadReportTimeout{ 180 };

// Period of the first-ranked store reader. Every process must learn of a change
// within three seconds, most of which is left for spreading it.
constexpr Millis kStoreReadPeriod{ 400 };
// Another process reads when the state was not confirmed for this long; the
// delay grows with the process's rank.
constexpr Millis kStoreTakeoverDelay{ 900 };
constexpr Millis kStoreTakeoverDelayPerRank{ 120 };
constexpr std::uint32_t kMaxStoreTakeoverRank = 10;
// Wait after a failed read. The store counts refused calls as well.
constexpr Millis kStoreRetryDelay{ 800 };
// Shortest time between two reads of one process, also when a read renewed
// nothing.
constexpr Millis kMinStoreReadGap{ 200 };
// A starting process asks its seeds first and reads the store after this time,
// or up to twice as late. At the first start of a fleet nobody calls yet.
constexpr Millis kFirstStartReadDelay{ 1500 };
constexpr Millis kRestartReadDelay{ 40 };
// After a loss of power the store's link carries the state to every process
// that reads it. Most wait for those that read early.
constexpr Millis kLateRestartReadDelay{ 150 };
constexpr std::uint64_t kProcessesPerEarlyReader = 8;
// Routes change less often than targets: every second read asks for them.
constexpr std::uint32_t kReadsPerRouteRead = 2;

// State is pulled from one peer at a time. A reply takes a few round trips;
// after this delay another peer is asked as well.
constexpr Millis kNextPullDelay{ 100 };
constexpr std::size_t kMaxConcurrentPulls = 4;
// The same for a process without state. Seeds that do not run leave one of the
// concurrent pulls to peers that announce themselves.
constexpr Millis kNextUrgentPullDelay{ 30 };
// A process that has started announces itself again to peers that it has not
// heard, with this period and for this long: after a loss of power they start
// within a second of each other.
constexpr Millis kReannouncePeriod{ 100 };
constexpr Millis kReannounceTime{ 1000 };

// Changes of the targets that a process can pass on one by one: those of the
// last minutes.
constexpr std::size_t kMaxTargetLogSteps = 64;
constexpr std::size_t kMaxTargetLogIds = 4096;

// Flow tables. A balancer entry costs about 40 bytes, an agent's about 100.
constexpr std::size_t kMaxBalancerFlows = 1U << 18;
constexpr std::size_t kMaxAgentFlows = 1U << 16;
constexpr std::size_t kMaxDirectoryFlows = 1U << 17;
// Late retransmissions of a finished flow arrive within 1.6 s.
constexpr Millis kFinishedFlowRetention{ 4000 };
// Added to the configured idle timeout before an entry is dropped.
constexpr Millis kIdleTimeoutMargin{ 2000 };
// Callers close a flow after this time at the latest, if the settings state no
// other.
constexpr Millis kDefaultMaxFlowLifetime{ 60000 };
// At the first start of a fleet, callers open no flows within this time after
// the processes start.
constexpr Millis kFirstStartTime{ 5000 };
// Most services that a route is split over.
constexpr std::size_t kMaxServicesPerRoute = 1024;
// Most former services that a process keeps and sends.
constexpr std::size_t kMaxFormerServices = 65536;
// Shortest time between two pulls of a peer's route history.
constexpr Millis kHistoryPullPeriod{ 1000 };
// Idle timeout until a configuration states one.
constexpr Millis kDefaultIdleTimeout{ 15000 };
// Agents repeat the registration of long flows, so that a restarted directory
// agent gets its records back.
constexpr Millis kFlowRegistrationPeriod{ 4000 };
// Keeps a registration message below 1,400 bytes.
constexpr std::size_t kMaxFlowsPerRegistration = 100;

// A backend server answers a first packet within about a millisecond. After
// this timeout it counts as not responding and another one is tried.
constexpr Millis kFlowOpenTimeout{ 60 };
// A backend server gets at most twice as many requests as it has slots, and a
// few that are in transit. Its own queue holds four times its slots; it resets
// the requests beyond that.
constexpr std::uint32_t kMaxRequestsPerSlot = 2;
constexpr std::uint32_t kMaxRequestsInTransit = 2;
// Two round trips between caller and agent: the answer to the first packet, the
// request after it, and the transit of the answer.
constexpr Millis kFirstRequestDelay{ 12 };
// An opened flow counts as a request in flight for at most this long until its
// first request begins to arrive, and then again until the whole is there.
constexpr Millis kFirstRequestTimeout{ 100 };
// Callers give up on a first packet after 1.4 s; opening takes a round trip.
constexpr Millis kMaxFirstPacketAge{ 1300 };
// Callers retransmit a first packet twice, after these times.
constexpr std::uint32_t kMaxFirstPacketRetransmissions = 2;
constexpr Millis kFirstRetransmissionDelay{ 200 };
constexpr Millis kSecondRetransmissionDelay{ 600 };
// Time after which the answer on a route that states no timeout is of no use.
constexpr Millis kDefaultRouteTimeout{ 5000 };
// Latency objective of routes that state none.
constexpr Millis kDefaultLatencyObjective{ 250 };
// Admissions per caller are counted in two windows of this length that
// alternate, so that a caller's share recovers within a second.
constexpr Millis kCallerShareWindow{ 500 };
// Admissions are counted for this long after a first packet waited: both
// windows.
constexpr Millis kCallerShareMemory = 2 * kCallerShareWindow;
// Counters per window, about 2 KB. A caller that has more than 2/128 of the
// admissions is recognized for certain, however many callers there are.
constexpr std::size_t kCallerShareCounters = 128;
// While several priorities wait, one in this many admissions goes to the less
// urgent ones: 12.5%, which leaves the most urgent 87.5% of the capacity.
constexpr std::uint32_t kAdmissionsPerFloor = 8;
// Most agents that a first packet may visit.
constexpr std::uint8_t kMaxFirstPacketHops = 6;
// Most agents that a later packet may visit while its flow is searched for.
constexpr std::uint8_t kMaxSearchHops = 120;
// A search that ended because the agents' views differed is retried after this
// delay: state spreads in a few round trips. The retries of a flow are counted
// over the retention time; a packet after that starts a new count.
constexpr Millis kSearchRetryDelay{ 100 };
constexpr std::uint32_t kMaxSearchRetries = 3;
constexpr Millis kPostponedSearchRetention{ 1000 };
// Limits the held datagrams to 1.5 MB.
constexpr std::size_t kMaxPostponedSearches = 1024;
// Each end of a flow has at most 16 packets of 1,200 bytes without an
// acknowledgement.
constexpr std::uint32_t kMaxBytesInFlight = 16 * 1200;
// Between packets of one flow a caller's acknowledgement moves by what its
// server has in flight, and packets may overtake each other.
constexpr std::int64_t kMaxAcknowledgementStep =
  4 * std::int64_t{ kMaxBytesInFlight };
// Wait before new first packets go to a backend server that left some
// unanswered.
constexpr Millis kUnresponsiveRetryDelay{ 500 };
// Wait before new first packets go to a backend server that refused one.
constexpr Millis kRefusedRetryDelay{ 100 };
// Consecutive unanswered first packets that make a backend server unresponsive.
constexpr std::uint32_t kUnresponsiveThreshold = 2;

// A lost flow of a route with more agents than this is asked for at all of them
// at once; with fewer, its packets walk along them.
constexpr std::size_t kMaxWalkedAgents = 16;
// Most flows that an agent asks for at a time; each holds a datagram.
constexpr std::size_t kMaxFlowQueries = 1024;
// Those that have not answered are asked again after this time, then after
// twice and four times as long and so on. Processes that lost power together
// start within a second.
constexpr Millis kFlowQueryRound{ 100 };
constexpr Millis kMaxFlowQueryRound{ 400 };
// Rounds in which an agent is waited for whose target is no longer registered;
// its VM is mostly gone as well.
constexpr std::uint32_t kMaxRoundsForGone = 1;
constexpr Millis kFlowQueryLifetime{ 3000 };
// Most flows whose queries a starting agent holds until it has state. About
// 1,600 flows were searched for at once after a power failure; limits the held
// datagrams to 3 MB.
constexpr std::size_t kMaxHeldQueries = 2048;
// A domain answers for itself after this time at the latest, within which a
// backend server returns a packet.
constexpr Millis kDomainAnswerTimeout{ 60 };
// Keeps an answer below the size of a datagram.
constexpr std::size_t kMaxAgentsPerAnswer = 256;
// Fewer missing agents of a domain are asked directly.
constexpr std::size_t kMinAgentsForDomainQuery = 3;

// Packets held while a starting process has no state yet.
constexpr std::size_t kMaxWaitingPackets = 512;
// Callers have retransmitted a held packet by then.
constexpr Millis kWaitingPacketRetention{ 1000 };

// Ejection of a backend server that answers badly while its health check
// succeeds. Three failures in a row, or a third of about the last ten answers,
// are unlikely to be chance.
constexpr std::uint32_t kConsecutiveFailuresThreshold = 3;
constexpr double kFailureShareThreshold = 0.3;
constexpr std::uint32_t kMinFailureShareSamples = 10;
// The ejection time doubles with each new ejection, up to the maximum.
constexpr Millis kFirstEjectionTime{ 1000 };
constexpr Millis kMaxEjectionTime{ 8000 };
// After the ejection, one first packet per period tries the server; this many
// successful answers in a row restore it.
constexpr Millis kTrialPeriod{ 250 };
constexpr std::uint32_t kRestoreSuccessThreshold = 3;
// Ejections are ignored while they would leave less than this share of a
// service's open targets.
constexpr double kMinHealthyShare = 0.5;
// Balancers send one in this many first packets of a service to a server on
// trial.
constexpr std::uint32_t kFlowsPerTrial = 50;

// Placement. Crossing failure domains costs a round trip and bytes; a backend
// server in another domain must save at least this much.
constexpr std::chrono::microseconds kCrossDomainCost{ 8000 };
// Assumed service time until requests were measured.
constexpr std::chrono::microseconds kDefaultServiceTime{ 30000 };
// Slowdown of a backend server that has just started.
constexpr double kColdFactor = 1.6;
// Random candidates compared in the own failure domain and in the others. Two
// give most of the gain of comparing all; three cover small domains whole.
constexpr std::size_t kMaxNearCandidates = 3;
constexpr std::size_t kMaxFarCandidates = 2;

// Moving a first packet to an agent that answers it earlier. Random agents
// compared in the own failure domain, and in all others together. All agents
// that compare everything would choose the same one.
constexpr std::size_t kMaxMoveCandidates = 3;
// Most targets drawn to find them, so that the cost does not grow with the
// fleet. In a fleet of 12 failure domains, 32 draws find an agent of the own
// domain in 94% of the cases.
constexpr std::size_t kMaxMoveDraws = 32;
// A move must save at least the latency objective divided by this: estimates
// from reports are inaccurate, and each move costs a hop.
constexpr std::int64_t kMinMoveGainDivisor = 4;
// Older load reports do not count. Agents report every 0.5 to 1 s.
constexpr Millis kMaxMoveReportAge{ 1000 };
// A report may have been sent, or be a repetition of one that was, this long
// before it arrived, and lack first packets that were moved since.
constexpr Millis kMoveReportDelay{ 50 };
// Reports with greater values are invalid. No service takes a minute for a
// request, and no agent's tables hold as many.
constexpr std::chrono::microseconds kMaxReportedServiceTime{ 60000000 };
constexpr std::uint32_t kMaxReportedInFlight = 100000;
constexpr std::uint32_t kMaxReportedPerMille = 1000;
// Longest duration in a message; the age of a state that was never read.
constexpr Millis kMaxReportedDuration = std::chrono::hours{ 24 };
// Most moves that an agent remembers; it moves none beyond that. They are
// forgotten after kMaxFirstPacketAge; each costs about 100 bytes.
constexpr std::size_t kMaxRememberedMoves = 4096;

} // namespace damaskwalk
