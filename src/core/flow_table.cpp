#include "core/flow_table.h"

#include <bit>

namespace damaskwalk {

namespace {

auto ShardIndex(std::uint64_t aHash) -> std::size_t
{
  return (aHash >> 56) % kFlowShards;
}

} // namespace

auto Directory::ShardOf(const FlowKey& aFlow) const -> Shard&
{
  return shards_[ShardIndex(HashOf(aFlow))];
}

auto Directory::Find(const FlowKey& aFlow) const
  -> std::optional<DirectoryEntry>
{
  auto& shard = ShardOf(aFlow);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.entries.find(aFlow);
  if (found == shard.entries.end()) {
    return std::nullopt;
  }
  return found->second;
}

auto Directory::Register(const FlowFact& aFact) -> RegisterResult
{
  auto& shard = ShardOf(aFact.flow);
  const std::lock_guard lock(shard.mutex);
  auto [found, inserted] = shard.entries.try_emplace(
    aFact.flow, DirectoryEntry{ aFact.owner, aFact.epoch });
  auto& entry = found->second;
  if (inserted || entry.owner == aFact.owner) {
    entry.epoch = std::max(entry.epoch, aFact.epoch);
    return RegisterResult::Accepted;
  }
  if (aFact.epoch <= entry.epoch) {
    return RegisterResult::Rejected;
  }
  entry = { aFact.owner, aFact.epoch };
  return RegisterResult::Moved;
}

auto Directory::Release(const FlowKey& aFlow, const Endpoint& aOwner) -> void
{
  auto& shard = ShardOf(aFlow);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.entries.find(aFlow);
  if (found != shard.entries.end() && found->second.owner == aOwner) {
    shard.entries.erase(found);
  }
}

auto Directory::FlowsOf(const Endpoint& aOwner) const -> std::vector<FlowKey>
{
  std::vector<FlowKey> flows;
  for (auto& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (const auto& [flow, entry] : shard.entries) {
      if (entry.owner == aOwner) {
        flows.push_back(flow);
      }
    }
  }
  return flows;
}

auto Directory::Size() const -> std::size_t
{
  std::size_t size = 0;
  for (auto& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    size += shard.entries.size();
  }
  return size;
}

HintTable::HintTable(std::size_t aCapacity)
{
  const auto perShard =
    std::bit_ceil(std::max<std::size_t>(aCapacity / kFlowShards, 1));
  mask_ = perShard - 1;
  for (auto& shard : shards_) {
    shard.slots.resize(perShard);
  }
}

auto HintTable::Find(const FlowKey& aFlow) const -> Endpoint
{
  const auto hash = HashOf(aFlow) | 1;
  auto& shard = shards_[ShardIndex(hash)];
  const std::lock_guard lock(shard.mutex);
  const auto& slot = shard.slots[(hash >> 8) & mask_];
  return slot.flow == hash ? slot.owner : Endpoint{};
}

auto HintTable::Set(const FlowKey& aFlow, const Endpoint& aOwner) -> void
{
  const auto hash = HashOf(aFlow) | 1;
  auto& shard = shards_[ShardIndex(hash)];
  const std::lock_guard lock(shard.mutex);
  shard.slots[(hash >> 8) & mask_] = { hash, aOwner };
}

auto HintTable::Drop(const FlowKey& aFlow) -> void
{
  const auto hash = HashOf(aFlow) | 1;
  auto& shard = shards_[ShardIndex(hash)];
  const std::lock_guard lock(shard.mutex);
  auto& slot = shard.slots[(hash >> 8) & mask_];
  if (slot.flow == hash) {
    slot = {};
  }
}

auto HintTable::DropOwner(const Endpoint& aOwner) -> std::size_t
{
  std::size_t dropped = 0;
  for (auto& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (auto& slot : shard.slots) {
      if (slot.flow != 0 && slot.owner == aOwner) {
        slot = {};
        ++dropped;
      }
    }
  }
  return dropped;
}

auto HintTable::Size() const -> std::size_t
{
  std::size_t size = 0;
  for (auto& shard : shards_) {
    const std::lock_guard lock(shard.mutex);
    for (const auto& slot : shard.slots) {
      size += slot.flow != 0 ? 1 : 0;
    }
  }
  return size;
}

auto HintTable::MemoryBytes() const -> std::size_t
{
  return kFlowShards * (mask_ + 1) * sizeof(Slot);
}

} // namespace damaskwalk
