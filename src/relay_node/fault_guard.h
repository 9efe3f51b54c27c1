#pragma once

// Keeps an exception that nobody foresaw from ending the process.

#include "core/event.h"

#include <cstdint>
#include <functional>

namespace damaskwalk {

// Single threaded.
class FaultGuard
{
public:
  explicit FaultGuard(EventSink& aLog);

  // Runs the work. An exception is logged and counted, and ends only the work.
  auto Run(const std::function<void()>& aWork) -> void;
  auto Count() const -> std::uint64_t { return count_; }

private:
  EventSink& log_;
  std::uint64_t count_ = 0;
};

} // namespace damaskwalk
