#pragma once

// Judges a run by the records of its callers and backend servers alone.
// The records are lines of key=value pairs; docs/MEASURES.md defines each
// figure.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace damaskwalk {

// What a run showed. The figures marked "promise" must be 0.
struct Verdict
{
  std::uint64_t flowsOpened = 0;
  std::uint64_t flowsBroken = 0; // judged by the scenario, see CheckInit
  std::uint64_t requests = 0;
  std::uint64_t answered = 0;
  std::uint64_t notRun = 0;
  std::uint64_t unknown = 0;
  std::uint64_t runs = 0;
  std::uint64_t ranTwice = 0;         // promise
  std::uint64_t notRunButRan = 0;     // promise
  std::uint64_t wrongService = 0;     // promise
  std::uint64_t wrongAnswer = 0;      // promise
  std::uint64_t incompleteAnswer = 0; // promise
  std::uint64_t feedEvents = 0;
  std::uint64_t feedGaps = 0;    // promise
  std::uint64_t feedRepeats = 0; // promise
  // Largest over smallest utilisation, minus 1; nothing without enough load.
  std::optional<double> imbalance;
  // Share of the answers that went to loads named "heavy...".
  double heavyShare = 0;
  // 99th percentile of the other loads' answer times, in milliseconds.
  double lightP99Millis = 0;
  // The lines that broke a promise, first ones only.
  std::vector<std::string> evidence;
};

struct CheckInit
{
  // Broken flows that the faults of the run allow.
  std::uint64_t brokenAllowed = 0;
};

// Reads history files and judges them together.
auto CheckHistory(const std::vector<std::string>& aFiles) -> Verdict;

// Judges lines that are already in memory.
auto CheckLines(const std::vector<std::string>& aLines) -> Verdict;

// True when no promise was broken.
auto MeetsGuarantees(const Verdict& aVerdict, const CheckInit& aInit) -> bool;

// The figures as key=value pairs on one line.
auto FormatVerdict(const Verdict& aVerdict) -> std::string;

} // namespace damaskwalk
