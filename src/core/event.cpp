#include "core/event.h"

#include <atomic>

namespace damaskwalk {

namespace {

std::atomic<EventSink*> gProcessSink{ nullptr };

auto WriteToProcessSink(EventLevel aLevel, std::string_view aText) -> void
{
  if (auto* sink = gProcessSink.load()) {
    sink->Write(aLevel, aText);
  }
}

} // namespace

auto SetProcessEventSink(EventSink* aSink) -> void
{
  gProcessSink = aSink;
}

Event::Event(std::string_view aName)
{
  text_.reserve(192);
  text_ = "event=";
  text_ += aName;
}

auto Event::With(std::string_view aKey, std::string_view aValue) -> Event&&
{
  text_ += ' ';
  text_ += aKey;
  text_ += '=';
  const bool quote =
    aValue.empty() || aValue.find_first_of(" \"\n=") != std::string_view::npos;
  if (!quote) {
    text_ += aValue;
    return std::move(*this);
  }
  text_ += '"';
  for (const char letter : aValue) {
    if (letter == '"' || letter == '\\') {
      text_ += '\\';
    }
    text_ += letter == '\n' ? ' ' : letter;
  }
  text_ += '"';
  return std::move(*this);
}

auto Event::Info() const -> void
{
  WriteToProcessSink(EventLevel::Info, text_);
}

auto Event::Warn() const -> void
{
  WriteToProcessSink(EventLevel::Warning, text_);
}

} // namespace damaskwalk
