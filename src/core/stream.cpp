#include "core/stream.h"

#include "core/config.h"

#include <algorithm>

namespace damaskwalk {

namespace {

constexpr std::size_t kSegmentBytes = 1200;
constexpr std::uint32_t kWindowBytes = 64 * 1024;
constexpr std::uint32_t kFastRetransmitAcks = 3;

auto SequenceDistance(std::uint32_t aFrom, std::uint32_t aTo) -> std::int32_t
{
  return static_cast<std::int32_t>(aTo - aFrom);
}

} // namespace

Stream::Stream(const StreamInit& aInit, TimePoint aNow)
  : init_(aInit)
  , initialSequence_(aInit.initialSequence)
  , sendUnacked_(aInit.initialSequence + 1)
  , sendNext_(aInit.initialSequence + 1)
  , retransmitTimeout_(aInit.minRetransmitTimeout)
  , retransmitAt_(aNow)
  , lastSent_(aNow)
  , lastReceived_(aNow)
  , lastProgress_(aNow)
{
}

auto Stream::Connect(const StreamInit& aInit, TimePoint aNow) -> Stream
{
  return Stream(aInit, aNow);
}

auto Stream::Accept(const StreamInit& aInit, const Frame& aSyn, TimePoint aNow)
  -> Stream
{
  Stream stream(aInit, aNow);
  stream.state_ = StreamState::SynReceived;
  stream.receiveNext_ = aSyn.sequence + 1;
  return stream;
}

auto Stream::Resume(const StreamInit& aInit,
                    const StreamSnapshot& aSnapshot,
                    TimePoint aNow) -> Stream
{
  Stream stream(aInit, aNow);
  stream.state_ = StreamState::Established;
  stream.sendUnacked_ = aSnapshot.sendUnacked;
  stream.sendNext_ = aSnapshot.sendUnacked;
  stream.receiveNext_ = aSnapshot.receiveNext;
  stream.queue_ = aSnapshot.unacked;
  stream.finReceived_ = aSnapshot.finReceived;
  stream.finQueued_ = aSnapshot.finQueued;
  return stream;
}

auto Stream::Snapshot() const -> StreamSnapshot
{
  return { sendUnacked_, receiveNext_, queue_, finReceived_, finQueued_ };
}

auto Stream::MakeFrame(std::uint8_t aFlags, std::uint32_t aSequence) const
  -> Frame
{
  Frame frame;
  frame.source = init_.local;
  frame.destination = init_.remote;
  frame.flags = aFlags;
  frame.sequence = aSequence;
  frame.acknowledgement = receiveNext_;
  frame.timestamp = init_.timestamp;
  frame.timestampEcho = init_.echoTimestamps ? lastTimestamp_ : 0;
  return frame;
}

auto Stream::NeedsPoll() const -> bool
{
  return state_ != StreamState::Established || !queue_.empty() ||
         (finQueued_ && !finAcked_) || init_.keepalivePeriod.count() > 0;
}

auto Stream::OnFrame(const Frame& aFrame, TimePoint aNow, Frames& aOut) -> void
{
  if (state_ == StreamState::Closed) {
    return;
  }
  if (aFrame.Has(flag::kRst)) {
    OnReset(aFrame, aOut);
    return;
  }
  lastReceived_ = aNow;
  lastTimestamp_ = aFrame.timestamp;
  if (!OnHandshake(aFrame, aOut)) {
    return;
  }
  OnAck(aFrame, aNow, aOut);
  OnData(aFrame, aOut);
  CloseIfFinished();
  Poll(aNow, aOut);
}

auto Stream::OnReset(const Frame& aFrame, Frames& aOut) -> void
{
  if (state_ == StreamState::SynSent || aFrame.sequence == receiveNext_) {
    state_ = StreamState::Closed;
    cause_ = CloseCause::Reset;
    return;
  }
  aOut.push_back(MakeFrame(flag::kAck, sendNext_));
}

auto Stream::OnHandshake(const Frame& aFrame, Frames& aOut) -> bool
{
  if (state_ == StreamState::SynSent) {
    const bool isAnswer = aFrame.Has(flag::kSyn) && aFrame.Has(flag::kAck) &&
                          aFrame.acknowledgement == initialSequence_ + 1;
    if (isAnswer) {
      state_ = StreamState::Established;
      receiveNext_ = aFrame.sequence + 1;
      aOut.push_back(MakeFrame(flag::kAck, sendNext_));
    }
    return isAnswer;
  }
  if (aFrame.Has(flag::kSyn)) {
    if (state_ == StreamState::SynReceived) {
      aOut.push_back(MakeFrame(flag::kSyn | flag::kAck, initialSequence_));
    } else {
      aOut.push_back(MakeFrame(flag::kAck, sendNext_));
    }
    return false;
  }
  if (state_ == StreamState::SynReceived) {
    if (aFrame.acknowledgement != initialSequence_ + 1) {
      return false;
    }
    state_ = StreamState::Established;
  }
  return true;
}

auto Stream::OnAck(const Frame& aFrame, TimePoint aNow, Frames& aOut) -> void
{
  const auto acked = SequenceDistance(sendUnacked_, aFrame.acknowledgement);
  const auto finLength = static_cast<std::int32_t>(finQueued_ ? 1 : 0);
  const auto limit = static_cast<std::int32_t>(queue_.size()) + finLength;
  if (acked < 0 || acked > limit) {
    return;
  }
  if (acked == 0) {
    const bool waiting = SequenceDistance(sendUnacked_, sendNext_) > 0;
    if (waiting && aFrame.payload.empty() &&
        ++duplicateAcks_ == kFastRetransmitAcks) {
      SendFrom(0, aOut);
    }
    return;
  }
  const auto bytes =
    std::min<std::size_t>(static_cast<std::size_t>(acked), queue_.size());
  finAcked_ = finAcked_ || acked > static_cast<std::int32_t>(queue_.size());
  queue_.erase(0, bytes);
  sendUnacked_ = aFrame.acknowledgement;
  if (SequenceDistance(sendNext_, sendUnacked_) > 0) {
    sendNext_ = sendUnacked_;
  }
  duplicateAcks_ = 0;
  retransmitTimeout_ = init_.minRetransmitTimeout;
  retransmitAt_ = aNow + retransmitTimeout_;
  lastProgress_ = aNow;
}

auto Stream::OnData(const Frame& aFrame, Frames& aOut) -> void
{
  const bool hasContent = !aFrame.payload.empty() || aFrame.Has(flag::kFin);
  const auto ahead = SequenceDistance(receiveNext_, aFrame.sequence);
  if (!hasContent) {
    // A keepalive has the sequence before the expected one and is answered.
    if (ahead < 0) {
      aOut.push_back(MakeFrame(flag::kAck, sendNext_));
    }
    return;
  }
  const auto skip = static_cast<std::size_t>(-std::min(ahead, 0));
  if (ahead <= 0 && !finReceived_) {
    if (skip < aFrame.payload.size()) {
      received_.append(aFrame.payload, skip);
      receiveNext_ += static_cast<std::uint32_t>(aFrame.payload.size() - skip);
    }
    const auto end =
      aFrame.sequence + static_cast<std::uint32_t>(aFrame.payload.size());
    if (aFrame.Has(flag::kFin) && end == receiveNext_) {
      finReceived_ = true;
      ++receiveNext_;
    }
  }
  aOut.push_back(MakeFrame(flag::kAck, sendNext_));
}

auto Stream::CloseIfFinished() -> void
{
  if (finAcked_ && finReceived_ && state_ != StreamState::Closed) {
    state_ = StreamState::Closed;
    cause_ = CloseCause::Finished;
  }
}

auto Stream::SendFrom(std::uint32_t aOffset, Frames& aOut) -> void
{
  const auto window = std::min<std::size_t>(
    queue_.size(), static_cast<std::size_t>(kWindowBytes));
  std::size_t offset = aOffset;
  while (offset < window) {
    const auto size = std::min(kSegmentBytes, window - offset);
    auto frame =
      MakeFrame(flag::kAck, sendUnacked_ + static_cast<std::uint32_t>(offset));
    frame.payload = queue_.substr(offset, size);
    aOut.push_back(std::move(frame));
    offset += size;
  }
  auto next = sendUnacked_ + static_cast<std::uint32_t>(offset);
  if (finQueued_ && !finAcked_ && offset == queue_.size()) {
    aOut.push_back(MakeFrame(flag::kAck | flag::kFin, next));
    ++next;
  }
  if (SequenceDistance(sendNext_, next) > 0) {
    sendNext_ = next;
  }
}

auto Stream::Poll(TimePoint aNow, Frames& aOut) -> void
{
  if (state_ == StreamState::Closed) {
    return;
  }
  const auto before = aOut.size();
  if (state_ != StreamState::Established) {
    if (aNow >= retransmitAt_) {
      const bool active = state_ == StreamState::SynSent;
      const auto flags = static_cast<std::uint8_t>(
        active ? flag::kSyn : flag::kSyn | flag::kAck);
      aOut.push_back(MakeFrame(flags, initialSequence_));
      retransmitAt_ = aNow + retransmitTimeout_;
      retransmitTimeout_ =
        std::min(retransmitTimeout_ * 2, init_.maxRetransmitTimeout);
    }
  } else {
    const auto sent = SequenceDistance(sendUnacked_, sendNext_);
    const auto finLength = static_cast<std::int32_t>(finQueued_ ? 1 : 0);
    const auto size = static_cast<std::int32_t>(queue_.size()) + finLength;
    const bool hasUnsent = sent < size && sent < static_cast<int>(kWindowBytes);
    if (sent > 0 && aNow >= retransmitAt_) {
      SendFrom(0, aOut);
      retransmitTimeout_ =
        std::min(retransmitTimeout_ * 2, init_.maxRetransmitTimeout);
      retransmitAt_ = aNow + retransmitTimeout_;
    } else if (hasUnsent) {
      if (sent == 0) {
        retransmitAt_ = aNow + retransmitTimeout_;
        lastProgress_ = aNow;
      }
      SendFrom(static_cast<std::uint32_t>(sent), aOut);
    } else if (init_.keepalivePeriod.count() > 0 &&
               aNow - lastSent_ >= init_.keepalivePeriod) {
      aOut.push_back(MakeFrame(flag::kAck, sendNext_ - 1));
    }
  }
  if (aOut.size() > before) {
    lastSent_ = aNow;
  }
  const bool waiting = state_ != StreamState::Established ||
                       SequenceDistance(sendUnacked_, sendNext_) > 0;
  if (waiting &&
      aNow - std::max(lastProgress_, lastReceived_) > init_.silenceTimeout) {
    state_ = StreamState::Closed;
    cause_ = CloseCause::Timeout;
  }
}

} // namespace damaskwalk
