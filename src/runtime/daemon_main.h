#pragma once

// Command line of a daemon: the same options for every role.

#include "damaskwalk/damaskwalk.h"

#include <docopt/docopt.h>

#include <string>

namespace damaskwalk {

// @param aName the program's name.
// @param aRun RunBalancer or RunAgent.
// @return the program's exit code.
inline auto DaemonMain(const std::string& aName,
                       int (*aRun)(const DaemonInit&),
                       int aCount,
                       char** aArguments) -> int
{
  const auto usage = aName + R"(

Usage:
  )" + aName + R"( --settings=FILE [--check-settings]
  )" + aName + R"( (-h | --help)
  )" + aName + R"( --version

Options:
  --settings=FILE   INI file with this process's settings.
  --check-settings  Check the settings and exit: 0 when they are good, 2 if not.
  -h --help         Show this text.
  --version         Show the version.

SIGTERM starts a graceful shutdown.
)";
  const auto options = docopt::docopt(usage,
                                      { aArguments + 1, aArguments + aCount },
                                      true,
                                      "damaskwalk " DAMASKWALK_VERSION);
  DaemonInit init;
  init.settingsFile = options.at("--settings").asString();
  init.checkOnly = options.at("--check-settings").asBool();
  return aRun(init);
}

} // namespace damaskwalk
