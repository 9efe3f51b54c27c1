#pragma once

// Tables of flow owners: the directory and the balancers' hints.

#include "core/clock.h"
#include "core/config.h"
#include "core/types.h"
#include "wire/messages.h"

#include <array>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace damaskwalk {

struct DirectoryEntry
{
  Endpoint owner;
  std::uint32_t epoch = 0;
};

enum class RegisterResult : std::uint8_t
{
  Accepted, // new entry, or the same owner again
  Moved,    // the owner was replaced by one with a higher epoch
  Rejected, // another owner is entered with the same or a higher epoch
};

// Table of a directory agent: the owner of each flow. The owner with the higher
// epoch wins; on equal epochs the first one stays. Sharded and thread safe.
class Directory
{
public:
  auto Find(const FlowKey& aFlow) const -> std::optional<DirectoryEntry>;
  auto Register(const FlowFact& aFact) -> RegisterResult;
  // Removes the entry if it still names this owner.
  auto Release(const FlowKey& aFlow, const Endpoint& aOwner) -> void;
  // Every flow that is registered to the owner in this directory.
  auto FlowsOf(const Endpoint& aOwner) const -> std::vector<FlowKey>;
  auto Size() const -> std::size_t;

private:
  struct Shard
  {
    mutable std::mutex mutex;
    std::unordered_map<FlowKey, DirectoryEntry, KeyHash> entries;
  };
  auto ShardOf(const FlowKey& aFlow) const -> Shard&;

  mutable std::array<Shard, kFlowShards> shards_;
};

// Table of a balancer: a bounded, direct-mapped cache of flow owners. An entry
// takes 24 bytes; a flow that maps to an occupied entry replaces it. Sharded
// and thread safe.
class HintTable
{
public:
  // @param aCapacity entries in all shards together; the entries per shard are
  // rounded up to a power of two.
  explicit HintTable(std::size_t aCapacity = kMaxHints);

  // @return the owner; an invalid endpoint when the flow has no entry.
  auto Find(const FlowKey& aFlow) const -> Endpoint;
  auto Set(const FlowKey& aFlow, const Endpoint& aOwner) -> void;
  auto Drop(const FlowKey& aFlow) -> void;
  // @return the number of hints removed.
  auto DropOwner(const Endpoint& aOwner) -> std::size_t;
  auto Size() const -> std::size_t;
  auto MemoryBytes() const -> std::size_t;

private:
  struct Slot
  {
    std::uint64_t flow = 0; // hash of the flow; 0: empty
    Endpoint owner;
  };
  struct Shard
  {
    mutable std::mutex mutex;
    std::vector<Slot> slots;
  };

  mutable std::array<Shard, kFlowShards> shards_;
  std::size_t mask_ = 0;
};

} // namespace damaskwalk
