#pragma once

// Flow queries of other agents that this agent cannot answer yet, because it
// has just started and has no state.

#include "core/clock.h"
#include "relay/postponed_searches.h"

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace damaskwalk {

struct HeldQuery
{
  std::unique_ptr<OwnedPacket> packet;
  TimePoint since;
  // By asker: true if it asked for the whole domain.
  std::map<std::uint32_t, bool> askers;
};

// Holds one packet per flow, for at most the lifetime of a query. Single
// threaded.
class HeldQueries
{
public:
  explicit HeldQueries(const Clock& aClock);

  // The latest query of an asker replaces its earlier ones. Ignored if the
  // table is full.
  auto Add(std::uint32_t aAsker, bool aWholeDomain, const Packet& aPacket)
    -> void;
  // Removes and returns the queries whose packets aSelects selects.
  auto Take(const std::function<bool(const Packet& aPacket)>& aSelects)
    -> std::vector<HeldQuery>;
  // Discards the queries that their askers have given up.
  auto Expire() -> void;
  auto Size() const -> std::size_t { return entries_.size(); }

private:
  const Clock& clock_;
  std::unordered_map<FlowKey, HeldQuery, KeyHash> entries_;
};

} // namespace damaskwalk
