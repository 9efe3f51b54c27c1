#include "relay/postponed_searches.h"

#include "relay/limits.h"

namespace damaskwalk {

OwnedPacket::OwnedPacket(const Packet& aPacket)
  : bytes_(aPacket.bytes.data(), aPacket.bytes.size())
  , packet_(aPacket)
{
  packet_.bytes = { bytes_.data(), bytes_.size() };
  const auto offset = aPacket.payload.data() - aPacket.bytes.data();
  if (!aPacket.payload.empty()) {
    packet_.payload = { bytes_.data() + offset, aPacket.payload.size() };
  }
}

PostponedSearches::PostponedSearches(const Clock& aClock)
  : clock_(aClock)
{
}

auto PostponedSearches::Add(const Packet& aPacket) -> bool
{
  const auto now = clock_.Now();
  const auto found = entries_.find(aPacket.flow);
  if (found == entries_.end() && entries_.size() >= kMaxPostponedSearches) {
    return false;
  }
  auto& entry = entries_[aPacket.flow];
  if (entry.searches == 0) {
    entry.began = now;
  }
  if (entry.packet) {
    return true; // an earlier packet of the flow already waits for its search
  }
  if (entry.searches >= kMaxSearchRetries) {
    return false;
  }
  ++entry.searches;
  entry.due = now + kSearchRetryDelay;
  entry.packet = std::make_unique<OwnedPacket>(aPacket);
  return true;
}

auto PostponedSearches::TakeDue() -> std::vector<std::unique_ptr<OwnedPacket>>
{
  const auto now = clock_.Now();
  std::vector<std::unique_ptr<OwnedPacket>> due;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    auto& postponed = entry->second;
    if (postponed.packet && now >= postponed.due) {
      due.push_back(std::move(postponed.packet));
    }
    const bool over = now - postponed.began >= kPostponedSearchRetention;
    entry = over && !postponed.packet ? entries_.erase(entry) : ++entry;
  }
  return due;
}

} // namespace damaskwalk
