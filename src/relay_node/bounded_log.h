#pragma once

// Writes events to standard output without ever blocking: lines wait in a
// bounded buffer, and those beyond the rate or the buffer are counted instead.

#include "core/clock.h"
#include "core/event.h"

#include <memory>
#include <string>

namespace spdlog {
class logger;
}

namespace damaskwalk {

struct BoundedLogInit
{
  std::string node; // name of this process in every line
  double linesPerSecond = 300;
  double burstLines = 3000;
  std::size_t bufferBytes = std::size_t{ 256 } * 1024;
  int descriptor = 1; // standard output
};

// Single threaded.
class BoundedLog final : public EventSink
{
public:
  BoundedLog(const BoundedLogInit& aInit, const Clock& aClock);
  ~BoundedLog() override;
  BoundedLog(const BoundedLog&) = delete;
  auto operator=(const BoundedLog&) -> BoundedLog& = delete;

  auto Write(EventLevel aLevel, std::string_view aText) -> void override;
  // Writes what the descriptor takes now.
  auto Flush() -> void;
  auto Dropped() const -> std::uint64_t { return dropped_; }

private:
  class Sink;

  auto Admit() -> bool;

  BoundedLogInit init_;
  const Clock& clock_;
  double tokens_;
  TimePoint refilledAt_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reportedDropped_ = 0;
  std::shared_ptr<Sink> sink_;
  std::shared_ptr<spdlog::logger> logger_;
};

} // namespace damaskwalk
