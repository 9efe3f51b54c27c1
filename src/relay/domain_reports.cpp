#include "relay/domain_reports.h"

#include "relay/limits.h"

#include <algorithm>

namespace damaskwalk {

namespace {

constexpr std::size_t kReportsPerDomain = 2;

auto Names(const DomainReport& aReport, std::uint32_t aAgent) -> bool
{
  return std::ranges::find(aReport.silentAgents, aAgent) !=
         aReport.silentAgents.end();
}

} // namespace

DomainReports::DomainReports(const Clock& aClock)
  : clock_(aClock)
{
}

auto DomainReports::SetMembers(
  const std::map<DomainId, std::vector<std::uint32_t>>& aMembers) -> void
{
  domainOf_.clear();
  for (const auto& [domain, agents] : aMembers) {
    domains_.try_emplace(domain, Domain{ clock_.Now(), {} });
    for (const auto agent : agents) {
      domainOf_[agent] = domain;
    }
  }
  std::erase_if(domains_, [&aMembers](const auto& aEntry) {
    return !aMembers.contains(aEntry.first);
  });
}

auto DomainReports::OnReport(const DomainReport& aReport) -> bool
{
  const auto found = domains_.find(aReport.domain);
  if (found == domains_.end()) {
    return false; // the own domain, or one without agents
  }
  const auto now = clock_.Now();
  auto& domain = found->second;
  const bool isNews =
    domain.reports.empty() ||
    now - domain.reports.front().at >= kDomainReportPeriod / 2 ||
    domain.reports.front().report.silentAgents != aReport.silentAgents;
  domain.heardAt = now;
  std::erase_if(domain.reports, [&aReport](const auto& aReceived) {
    return aReceived.report.reporter == aReport.reporter;
  });
  domain.reports.insert(domain.reports.begin(), { aReport, now });
  if (domain.reports.size() > kReportsPerDomain) {
    domain.reports.pop_back();
  }
  return isNews;
}

auto DomainReports::IsLost(const Domain& aDomain) const -> bool
{
  return clock_.Now() - aDomain.heardAt > kDomainReportLifetime;
}

auto DomainReports::IsSilent(std::uint32_t aAgent) const -> bool
{
  const auto member = domainOf_.find(aAgent);
  if (member == domainOf_.end()) {
    return false;
  }
  const auto& domain = domains_.at(member->second);
  if (IsLost(domain)) {
    return true;
  }
  const auto oldest = clock_.Now() - kDomainReportLifetime;
  bool reported = false;
  for (const auto& received : domain.reports) {
    if (received.at < oldest) {
      continue;
    }
    if (!Names(received.report, aAgent)) {
      return false;
    }
    reported = true;
  }
  return reported;
}

auto DomainReports::Balancers() const -> std::vector<std::uint32_t>
{
  std::vector<std::uint32_t> balancers;
  for (const auto& [id, domain] : domains_) {
    for (const auto& received : domain.reports) {
      balancers.insert(balancers.end(),
                       received.report.balancers.begin(),
                       received.report.balancers.end());
    }
  }
  return balancers;
}

auto DomainReports::LostDomains() const -> std::size_t
{
  return static_cast<std::size_t>(std::ranges::count_if(
    domains_, [this](const auto& aEntry) { return IsLost(aEntry.second); }));
}

} // namespace damaskwalk
