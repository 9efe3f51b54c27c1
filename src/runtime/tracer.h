#pragma once

// Spans of sampled packets and requests, one Zipkin v2 JSON object per line.

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
  // key=value pairs that explain the span, such as the chosen owner and the
  // cause.
  std::string note;
};

// W3C traceparent header of a context.
auto ToTraceParent(const TraceContext& aContext) -> std::string;
// Nothing unless the header is well formed, of version 00 and sampled.
auto ParseTraceParent(std::string_view aText) -> std::optional<TraceContext>;

// Thread safe. Records nothing without a file.
class Tracer
{
public:
  Tracer(const std::string& aFile, std::string aService, std::uint64_t aSeed);

  // Writes a span and returns the context for its child spans.
  auto Record(const SpanInit& aSpan) -> TraceContext;

private:
  std::mutex mutex_;
  std::ofstream file_;
  std::string service_;
  std::uint64_t next_;
};

} // namespace damaskwalk
