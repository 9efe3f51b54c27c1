#pragma once

// Spans of sampled packets and requests, one Zipkin v2 JSON object a line.

#include "core/clock.h"
#include "wire/frame.h"

#include <fstream>
#include <mutex>
#include <optional>
#include <string>

namespace damaskwalk {

struct SpanInit
{
  std::string name;
  TraceContext parent;
  WallTime start;
  std::chrono::microseconds duration{ 0 };
  // Key=value pairs of interest, such as the chosen owner and the cause.
  std::string note;
};

// W3C traceparent of a context, and back.
auto ToTraceParent(const TraceContext& aContext) -> std::string;
auto ParseTraceParent(std::string_view aText) -> std::optional<TraceContext>;

// Thread safe. Records nothing without a file.
class Tracer
{
public:
  Tracer(const std::string& aFile, std::string aService, std::uint64_t aSeed);

  // Writes a span and returns the context for what it calls.
  auto Record(const SpanInit& aSpan) -> TraceContext;

private:
  std::mutex mutex_;
  std::ofstream file_;
  std::string service_;
  std::uint64_t next_;
};

} // namespace damaskwalk
