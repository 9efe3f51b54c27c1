#include "test_support.h"

#include "core/stream.h"

#include <deque>

namespace damaskwalk {
namespace {

// A caller's and an owner's stream, joined by a network that loses, duplicates
// and reorders frames.
class StreamPair
{
public:
  explicit StreamPair(std::uint64_t aSeed, double aLossRate)
    : random_(aSeed)
    , lossRate_(aLossRate)
    , caller_(Stream::Connect(Init(true), clock_.Now()))
  {
  }

  auto Step() -> void
  {
    clock_.Advance(Millis{ 10 });
    Stream::Frames out;
    caller_.Poll(clock_.Now(), out);
    Transmit(out, toOwner_);
    if (owner_) {
      out.clear();
      owner_->Poll(clock_.Now(), out);
      Transmit(out, toCaller_);
    }
    Deliver();
  }

  auto Caller() -> Stream& { return caller_; }
  auto Owner() -> std::optional<Stream>& { return owner_; }

  // Resumes the owner's stream at another owner.
  auto HandOver() -> void
  {
    const auto received = owner_->Received();
    owner_ = Stream::Resume(Init(false), owner_->Snapshot(), clock_.Now());
    owner_->Received() = received;
  }

private:
  static auto Init(bool aCaller) -> StreamInit
  {
    StreamInit init;
    const Endpoint caller{ 1, 1 };
    const Endpoint service{ 2, 2 };
    init.local = aCaller ? caller : service;
    init.remote = aCaller ? service : caller;
    init.initialSequence = aCaller ? 0xFFFFFFF0U : 77;
    return init;
  }

  auto Transmit(Stream::Frames& aFrames, std::deque<Frame>& aQueue) -> void
  {
    for (auto& frame : aFrames) {
      const auto draw = std::uniform_real_distribution<double>(0, 1)(random_);
      if (draw < lossRate_) {
        continue;
      }
      if (draw < 2 * lossRate_) {
        aQueue.push_back(frame);
      }
      if (draw < 3 * lossRate_) {
        aQueue.push_front(frame);
      } else {
        aQueue.push_back(frame);
      }
    }
  }

  auto Deliver() -> void
  {
    for (auto& frame : std::exchange(toOwner_, {})) {
      Stream::Frames out;
      if (!owner_ && frame.Has(flag::kSyn)) {
        owner_ = Stream::Accept(Init(false), frame, clock_.Now());
      } else if (owner_) {
        owner_->OnFrame(frame, clock_.Now(), out);
      }
      Transmit(out, toCaller_);
    }
    for (auto& frame : std::exchange(toCaller_, {})) {
      Stream::Frames out;
      caller_.OnFrame(frame, clock_.Now(), out);
      Transmit(out, toOwner_);
    }
  }

  ManualClock clock_;
  std::mt19937_64 random_;
  double lossRate_;
  Stream caller_;
  std::optional<Stream> owner_;
  std::deque<Frame> toOwner_;
  std::deque<Frame> toCaller_;
};

// Guards against bytes lost, duplicated or reordered when frames are lost and
// the stream moves to another owner at any point.
TEST(Stream, LossAndHandoverDeliverEveryByteOnceInOrder)
{
  Holds("bytes arrive once and in order", [](std::uint64_t aSeed) {
    StreamPair pair(aSeed, 0.15);
    std::mt19937_64 random(aSeed);
    std::string sentUp;
    std::string sentDown;
    for (int step = 0; step < 600; ++step) {
      if (step < 200 && step % 5 == 0) {
        const std::string piece(1 + random() % 3000,
                                static_cast<char>('a' + step % 26));
        sentUp += piece;
        pair.Caller().Write(piece);
        if (pair.Owner()) {
          sentDown += piece;
          pair.Owner()->Write(piece);
        }
      }
      const bool move = pair.Owner() && random() % 20 == 0 &&
                        pair.Owner()->State() == StreamState::Established;
      if (move) {
        pair.HandOver();
      }
      pair.Step();
    }
    RC_ASSERT(pair.Owner().has_value());
    RC_ASSERT(pair.Owner()->Received() == sentUp);
    RC_ASSERT(pair.Caller().Received() == sentDown);
  });
}

// RFC 5961: a RST closes an established stream only with the exact expected
// sequence. Any other RST gets a challenge acknowledgement that states this
// sequence.
TEST(Stream, ResetOutOfSequenceIsChallenged)
{
  StreamPair pair(1, 0);
  for (int i = 0; i < 5; ++i) {
    pair.Step();
  }
  ASSERT_EQ(pair.Caller().State(), StreamState::Established);
  Frame reset;
  reset.flags = flag::kRst;
  Stream::Frames out;
  pair.Caller().OnFrame(reset, {}, out);
  EXPECT_EQ(pair.Caller().State(), StreamState::Established);
  ASSERT_EQ(out.size(), 1U);
  reset.sequence = out.front().acknowledgement;
  pair.Caller().OnFrame(reset, {}, out);
  EXPECT_EQ(pair.Caller().Cause(), CloseCause::Reset);
}

TEST(Stream, FinInBothDirectionsFinishesBothEnds)
{
  StreamPair pair(1, 0.1);
  pair.Caller().Write("x");
  pair.Caller().Close();
  for (int i = 0; i < 400; ++i) {
    pair.Step();
    if (pair.Owner() && pair.Owner()->RemoteClosed()) {
      pair.Owner()->Close();
    }
  }
  EXPECT_EQ(pair.Caller().Cause(), CloseCause::Finished);
  EXPECT_EQ(pair.Owner()->Cause(), CloseCause::Finished);
}

} // namespace
} // namespace damaskwalk
