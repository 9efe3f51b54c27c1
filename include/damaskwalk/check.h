#pragma once

// Checks a run from nothing but the records of its callers and backend servers.
// The records are lines of key=value pairs; docs/MEASURES.md defines each
// figure.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace damaskwalk {

// The figures of a run. Those marked "guarantee" must be 0.
struct Verdict
{
  std::uint64_t flowsOpened = 0;
  std::uint64_t flowsBroken = 0; // the limit is CheckInit::brokenAllowed
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t notRun = 0;
  std::uint64_t unknown = 0;
  std::uint64_t runs = 0;
  std::uint64_t ranTwice = 0;         // guarantee
  std::uint64_t notRunButRan = 0;     // guarantee
  std::uint64_t wrongService = 0;     // guarantee
  std::uint64_t wrongAnswer = 0;      // guarantee
  std::uint64_t incompleteAnswer = 0; // guarantee
  std::uint64_t feedEvents = 0;
  std::uint64_t feedGaps = 0;    // guarantee
  std::uint64_t feedRepeats = 0; // guarantee
  // Largest utilisation of a backend server over the smallest in its service,
  // minus 1; nothing when no service was loaded enough to compare.
  std::optional<double> imbalance;
  // Share of the answers, 0 to 1, that went to loads named "heavy...".
  double heavyShare = 0;
  // 99th percentile of the other loads' answer times, in milliseconds.
  double lightP99Millis = 0;
  // The first lines that broke a guarantee.
  std::vector<std::string> evidence;
};

struct CheckInit
{
  // Broken flows that the faults of the run allow.
  std::uint64_t brokenAllowed = 0;
};

// Reads history files and checks them together.
auto CheckHistory(const std::vector<std::string>& aFiles) -> Verdict;

// The same for lines that are in memory.
auto CheckLines(const std::vector<std::string>& aLines) -> Verdict;

// True when every guarantee holds and no more flows broke than are allowed.
auto MeetsGuarantees(const Verdict& aVerdict, const CheckInit& aInit) -> bool;

// The figures as key=value pairs on one line.
auto FormatVerdict(const Verdict& aVerdict) -> std::string;

} // namespace damaskwalk
