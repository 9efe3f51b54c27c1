#include "damaskwalk/check.h"

#include <docopt/docopt.h>

#include <iostream>

namespace {

constexpr const char* kUsage = R"(damaskwalk-check: checks the records of a run

Usage:
  damaskwalk-check [--broken-allowed=N] [--evidence] HISTORY...
  damaskwalk-check (-h | --help)

Options:
  --broken-allowed=N  Broken flows that the run may have [default: 0].
  --evidence          Print the lines that violate a guarantee.
  -h --help           Show this text.

Exit codes: 0 every guarantee holds, 1 at least one is violated.
)";

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  auto options =
    docopt::docopt(kUsage, { aArguments + 1, aArguments + aCount }, true);
  const auto verdict =
    damaskwalk::CheckHistory(options["HISTORY"].asStringList());
  damaskwalk::CheckInit init;
  init.brokenAllowed =
    static_cast<std::uint64_t>(options["--broken-allowed"].asLong());
  const bool holds = damaskwalk::MeetsGuarantees(verdict, init);
  std::cout << "event=check holds=" << (holds ? 1 : 0) << ' '
            << damaskwalk::FormatVerdict(verdict) << "\n";
  if (options["--evidence"].asBool()) {
    for (const auto& line : verdict.evidence) {
      std::cout << "event=evidence " << line << "\n";
    }
  }
  return holds ? 0 : 1;
}
