// Calls a service through the fabric twice with one idempotency key. The
// request must not run twice, so the second call returns the recorded answer.

#include "damaskwalk/damaskwalk.h"

#include <iostream>

auto main(int aCount, char** aArguments) -> int
{
  if (aCount < 3) {
    std::cout << "usage: call FABRIC SERVICE_ADDRESS\n";
    return 2;
  }
  damaskwalk::CallInit call;
  call.fabric = aArguments[1];
  call.address = aArguments[2];
  call.method = "POST";
  call.path = "/waiver";
  call.key = "example-1";
  for (int i = 0; i < 2; ++i) {
    const auto result = damaskwalk::Call(call);
    std::cout << result.outcome << " " << result.status << "\n";
  }
  return 0;
}
