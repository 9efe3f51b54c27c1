// Metrics of a relay process in the Prometheus text format.

#include "relay_node/answer_histogram.h"
#include "relay_node/relay_process.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

namespace damaskwalk {

namespace {

class MetricList
{
public:
  auto Counter(const std::string& aName, const char* aHelp, double aValue)
    -> void
  {
    auto& metric = Add(aName, aHelp, prometheus::MetricType::Counter);
    metric.counter.value = aValue;
  }
  auto Gauge(const std::string& aName, const char* aHelp, double aValue) -> void
  {
    auto& metric = Add(aName, aHelp, prometheus::MetricType::Gauge);
    metric.gauge.value = aValue;
  }
  auto Histogram(const std::string& aName,
                 const char* aHelp,
                 const prometheus::ClientMetric& aValue) -> void
  {
    Add(aName, aHelp, prometheus::MetricType::Histogram) = aValue;
  }
  auto Text() const -> std::string
  {
    return prometheus::TextSerializer().Serialize(families_);
  }

private:
  auto Add(const std::string& aName,
           const char* aHelp,
           prometheus::MetricType aType) -> prometheus::ClientMetric&
  {
    prometheus::MetricFamily family;
    family.name = "damaskwalk_" + aName;
    family.help = aHelp;
    family.type = aType;
    family.metric.emplace_back();
    families_.push_back(std::move(family));
    return families_.back().metric.back();
  }

  std::vector<prometheus::MetricFamily> families_;
};

auto AddBalancer(MetricList& aList, const BalancerRelay& aRelay) -> void
{
  const auto& counters = aRelay.Counters();
  const auto count =
    [&aList](const char* aName, const char* aHelp, auto aValue) {
      aList.Counter(aName, aHelp, double(aValue));
    };
  count("packets_total", "Packets from callers", counters.packets);
  count("flows_placed_total", "First packets placed", counters.placed);
  count("flows_placed_again_total",
        "Copies of first packets sent to another agent",
        counters.placedAgain);
  count("packets_direct_total", "Packets of known flows", counters.direct);
  count("packets_searched_total",
        "Packets sent to a directory agent",
        counters.searched);
  count("flows_located_total", "Flows learnt from agents", counters.located);
  count("resets_total", "Flows refused by a reset", counters.resets);
  count("packets_no_route_total", "Packets of no route", counters.noRoute);
  count("packets_no_agent_total", "Packets without an agent", counters.noAgent);
  count("packets_strayed_total",
        "Packets of relays that took this balancer for an agent",
        counters.strayed);
  aList.Gauge("flows", "Flow entries", double(aRelay.Flows()));
}

auto AddAgent(MetricList& aList, AgentRelay& aRelay) -> void
{
  const auto& counters = aRelay.Counters();
  const auto count =
    [&aList](const char* aName, const char* aHelp, auto aValue) {
      aList.Counter(aName, aHelp, double(aValue));
    };
  count("packets_delivered_total",
        "Packets to the backend server",
        counters.delivered);
  count("packets_to_callers_total", "Packets to callers", counters.toCallers);
  count("openings_queued_total",
        "First packets that waited for room",
        counters.queued);
  count("openings_expired_total",
        "First packets refused in the queue, as they were too late",
        counters.expired);
  count(
    "openings_deferred_total",
    "First packets left to their next copy, as their wait would be too long",
    counters.deferred);
  count("openings_waited_for_share_total",
        "First packets that later ones overtook, as their caller had more than "
        "its share",
        counters.waitedForShare);
  count("openings_floor_total",
        "First packets admitted before more urgent ones, so that none waits "
        "indefinitely",
        counters.floorAdmissions);
  count("openings_given_up_total",
        "First packets refused because their wait would be too long",
        counters.givenUp);
  count("flows_redirected_total",
        "First packets passed on to another agent",
        counters.redirected);
  count("openings_evacuated_total",
        "First packets passed on or refused, as the domain is evacuated",
        counters.evacuated);
  count("openings_moved_total",
        "First packets passed on so that they are answered in time",
        counters.moved);
  count("packets_followed_total",
        "Packets passed on by a directory record",
        counters.followed);
  count("packets_searched_total",
        "Packets passed on without a record",
        counters.searched);
  count("searches_ended_total",
        "Packets whose flow no agent has",
        counters.searchEnded);
  count("flow_queries_total",
        "Questions of other agents for a flow",
        counters.asked);
  count("packets_returned_total",
        "Packets that the backend server refused",
        counters.returned);
  count("resets_total", "Flows reset", counters.resets);
  count("requests_total", "Requests delivered", counters.requests);
  count("failures_total", "Answers with a server error", counters.failures);
  const auto report = aRelay.Report();
  aList.Gauge("flows", "Flow entries", double(aRelay.Flows()));
  aList.Gauge("records", "Directory records", double(aRelay.Records()));
  aList.Gauge("requests_in_flight", "Requests unanswered", report.inFlight);
  aList.Gauge("service_seconds",
              "Mean time of a request in a slot",
              report.serviceMicros / 1e6);
}

auto AddFindings(MetricList& aList,
                 const char* aSource,
                 const FindingLog& aFindings) -> void
{
  const auto source = std::string(aSource);
  const auto& counts = aFindings.Counts();
  aList.Counter(source + "_defaults_used_total",
                "Fields replaced by their default, once a version",
                double(counts.defaults));
  aList.Counter(source + "_skipped_total",
                "Entries that could not be used, once a version",
                double(counts.skipped));
  aList.Counter(source + "_refused_total",
                "Versions refused as a whole",
                double(counts.refused));
  aList.Gauge(source + "_refused",
              "1 while the newest version read is refused",
              aFindings.IsRefused() ? 1 : 0);
}

auto AddTraffic(MetricList& aList, const PeerTraffic& aTraffic) -> void
{
  for (std::size_t i = 0; i < kTrafficKinds; ++i) {
    const auto kind = static_cast<TrafficKind>(i);
    const auto& sent = aTraffic.Sent(kind);
    const auto name = std::string("sent_") + ToText(kind);
    aList.Counter(name + "_messages_total",
                  "Messages sent to relays",
                  double(sent.messages));
    aList.Counter(name + "_near_bytes_total",
                  "Bytes sent to relays of the own failure domain",
                  double(sent.near));
    aList.Counter(name + "_far_bytes_total",
                  "Bytes sent to relays of other failure domains",
                  double(sent.far));
  }
}

} // namespace

auto RelayProcess::MetricsText() const -> std::string
{
  MetricList list;
  if (balancer_) {
    AddBalancer(list, *balancer_);
  } else {
    AddAgent(list, *agent_);
    list.Histogram("answer_seconds",
                   "From a request's last byte to the first of its answer",
                   answerHistogram_->Collect());
  }
  const auto digest = state_.Digest();
  list.Gauge("routes_version", "Configuration in force", double(digest.routes));
  list.Gauge("route_history_complete",
             "1 if every service is known that routes named before",
             digest.historyComplete ? 1 : 0);
  list.Gauge(
    "targets_revision", "Targets in force", double(digest.targets.number));
  list.Gauge("evacuated_domains",
             "Failure domains whose servers get no new flows",
             double(state_.EvacuatedDomains().size()));
  list.Gauge("evacuations_revision",
             "Revision of the store at which evacuations were read",
             double(state_.CurrentEvacuations().revision.number));
  list.Gauge("state_age_seconds",
             "Since the store confirmed the state",
             double(digest.age.count()) / 1000.0);
  list.Gauge("peers", "Relays heard from", double(peers_.Peers().size()));
  list.Counter(
    "store_calls_total", "Calls to the store", double(init_.source.Calls()));
  list.Gauge("store_era",
             "Highest known era of the store; rises when it is restored",
             double(state_.StoreEra()));
  list.Gauge("targets_era",
             "Era of the store in which the targets in force were read",
             double(digest.targets.era));
  list.Counter("store_reads_ignored_total",
               "Reads that were older than the state in force",
               double(ignoredReads_));
  list.Counter("unexpected_errors_total",
               "Exceptions that ended the handling of one message or tick",
               double(guard_.Count()));
  list.Counter(
    "garbage_packets_total", "Unreadable packets", double(malformedPackets_));
  list.Counter("packets_to_self_total",
               "Dropped packets that were addressed to this process",
               double(packetsToSelf_));
  list.Counter("garbage_peer_messages_total",
               "Unreadable messages of peers",
               double(malformedPeerMessages_));
  list.Counter("unknown_peer_messages_total",
               "Messages of peers of an unknown kind",
               double(unknownPeerMessages_));
  for (std::size_t i = 0; i < kReadCauses; ++i) {
    const auto* cause = ToText(static_cast<ReadCause>(i));
    list.Counter(std::string("store_calls_") + cause + "_total",
                 "Calls to the store of reads with this cause",
                 double(storeCalls_.at(i)));
  }
  AddTraffic(list, traffic_);
  AddFindings(list, "routes", routeFindings_);
  AddFindings(list, "targets", targetFindings_);
  list.Counter("log_lines_dropped_total",
               "Log lines over the rate",
               double(init_.log.Dropped()));
  return list.Text();
}

} // namespace damaskwalk
