#pragma once

// Writes events through glog, for the daemons that terminate callers' flows.

#include "core/event.h"

namespace damaskwalk {

// "time=2026-12-04T04:21:50.000000Z level=info ", the start of every line.
auto LogPrefix(EventLevel aLevel) -> std::string;

// Sends events through glog to standard error, without glog's own prefix.
auto StartLogging(const char* aProgram) -> void;

} // namespace damaskwalk
