#pragma once

// One line of key=value pairs for each event, through glog.

#include <glog/logging.h>

#include <string>
#include <string_view>

namespace damaskwalk {

class Event
{
public:
  explicit Event(std::string_view aName);

  auto With(std::string_view aKey, std::string_view aValue) -> Event&&;
  auto With(std::string_view aKey, const char* aValue) -> Event&&
  {
    return With(aKey, std::string_view(aValue));
  }
  auto With(std::string_view aKey, const std::string& aValue) -> Event&&
  {
    return With(aKey, std::string_view(aValue));
  }
  template<class Number>
  auto With(std::string_view aKey, Number aValue) -> Event&&
  {
    return With(aKey, std::string_view(std::to_string(aValue)));
  }

  auto Text() const -> const std::string& { return text_; }
  auto Info() const -> void;
  auto Warn() const -> void;

private:
  std::string text_;
};

// Sends glog to standard error without its own prefix; each line
// starts with time= and level=.
auto StartLogging(const char* aProgram) -> void;

} // namespace damaskwalk
