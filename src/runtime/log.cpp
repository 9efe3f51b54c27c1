#include "runtime/log.h"

#include <chrono>
#include <ctime>
#include <iomanip>
#include <sstream>

namespace damaskwalk {

namespace {

auto Prefix(const char* aLevel) -> std::string
{
  const auto now = std::chrono::system_clock::now();
  const auto seconds = std::chrono::system_clock::to_time_t(now);
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
                        now.time_since_epoch())
                        .count() %
                      1000000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream text;
  text << "time=" << std::put_time(&parts, "%FT%T") << '.' << std::setfill('0')
       << std::setw(6) << micros << "Z level=" << aLevel << ' ';
  return text.str();
}

} // namespace

Event::Event(std::string_view aName)
  : text_("event=" + std::string(aName))
{
}

auto Event::With(std::string_view aKey, std::string_view aValue) -> Event&&
{
  const bool quote =
    aValue.empty() || aValue.find_first_of(" \"\n=") != std::string_view::npos;
  std::ostringstream text;
  text << ' ' << aKey << '=';
  if (quote) {
    text << std::quoted(aValue);
  } else {
    text << aValue;
  }
  text_ += text.str();
  return std::move(*this);
}

auto Event::Info() const -> void
{
  LOG(INFO) << Prefix("info") << text_;
}

auto Event::Warn() const -> void
{
  LOG(WARNING) << Prefix("warning") << text_;
}

auto StartLogging(const char* aProgram) -> void
{
  FLAGS_logtostderr = true;
  FLAGS_log_prefix = false;
  google::InitGoogleLogging(aProgram);
}

} // namespace damaskwalk
