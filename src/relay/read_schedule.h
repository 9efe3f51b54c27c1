#pragma once

// Decides when a process reads the store itself. One process reads for all; the
// others take over by rank if the state has not been confirmed for a while.

#include "relay/fleet_state.h"
#include "relay/peer_table.h"

namespace damaskwalk {

// Position of a process in the order of store readers: agents by rendezvous
// weight, then balancers, whose processors and links are smaller. Addresses
// without an agent have no place in it.
// @param aSelf the agent's packet endpoint; invalid for a balancer.
auto ReaderRank(const FleetState& aState,
                const PeerTable& aPeers,
                const Endpoint& aSelf) -> std::uint32_t;

struct StartInit
{
  std::uint32_t self = 0; // address of this VM
  // VMs that other starting processes ask for the state.
  std::vector<std::uint32_t> seeds;
  // The whole fleet starts for the first time, ahead of its callers.
  bool firstStart = false;
};

// Time that a starting process waits for its peers' state before it reads the
// store itself. A seed does not wait: the others ask it. One process in
// kProcessesPerEarlyReader waits less than the others, in case no seed answers;
// who has the state announces itself to the agents that it names.
auto StartReadDelay(const StartInit& aInit) -> Millis;

enum class ReadCause : std::uint8_t
{
  Start,    // no state yet
  Periodic, // first in the order of readers
  Takeover, // the readers before it are late
  Retry,    // the last read failed
};

constexpr std::size_t kReadCauses = 4;

auto ToText(ReadCause aCause) -> const char*;

// Single threaded.
class ReadSchedule
{
public:
  // @param aStartDelay see StartReadDelay.
  ReadSchedule(const Clock& aClock, Millis aStartDelay);

  // @param aAge time since the state was last confirmed; nothing: no state yet.
  auto IsDue(std::uint32_t aRank, std::optional<Millis> aAge) const -> bool;
  // Why a read that is due is made.
  auto CauseOf(std::uint32_t aRank, std::optional<Millis> aAge) const
    -> ReadCause;
  auto OnReadFinished(bool aSucceeded) -> void;
  // Routes are read with the first and then every second read.
  auto WantsRoutes() const -> bool;

private:
  const Clock& clock_;
  TimePoint startReadAt_;
  TimePoint nextAllowed_;
  bool failed_ = false; // the last read
  std::uint32_t reads_ = 0;
};

} // namespace damaskwalk
