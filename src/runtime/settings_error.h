#pragma once

#include <string>

namespace damaskwalk {

// An error in a settings file, or a resource that it names and that the machine
// does not provide, such as a port that is in use.
struct SettingsError
{
  std::string file;
  std::string section;
  std::string key;
  std::string problem;
};

auto ToText(const SettingsError& aError) -> std::string;

} // namespace damaskwalk
