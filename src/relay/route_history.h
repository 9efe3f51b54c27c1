#pragma once

// Services that routes named before. A change of routes leaves open flows where
// they are, so that a flow may live in a service that its route no longer
// names.

#include "core/clock.h"
#include "core/types.h"

#include <map>
#include <optional>
#include <vector>

namespace damaskwalk {

struct RouteTable;

// A service that the route of an address named before.
struct FormerService
{
  Endpoint address;
  ServiceId service;
  Millis age{ 0 }; // since the route ceased to name it
};

// A process's history as it is sent to peers.
struct RouteHistoryReport
{
  bool complete = false;
  std::vector<FormerService> former;
};

// Remembers a service for as long as a flow of its route may stay open, and
// knows whether services may be missing. Single threaded.
class RouteHistory
{
public:
  explicit RouteHistory(const Clock& aClock);

  // Longest lifetime of a flow; older ones may be discarded.
  auto SetMaxFlowLifetime(Millis aLifetime) -> void { lifetime_ = aLifetime; }
  // The fleet starts for the first time: no flow is older than this process.
  auto SetComplete() -> void;
  // The first routes came into force.
  auto OnFirstRoutes(DocumentVersion aVersion) -> void;
  // Routes came into force in place of others. Versions between the two may
  // have been in force elsewhere: the history is incomplete until OnSuccession
  // or Merge says what they named.
  auto OnRoutes(const RouteTable& aFormer, const RouteTable& aNew) -> void;
  // A version that may have been in force elsewhere before aInForce.
  auto OnSuperseded(const RouteTable& aTable, const RouteTable& aInForce)
    -> void;
  // Every version after aSince and up to aNewest was in force here, or passed
  // to OnSuperseded.
  auto OnSuccession(DocumentVersion aSince, DocumentVersion aNewest) -> void;
  // A peer has this version. A newer one than the own may name services that
  // are not known here.
  auto OnPeerVersion(DocumentVersion aVersion) -> void;
  // @param aVersion routes of the peer that made the report. With others than
  // the own ones it is not complete: it lacks the services that they name.
  // @param aTook time since the report was made.
  // @return true if the report changed the history.
  auto Merge(const RouteHistoryReport& aReport,
             DocumentVersion aVersion,
             Millis aTook) -> bool;
  // Forgets services whose flows have ended.
  // @return true if the history changed.
  auto Tick() -> bool;

  // True if every former service that may still hold flows is known.
  auto IsComplete() const -> bool;
  auto FormerServices(const Endpoint& aAddress) const -> std::vector<ServiceId>;
  auto Report() const -> RouteHistoryReport;
  // Hash of the former services, independent of their ages; 0: there are none.
  auto Hash() const -> std::uint64_t { return hash_; }

private:
  // Every service that a version up to upTo named at any time from since on is
  // known.
  struct Coverage
  {
    TimePoint since;
    DocumentVersion upTo = 0;
  };

  auto IsWhole(const Coverage& aCoverage) const -> bool;
  auto CompleteCoverage() const -> Coverage;
  auto AddFormer(const RouteTable& aFormer, const RouteTable& aNew) -> void;
  // Nothing is known of the time before now.
  auto LoseCoverage() -> void;
  auto UpdateHash() -> void;

  const Clock& clock_;
  Millis lifetime_;
  TimePoint createdAt_;
  bool startsComplete_ = false;
  bool wasComplete_ = false;    // at the last Tick
  DocumentVersion version_ = 0; // of the routes in force; 0: none
  DocumentVersion newestHeard_ = 0;
  TimePoint newestHeardAt_;
  Coverage coverage_;                // the longest one
  std::optional<Coverage> sinceGap_; // from the last gap on
  std::uint64_t hash_ = 0;
  // By address and service: when the route ceased to name it.
  std::map<std::pair<Endpoint, ServiceId>, TimePoint> former_;
};

} // namespace damaskwalk
