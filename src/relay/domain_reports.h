#pragma once

// What is known of the agents in other failure domains, from their reports.

#include "core/clock.h"
#include "relay/peer_messages.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace damaskwalk {

// Single threaded.
class DomainReports
{
public:
  explicit DomainReports(const Clock& aClock);

  // The far agents of each domain. A domain that is new here counts as heard
  // from now on.
  auto SetMembers(
    const std::map<DomainId, std::vector<std::uint32_t>>& aMembers) -> void;
  // @return true if the report is news to the processes of this domain: it
  // differs from the last one, or that is a report period old.
  auto OnReport(const DomainReport& aReport) -> bool;

  // True if the latest reports of two processes of the agent's domain name it,
  // or the only one's. One process may be cut off from its domain. Also true if
  // the whole domain has sent no report for a while.
  auto IsSilent(std::uint32_t aAgent) const -> bool;
  // Every balancer that the latest reports name.
  auto Balancers() const -> std::vector<std::uint32_t>;
  // Domains that have sent no report for a while.
  auto LostDomains() const -> std::size_t;

private:
  struct Received
  {
    DomainReport report;
    TimePoint at;
  };
  struct Domain
  {
    TimePoint heardAt;
    std::vector<Received> reports; // newest first, at most two, two reporters
  };

  auto IsLost(const Domain& aDomain) const -> bool;

  const Clock& clock_;
  std::map<DomainId, Domain> domains_;
  std::unordered_map<std::uint32_t, DomainId> domainOf_;
};

} // namespace damaskwalk
