#include "relay_node/bounded_log.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/base_sink.h>

#include <algorithm>

#include <fcntl.h>
#include <unistd.h>

namespace damaskwalk {

// Buffers formatted lines until the descriptor accepts them.
class BoundedLog::Sink final
  : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
  Sink(std::size_t aMaxBytes, int aDescriptor)
    : maxBytes_(aMaxBytes)
    , descriptor_(aDescriptor)
  {
    const int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
      ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
  }

  // Lines dropped since the last call because the buffer was full.
  auto TakeOverflow() -> std::uint64_t { return std::exchange(overflow_, 0); }
  // Writes each line by itself, so that readers that truncate long writes get
  // whole lines.
  auto WriteOut() -> void
  {
    std::size_t done = 0;
    while (done < pending_.size()) {
      const auto line = pending_.find('\n', done) + 1 - done;
      const auto written = ::write(descriptor_, pending_.data() + done, line);
      if (written <= 0) {
        break;
      }
      done += static_cast<std::size_t>(written);
    }
    pending_.erase(0, done);
  }

protected:
  auto sink_it_(const spdlog::details::log_msg& aMessage) -> void override
  {
    line_.clear();
    formatter_->format(aMessage, line_);
    if (pending_.size() + line_.size() > maxBytes_) {
      ++overflow_;
      return;
    }
    pending_.append(line_.data(), line_.size());
  }
  auto flush_() -> void override { WriteOut(); }

private:
  std::size_t maxBytes_;
  int descriptor_;
  std::uint64_t overflow_ = 0;
  std::string pending_;
  spdlog::memory_buf_t line_;
};

BoundedLog::BoundedLog(const BoundedLogInit& aInit, const Clock& aClock)
  : init_(aInit)
  , clock_(aClock)
  , tokens_(aInit.burstLines)
  , refilledAt_(aClock.Now())
  , sink_(std::make_shared<Sink>(aInit.bufferBytes, aInit.descriptor))
  , logger_(std::make_shared<spdlog::logger>(aInit.node, sink_))
{
  logger_->set_formatter(std::make_unique<spdlog::pattern_formatter>(
    "time=%Y-%m-%dT%H:%M:%S.%fZ level=%l node=%n %v",
    spdlog::pattern_time_type::utc));
}

BoundedLog::~BoundedLog()
{
  Flush();
}

auto BoundedLog::Admit() -> bool
{
  const auto now = clock_.Now();
  const std::chrono::duration<double> span = now - refilledAt_;
  refilledAt_ = now;
  tokens_ =
    std::min(init_.burstLines, tokens_ + span.count() * init_.linesPerSecond);
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

auto BoundedLog::Write(EventLevel aLevel, std::string_view aText) -> void
{
  if (!Admit()) {
    ++dropped_;
    return;
  }
  logger_->log(aLevel == EventLevel::Warning ? spdlog::level::warn
                                             : spdlog::level::info,
               spdlog::string_view_t(aText.data(), aText.size()));
}

auto BoundedLog::Flush() -> void
{
  sink_->WriteOut();
  dropped_ += sink_->TakeOverflow();
  if (dropped_ > reportedDropped_) {
    const auto text = Event("log_lines_dropped")
                        .With("count", dropped_ - reportedDropped_)
                        .Text();
    reportedDropped_ = dropped_;
    logger_->log(spdlog::level::warn, spdlog::string_view_t(text));
    sink_->WriteOut();
  }
}

} // namespace damaskwalk
