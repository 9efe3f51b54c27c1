#include "damaskwalk/damaskwalk.h"

#include <docopt/docopt.h>

namespace {

constexpr const char* kUsage = R"(damaskwalk-agent

Usage:
  damaskwalk-agent --settings=FILE [--check-settings]
  damaskwalk-agent (-h | --help)
  damaskwalk-agent --version

Options:
  --settings=FILE   INI file with this process's settings.
  --check-settings  Check the settings and exit: 0 when they are good, 2 if not.
  -h --help         Show this text.
  --version         Show the version.

SIGTERM starts a graceful shutdown.
)";

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  const auto options = docopt::docopt(kUsage,
                                      { aArguments + 1, aArguments + aCount },
                                      true,
                                      "damaskwalk " DAMASKWALK_VERSION);
  damaskwalk::DaemonInit init;
  init.settingsFile = options.at("--settings").asString();
  init.checkOnly = options.at("--check-settings").asBool();
  return damaskwalk::RunAgent(init);
}
