#pragma once

// Non-blocking log of events to a file descriptor. Lines wait in a bounded
// buffer; lines over the rate limit or the buffer's size are dropped and
// counted.

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
  std::string node; // process name, written in every line
  // Token bucket that limits the rate.
  double linesPerSecond = 300;
  double burstLines = 3000;
  std::size_t bufferBytes = std::size_t{ 256 } * 1024;
  int descriptor = 1; // standard output
};

// Single threaded. Sets the descriptor to non-blocking.
class BoundedLog final : public EventSink
{
public:
  BoundedLog(const BoundedLogInit& aInit, const Clock& aClock);
  ~BoundedLog() override;
  BoundedLog(const BoundedLog&) = delete;
  auto operator=(const BoundedLog&) -> BoundedLog& = delete;

  auto Write(EventLevel aLevel, std::string_view aText) -> void override;
  // Writes as many buffered lines as the descriptor accepts without blocking,
  // and logs the number of lines dropped since the last report.
  auto Flush() -> void;
  // Lines dropped so far. Those over the buffer's size are added by Flush.
  auto Dropped() const -> std::uint64_t { return dropped_; }

private:
  class Sink;

  // Takes a token for one line; false if there is none.
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
