#pragma once

// Directory and hints: which agent owns a flow.

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
  Accepted, // new, or the same owner again
  Moved,    // the owner changed to a higher epoch
  Rejected, // the directory knows a newer owner
};

// The directory agent's part: flow to owner, in shards.
// A higher epoch wins; on equal epochs the first owner stays.
class Directory
{
public:
  auto Find(const FlowKey& aFlow) const -> std::optional<DirectoryEntry>;
  auto Register(const FlowFact& aFact) -> RegisterResult;
  // Drops the entry when it still names this owner.
  auto Release(const FlowKey& aFlow, const Endpoint& aOwner) -> void;
  // Every flow that the owner has here.
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

// The balancer's part: a bounded cache of hints in a direct-mapped table.
// A hint costs 24 bytes; a colliding flow replaces the older one.
class HintTable
{
public:
  // @param aCapacity entries in all, rounded up to a power of two.
  explicit HintTable(std::size_t aCapacity = kMaxHints);

  auto Find(const FlowKey& aFlow) const -> Endpoint;
  auto Set(const FlowKey& aFlow, const Endpoint& aOwner) -> void;
  auto Drop(const FlowKey& aFlow) -> void;
  auto DropOwner(const Endpoint& aOwner) -> std::size_t;
  auto Size() const -> std::size_t;
  auto MemoryBytes() const -> std::size_t;

private:
  struct Slot
  {
    std::uint64_t flow = 0; // 0: empty
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
