// Which services' backend servers concern a route, and which concern any.

#include "relay/fleet_state.h"

#include <algorithm>

namespace damaskwalk {

auto FleetState::ServicesHolding(const RelayRoute& aRoute) const
  -> std::vector<ServiceId>
{
  auto services = history_.FormerServices(aRoute.address);
  std::erase_if(services,
                [&aRoute](auto aService) { return aRoute.Allows(aService); });
  for (const auto& entry : aRoute.services) {
    services.push_back(entry.service);
  }
  return services;
}

auto FleetState::ServicesToSearch(const RelayRoute& aRoute) const
  -> std::vector<ServiceId>
{
  if (history_.IsComplete()) {
    return ServicesHolding(aRoute);
  }
  std::vector<ServiceId> services;
  for (const auto& [service, targets] : byService_) {
    services.push_back(service);
  }
  return services;
}

auto FleetState::MayHold(const RelayRoute& aRoute, ServiceId aService) const
  -> bool
{
  if (!history_.IsComplete()) {
    return true;
  }
  const auto services = ServicesHolding(aRoute);
  return std::ranges::find(services, aService) != services.end();
}

auto FleetState::ServicesSharingRoutes(ServiceId aService) const
  -> std::unordered_set<ServiceId, KeyHash>
{
  std::unordered_set<ServiceId, KeyHash> sharing{ aService };
  for (const auto& route : routes_.routes) {
    const auto named = ServicesHolding(route);
    if (std::ranges::find(named, aService) != named.end()) {
      sharing.insert(named.begin(), named.end());
    }
  }
  return sharing;
}

auto FleetState::IsInUse(ServiceId aService) const -> bool
{
  if (!hasRoutes_) {
    return true;
  }
  const auto history = history_.Hash();
  if (used_.routes != routes_.version || used_.history != history) {
    used_ = { routes_.version, history, {} };
    for (const auto& route : routes_.routes) {
      const auto services = ServicesHolding(route);
      used_.services.insert(services.begin(), services.end());
    }
  }
  return used_.services.empty() || used_.services.contains(aService);
}

} // namespace damaskwalk
