// Checks a configuration document that has errors, and prints them.

#include "damaskwalk/damaskwalk.h"

#include <iostream>

auto main() -> int
{
  const auto problems =
    damaskwalk::CheckDocument("[document]\nteams = tower\n"
                              "[service bookings]\nowner = tower\n"
                              "addresses = 10.1.0.1\n");
  for (const auto& problem : problems) {
    std::cout << problem.section << ": " << problem.problem
              << " (valid: " << problem.valid << ")\n";
  }
  return problems.empty() ? 1 : 0;
}
