#include "runtime/log.h"

#include <glog/logging.h>

#include <chrono>
#include <cstdio>
#include <ctime>

namespace damaskwalk {

namespace {

class GlogSink final : public EventSink
{
public:
  auto Write(EventLevel aLevel, std::string_view aText) -> void override
  {
    if (aLevel == EventLevel::Warning) {
      LOG(WARNING) << LogPrefix(aLevel) << aText;
    } else {
      LOG(INFO) << LogPrefix(aLevel) << aText;
    }
  }
};

} // namespace

auto LogPrefix(EventLevel aLevel) -> std::string
{
  const auto now = std::chrono::system_clock::now();
  const auto seconds = std::chrono::system_clock::to_time_t(now);
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
                        now.time_since_epoch())
                        .count() %
                      1000000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  char text[80];
  const auto size =
    std::snprintf(text,
                  sizeof text,
                  "time=%04d-%02d-%02dT%02d:%02d:%02d.%06dZ level=%s ",
                  parts.tm_year + 1900,
                  parts.tm_mon + 1,
                  parts.tm_mday,
                  parts.tm_hour,
                  parts.tm_min,
                  parts.tm_sec,
                  static_cast<int>(micros),
                  aLevel == EventLevel::Warning ? "warning" : "info");
  return { text, static_cast<std::size_t>(size) };
}

auto StartLogging(const char* aProgram) -> void
{
  static GlogSink sink;
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  google::InitGoogleLogging(aProgram);
  SetProcessEventSink(&sink);
}

} // namespace damaskwalk
