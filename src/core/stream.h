#pragma once

// A reliable byte stream over frames: the TCP subset that flows use. In-order
// delivery, cumulative acknowledgement, go-back-N retransmission, fast
// retransmit, keepalive, FIN and RST with RFC 5961 challenge acknowledgements.

#include "core/clock.h"
#include "wire/frame.h"

#include <string>
#include <vector>

namespace damaskwalk {

enum class StreamState : std::uint8_t
{
  SynSent,
  SynReceived,
  Established,
  Closed,
};

enum class CloseCause : std::uint8_t
{
  None,
  Finished, // FIN in both directions
  Reset,    // RST from the other side
  Timeout,  // no acknowledgement for too long
};

struct StreamInit
{
  Endpoint local;
  Endpoint remote;
  std::uint32_t initialSequence = 0;
  // Put into every frame's timestamp; 0 sends none.
  std::uint32_t timestamp = 0;
  // Echo the other side's timestamps.
  bool echoTimestamps = false;
  Millis minRetransmitTimeout{ 120 };
  Millis maxRetransmitTimeout{ 500 };
  // An idle established stream sends an empty frame after this; 0 is off.
  Millis keepalivePeriod{ 0 };
  // Ends with Timeout when the other side is silent for so long.
  Millis silenceTimeout{ 15000 };
};

// What a new owner needs to go on where another stopped.
struct StreamSnapshot
{
  std::uint32_t sendUnacked = 0;
  std::uint32_t receiveNext = 0;
  std::string unacked;
  bool finReceived = false;
  bool finQueued = false;
};

class Stream
{
public:
  using Frames = std::vector<Frame>;

  // Opens actively: the first Poll sends SYN.
  static auto Connect(const StreamInit& aInit, TimePoint aNow) -> Stream;
  // Opens on a SYN that was received.
  static auto Accept(const StreamInit& aInit, const Frame& aSyn, TimePoint aNow)
    -> Stream;
  // Goes on from another owner's state.
  static auto Resume(const StreamInit& aInit,
                     const StreamSnapshot& aSnapshot,
                     TimePoint aNow) -> Stream;

  // Takes a frame; answers are appended to aOut.
  auto OnFrame(const Frame& aFrame, TimePoint aNow, Frames& aOut) -> void;
  // Sends what is due: new data, retransmissions, keepalives.
  auto Poll(TimePoint aNow, Frames& aOut) -> void;
  auto Write(std::string_view aBytes) -> void { queue_.append(aBytes); }
  // Queues FIN behind the data.
  auto Close() -> void { finQueued_ = true; }

  auto State() const -> StreamState { return state_; }
  auto Cause() const -> CloseCause { return cause_; }
  // In-order bytes that came in; the caller consumes them.
  auto Received() -> std::string& { return received_; }
  auto RemoteClosed() const -> bool { return finReceived_; }
  auto UnackedBytes() const -> std::size_t { return queue_.size(); }
  auto InitialSequence() const -> std::uint32_t { return initialSequence_; }
  auto SendUnacked() const -> std::uint32_t { return sendUnacked_; }
  auto ReceiveNext() const -> std::uint32_t { return receiveNext_; }
  auto NeedsPoll() const -> bool;
  auto Snapshot() const -> StreamSnapshot;
  // Last frame that came in from the other side.
  auto LastReceived() const -> TimePoint { return lastReceived_; }
  auto MemoryBytes() const -> std::size_t
  {
    return sizeof *this + queue_.capacity() + received_.capacity();
  }

private:
  explicit Stream(const StreamInit& aInit, TimePoint aNow);

  auto MakeFrame(std::uint8_t aFlags, std::uint32_t aSequence) const -> Frame;
  auto OnReset(const Frame& aFrame, Frames& aOut) -> void;
  auto OnHandshake(const Frame& aFrame, Frames& aOut) -> bool;
  auto OnAck(const Frame& aFrame, TimePoint aNow, Frames& aOut) -> void;
  auto OnData(const Frame& aFrame, Frames& aOut) -> void;
  auto SendFrom(std::uint32_t aOffset, Frames& aOut) -> void;
  auto CloseIfFinished() -> void;

  StreamInit init_;
  StreamState state_ = StreamState::SynSent;
  CloseCause cause_ = CloseCause::None;
  std::uint32_t initialSequence_ = 0;
  std::uint32_t sendUnacked_ = 0; // first byte of queue_
  std::uint32_t sendNext_ = 0;
  std::uint32_t receiveNext_ = 0;
  std::string queue_;
  std::string received_;
  bool finQueued_ = false;
  bool finAcked_ = false;
  bool finReceived_ = false;
  std::uint32_t lastTimestamp_ = 0;
  std::uint32_t duplicateAcks_ = 0;
  Millis retransmitTimeout_;
  TimePoint retransmitAt_;
  TimePoint lastSent_;
  TimePoint lastReceived_;
  TimePoint lastProgress_;
};

} // namespace damaskwalk
