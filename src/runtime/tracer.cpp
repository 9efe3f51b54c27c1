#include "runtime/tracer.h"

#include "core/types.h"

#include <boost/json.hpp>

#include <charconv>
#include <cstdio>

namespace damaskwalk {

namespace {

auto Hex(std::uint64_t aNumber) -> std::string
{
  char text[17];
  std::snprintf(
    text, sizeof text, "%016llx", static_cast<unsigned long long>(aNumber));
  return text;
}

auto ParseHex(std::string_view aText, std::uint64_t& aNumber) -> bool
{
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, aNumber, 16);
  return parsed.ec == std::errc{} && parsed.ptr == end;
}

} // namespace

auto ToTraceParent(const TraceContext& aContext) -> std::string
{
  return "00-" + Hex(aContext.traceHigh) + Hex(aContext.traceLow) + "-" +
         Hex(aContext.span) + "-01";
}

auto ParseTraceParent(std::string_view aText) -> std::optional<TraceContext>
{
  TraceContext context;
  const bool wellFormed = aText.size() == 55 && aText.starts_with("00-") &&
                          aText.ends_with("-01") &&
                          ParseHex(aText.substr(3, 16), context.traceHigh) &&
                          ParseHex(aText.substr(19, 16), context.traceLow) &&
                          ParseHex(aText.substr(36, 16), context.span);
  return wellFormed ? std::optional(context) : std::nullopt;
}

Tracer::Tracer(const std::string& aFile,
               std::string aService,
               std::uint64_t aSeed)
  : service_(std::move(aService))
  , next_(aSeed)
{
  if (!aFile.empty()) {
    file_.open(aFile, std::ios::app);
  }
}

auto Tracer::Record(const SpanInit& aSpan) -> TraceContext
{
  if (!aSpan.parent.IsSampled() || !file_.is_open()) {
    return aSpan.parent;
  }
  const std::lock_guard lock(mutex_);
  auto context = aSpan.parent;
  context.span = Mix(++next_, HashText(service_)) | 1;
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
    aSpan.start.time_since_epoch());
  boost::json::object span;
  span["traceId"] = Hex(context.traceHigh) + Hex(context.traceLow);
  span["id"] = Hex(context.span);
  if (aSpan.parent.span != 0) {
    span["parentId"] = Hex(aSpan.parent.span);
  }
  span["name"] = aSpan.name;
  span["timestamp"] = micros.count();
  span["duration"] = std::max<std::int64_t>(aSpan.duration.count(), 1);
  span["localEndpoint"] = { { "serviceName", service_ } };
  span["tags"] = { { "note", aSpan.note } };
  file_ << boost::json::serialize(span) << '\n';
  file_.flush();
  return context;
}

} // namespace damaskwalk
