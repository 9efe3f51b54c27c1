#include "relay/request_arrival.h"

#include "relay/sequence.h"

#include <algorithm>

namespace damaskwalk {

namespace {

// A sender has 16 packets in flight, so that more gaps are no plain request.
constexpr std::size_t kMaxRanges = 16;

} // namespace

auto RequestArrival::Begin() -> void
{
  request_.reset();
  arrived_.clear();
}

auto RequestArrival::OnData(std::uint32_t aSequence,
                            std::uint32_t aBytes,
                            std::optional<std::uint32_t> aRequestBytes) -> void
{
  if (aRequestBytes && !request_) {
    request_ = Range{ aSequence, aSequence + *aRequestBytes };
  }
  Insert({ aSequence, aSequence + aBytes });
}

auto RequestArrival::Insert(Range aRange) -> void
{
  std::vector<Range> merged;
  for (const auto& range : arrived_) {
    const bool touches =
      AtOrAfter(range.end, aRange.first) && AtOrAfter(aRange.end, range.first);
    if (!touches) {
      merged.push_back(range);
      continue;
    }
    aRange.first =
      AtOrAfter(aRange.first, range.first) ? range.first : aRange.first;
    aRange.end = AtOrAfter(range.end, aRange.end) ? range.end : aRange.end;
  }
  if (merged.size() < kMaxRanges) {
    merged.push_back(aRange);
  }
  arrived_ = std::move(merged);
}

auto RequestArrival::IsWhole() const -> bool
{
  return request_ && std::ranges::any_of(arrived_, [this](const auto& aRange) {
           return AtOrAfter(request_->first, aRange.first) &&
                  AtOrAfter(aRange.end, request_->end);
         });
}

} // namespace damaskwalk
