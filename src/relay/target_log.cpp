#include "relay/target_log.h"

#include "relay/limits.h"

#include <algorithm>
#include <map>
#include <set>

namespace damaskwalk {

namespace {

auto ById(const TargetSet& aSet) -> std::map<std::string, const RelayTarget*>
{
  std::map<std::string, const RelayTarget*> targets;
  for (const auto& target : aSet.targets) {
    targets[target.id] = &target;
  }
  return targets;
}

// Ids of the targets that differ between two sets.
auto ChangedIds(const TargetSet& aBefore, const TargetSet& aAfter)
  -> std::vector<std::string>
{
  std::vector<std::string> ids;
  auto before = ById(aBefore);
  for (const auto& target : aAfter.targets) {
    const auto found = before.find(target.id);
    if (found == before.end()) {
      ids.push_back(target.id);
      continue;
    }
    if (!found->second->HasSameRegistration(target)) {
      ids.push_back(target.id);
    }
    before.erase(found);
  }
  for (const auto& [id, target] : before) {
    ids.push_back(id);
  }
  return ids;
}

} // namespace

auto TargetLog::Add(const TargetSet& aSet) -> void
{
  const auto hash = aSet.Hash();
  if (!steps_.empty() && steps_.back().hash == hash) {
    current_ = aSet; // ports may have become known
    return;
  }
  auto ids = ChangedIds(current_, aSet);
  ids_ += ids.size();
  steps_.push_back({ hash, std::move(ids) });
  current_ = aSet;
  while (steps_.size() > 1 &&
         (steps_.size() > kMaxTargetLogSteps || ids_ > kMaxTargetLogIds)) {
    ids_ -= steps_.front().ids.size();
    steps_.pop_front();
  }
}

auto TargetLog::Since(std::uint64_t aHash) const -> std::optional<TargetDelta>
{
  // A set may have come into force more than once; its latest time counts.
  const auto from =
    std::ranges::find(steps_.rbegin(), steps_.rend(), aHash, &Step::hash);
  if (from == steps_.rend()) {
    return std::nullopt;
  }
  std::set<std::string> ids;
  for (auto step = from.base(); step != steps_.end(); ++step) {
    ids.insert(step->ids.begin(), step->ids.end());
  }
  TargetDelta delta;
  delta.fromHash = aHash;
  delta.toHash = steps_.back().hash;
  delta.revision = current_.revision;
  const auto targets = ById(current_);
  for (const auto& id : ids) {
    const auto found = targets.find(id);
    if (found == targets.end()) {
      delta.removed.push_back(id);
    } else {
      delta.changed.push_back(*found->second);
    }
  }
  return delta;
}

auto ApplyDelta(const TargetSet& aSet, const TargetDelta& aDelta)
  -> std::optional<TargetSet>
{
  if (aSet.Hash() != aDelta.fromHash) {
    return std::nullopt;
  }
  std::map<std::string, RelayTarget> targets;
  for (const auto& target : aSet.targets) {
    targets[target.id] = target;
  }
  for (const auto& id : aDelta.removed) {
    targets.erase(id);
  }
  for (const auto& target : aDelta.changed) {
    targets[target.id] = target;
  }
  TargetSet result;
  result.revision = aDelta.revision;
  for (auto& [id, target] : targets) {
    result.targets.push_back(std::move(target));
  }
  return result.Hash() == aDelta.toHash ? std::optional(std::move(result))
                                        : std::nullopt;
}

} // namespace damaskwalk
