#pragma once

#include <string>

namespace damaskwalk {

// A fault in a settings file, or in what the file asks the machine for.
struct SettingsError
{
  std::string file;
  std::string section;
  std::string key;
  std::string problem;
};

auto ToText(const SettingsError& aError) -> std::string;

} // namespace damaskwalk
