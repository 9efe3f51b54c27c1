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
  Finished, // FIN received, and the own FIN acknowledged
  Reset,    // valid RST from the other side
  Timeout,  // silence timeout while an acknowledgement was outstanding
};

struct StreamInit
{
  Endpoint local;
  Endpoint remote;
  std::uint32_t initialSequence = 0;
  // Timestamp option of every frame sent; 0 sends none.
  std::uint32_t timestamp = 0;
  // Echo the timestamp of the last frame received.
  bool echoTimestamps = false;
  // The retransmission timeout starts at the minimum and doubles with each
  // retransmission up to the maximum.
  Millis minRetransmitTimeout{ 120 };
  Millis maxRetransmitTimeout{ 500 };
  // An established stream that has sent nothing for this long sends an empty
  // frame; 0 is off.
  Millis keepalivePeriod{ 0 };
  // The stream closes with Timeout when an acknowledgement is outstanding and
  // nothing has been received for this long.
  Millis silenceTimeout{ 15000 };
};

// State from which a new owner continues a flow that another owner has served.
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
  // Continues an established stream from another owner's state.
  static auto Resume(const StreamInit& aInit,
                     const StreamSnapshot& aSnapshot,
                     TimePoint aNow) -> Stream;

  // Processes a received frame. Answers and new data that may now be sent are
  // appended to aOut.
  auto OnFrame(const Frame& aFrame, TimePoint aNow, Frames& aOut) -> void;
  // Appends the frames that are due: handshake, new data, retransmissions and
  // keepalives. Closes the stream on silence timeout.
  auto Poll(TimePoint aNow, Frames& aOut) -> void;
  auto Write(std::string_view aBytes) -> void { queue_.append(aBytes); }
  // Queues FIN behind the data.
  auto Close() -> void { finQueued_ = true; }

  auto State() const -> StreamState { return state_; }
  auto Cause() const -> CloseCause { return cause_; }
  // Bytes received in order and not yet removed by the caller.
  auto Received() -> std::string& { return received_; }
  auto RemoteClosed() const -> bool { return finReceived_; }
  // Bytes written and not yet acknowledged, sent or not.
  auto UnackedBytes() const -> std::size_t { return queue_.size(); }
  auto InitialSequence() const -> std::uint32_t { return initialSequence_; }
  auto SendUnacked() const -> std::uint32_t { return sendUnacked_; }
  auto ReceiveNext() const -> std::uint32_t { return receiveNext_; }
  // False while the stream is established and idle without keepalive.
  auto NeedsPoll() const -> bool;
  auto Snapshot() const -> StreamSnapshot;
  // Time of the last frame received, apart from RST.
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
  std::uint32_t sendUnacked_ = 0; // sequence of the first byte of queue_
  std::uint32_t sendNext_ = 0;
  std::uint32_t receiveNext_ = 0;
  std::string queue_; // unacknowledged and unsent bytes
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
