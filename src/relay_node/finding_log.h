#pragma once

// Reports what could not be decoded of the stored routes and targets: one log
// line for each change of the findings, and counters.

#include "core/event.h"
#include "relay_node/interfaces.h"

namespace damaskwalk {

struct FindingCounts
{
  std::uint64_t defaults = 0;
  std::uint64_t skipped = 0;
  std::uint64_t refused = 0;
};

// Findings of one stored value, routes or targets. Single threaded.
class FindingLog
{
public:
  // @param aSource names the value in log lines.
  FindingLog(const char* aSource, EventSink& aLog);

  // The findings of the newest read. Reads that find the same as the one before
  // are neither logged nor counted.
  // @param aVersion version or revision of the value.
  auto Update(std::uint64_t aVersion,
              const std::vector<DecodeFinding>& aFindings) -> void;
  // Totals since the start of the process.
  auto Counts() const -> const FindingCounts& { return counts_; }
  // A value was refused as a whole, and no later one was accepted.
  auto IsRefused() const -> bool { return refused_; }

private:
  const char* source_;
  EventSink& log_;
  std::vector<DecodeFinding> last_;
  FindingCounts counts_;
  bool refused_ = false;
};

} // namespace damaskwalk
