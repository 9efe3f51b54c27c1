#include "relay/held_queries.h"

#include "relay/limits.h"

namespace damaskwalk {

HeldQueries::HeldQueries(const Clock& aClock)
  : clock_(aClock)
{
}

auto HeldQueries::Add(std::uint32_t aAsker,
                      bool aWholeDomain,
                      const Packet& aPacket) -> void
{
  auto found = entries_.find(aPacket.flow);
  if (found == entries_.end()) {
    if (entries_.size() >= kMaxHeldQueries) {
      return;
    }
    HeldQuery query;
    query.packet = std::make_unique<OwnedPacket>(aPacket);
    query.since = clock_.Now();
    found = entries_.emplace(aPacket.flow, std::move(query)).first;
  }
  found->second.askers[aAsker] = aWholeDomain;
}

auto HeldQueries::Take(
  const std::function<bool(const Packet& aPacket)>& aSelects)
  -> std::vector<HeldQuery>
{
  std::vector<HeldQuery> taken;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    if (aSelects(entry->second.packet->Get())) {
      taken.push_back(std::move(entry->second));
      entry = entries_.erase(entry);
    } else {
      ++entry;
    }
  }
  return taken;
}

auto HeldQueries::Expire() -> void
{
  const auto now = clock_.Now();
  std::erase_if(entries_, [now](const auto& aEntry) {
    return now - aEntry.second.since >= kFlowQueryLifetime;
  });
}

} // namespace damaskwalk
