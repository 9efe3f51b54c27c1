// Prints the status of processes of a running fleet, such as the version of
// the document in force. Usage: status ADDRESS...

#include "damaskwalk/damaskwalk.h"

#include <iostream>

auto main(int aCount, char** aArguments) -> int
{
  for (int i = 1; i < aCount; ++i) {
    damaskwalk::QueryInit query;
    query.address = aArguments[i];
    const auto result = damaskwalk::QueryStatus(query);
    std::cout << (result.ok ? result.json : "no reply") << "\n";
  }
  return 0;
}
