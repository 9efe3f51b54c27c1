#include "runtime/daemon_main.h"

auto main(int aCount, char** aArguments) -> int
{
  return damaskwalk::DaemonMain(
    "damaskwalk-agent", damaskwalk::RunAgent, aCount, aArguments);
}
