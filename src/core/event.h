#pragma once

// Structured log lines of key=value pairs, and the sink they are written to.

#include <charconv>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace damaskwalk {

enum class EventLevel : std::uint8_t
{
  Info,
  Warning,
};

// Receives complete lines. Implementations never block the caller.
class EventSink
{
public:
  virtual ~EventSink() = default;
  virtual auto Write(EventLevel aLevel, std::string_view aText) -> void = 0;
};

// Sets the sink of Event::Info and Event::Warn; without one, lines are dropped.
// The sink must stay valid until it is replaced.
auto SetProcessEventSink(EventSink* aSink) -> void;

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
  template<std::integral Number>
  auto With(std::string_view aKey, Number aValue) -> Event&&
  {
    char digits[24];
    const auto end =
      std::to_chars(digits, digits + sizeof digits, std::int64_t(aValue)).ptr;
    return With(aKey, std::string_view(digits, end));
  }
  template<std::floating_point Number>
  auto With(std::string_view aKey, Number aValue) -> Event&&
  {
    return With(aKey, std::to_string(aValue));
  }

  auto Text() const -> const std::string& { return text_; }
  auto Info() const -> void;
  auto Warn() const -> void;

private:
  std::string text_;
};

} // namespace damaskwalk
