#include "relay_node/fault_guard.h"

#include <exception>

namespace damaskwalk {

FaultGuard::FaultGuard(EventSink& aLog)
  : log_(aLog)
{
}

auto FaultGuard::Run(const std::function<void()>& aWork) -> void
{
  try {
    aWork();
  } catch (const std::exception& aProblem) {
    ++count_;
    log_.Write(
      EventLevel::Warning,
      Event("unexpected_error").With("problem", aProblem.what()).Text());
  }
}

} // namespace damaskwalk
