#include "test_support.h"

#include "core/membership.h"

#include <deque>

namespace damaskwalk {
namespace {

// Members with a shared clock and a simulated network with loss, pauses and
// partitions. A port check of a dead process is refused, or times out if its VM
// is gone too; a paused process accepts it.
class Fleet
{
public:
  Fleet(std::uint64_t aSeed, std::size_t aCount, double aLoss)
    : random_(aSeed)
    , loss_(aLoss)
  {
    std::vector<Endpoint> peers;
    for (std::size_t i = 0; i < aCount; ++i) {
      peers.push_back(Agent(static_cast<std::uint16_t>(i)));
      listing_.push_back({ peers.back(), Role::Agent, Domain(i), false });
    }
    for (std::size_t i = 0; i < aCount; ++i) {
      nodes_.push_back({});
      Start(i);
      nodes_[i].members->SetPeers(peers);
    }
  }

  auto Run(Millis aTime) -> void
  {
    for (Millis done{ 0 }; done < aTime; done += Millis{ 50 }) {
      clock_.Advance(Millis{ 50 });
      ++steps_;
      for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (!Runs(i)) {
          continue;
        }
        for (const auto& suspect : std::exchange(nodes_[i].timedOut, {})) {
          nodes_[i].members->OnPortCheck(suspect, false, false);
        }
        if ((steps_ + i) % 10 == 0) {
          for (std::size_t to = 0; to < nodes_.size(); ++to) {
            Send(i, to, {});
          }
        }
        Perform(i, nodes_[i].members->Tick());
        for (const auto& change : nodes_[i].members->TakeChanges()) {
          RecordChange(i, change);
        }
      }
      Deliver();
    }
  }

  auto Kill(std::size_t aNode, bool aVm) -> void
  {
    nodes_[aNode].alive = false;
    nodes_[aNode].vmGone = aVm;
    killedAt_ = clock_.Now();
  }
  auto Pause(std::size_t aNode, Millis aTime) -> void
  {
    nodes_[aNode].pausedUntil = clock_.Now() + aTime;
  }
  auto Partition(std::uint64_t aSide) -> void { partitionMask_ = aSide; }
  // This share of the port checks stalls the checking process for aTime and
  // times out although the port accepts.
  auto StallPortChecks(double aShare, Millis aTime) -> void
  {
    stallShare_ = aShare;
    stallTime_ = aTime;
  }
  auto Members(std::size_t aNode) -> Membership&
  {
    return *nodes_[aNode].members;
  }
  auto FalseDeathCount() const -> std::size_t { return falseDeathCount_; }
  auto SlowestDetection() const -> Millis { return slowestDetection_; }

private:
  struct Node
  {
    std::unique_ptr<Membership> members;
    bool alive = true;
    bool vmGone = false;
    TimePoint pausedUntil;
    std::vector<Endpoint> timedOut;
  };
  struct Datagram
  {
    std::size_t from;
    std::size_t to;
    Message message;
  };

  static auto Domain(std::size_t aNode) -> std::string
  {
    return std::string(1, static_cast<char>('a' + aNode % 3));
  }
  auto Index(const Endpoint& aMember) const -> std::size_t
  {
    return aMember.port - 7100U;
  }
  auto Runs(std::size_t aNode) const -> bool
  {
    return nodes_[aNode].alive && nodes_[aNode].pausedUntil <= clock_.Now();
  }
  auto IsPartitioned(std::size_t aFrom, std::size_t aTo) const -> bool
  {
    return ((partitionMask_ >> aFrom) & 1) != ((partitionMask_ >> aTo) & 1);
  }

  auto Start(std::size_t aNode) -> void
  {
    const auto self = Agent(static_cast<std::uint16_t>(aNode));
    nodes_[aNode].members = std::make_unique<Membership>(
      MembershipInit{ self,
                      Role::Agent,
                      Domain(aNode),
                      StartIncarnation(clock_.Wall()),
                      aNode + 1 },
      clock_);
    nodes_[aNode].members->ApplyListing(listing_);
  }

  auto Send(std::size_t aFrom, std::size_t aTo, Message aMessage) -> void
  {
    const auto draw = std::uniform_real_distribution<double>(0, 1)(random_);
    if (aFrom != aTo && draw >= loss_ && !IsPartitioned(aFrom, aTo)) {
      network_.push_back({ aFrom, aTo, std::move(aMessage) });
    }
  }

  auto Perform(std::size_t aNode, const MembershipActions& aActions) -> void
  {
    for (const auto& [receiver, probe] : aActions.probes) {
      Send(aNode, Index(receiver), probe);
    }
    for (const auto& suspect : aActions.portChecks) {
      const auto to = Index(suspect);
      if (stallShare_ > 0 &&
          std::uniform_real_distribution<double>(0, 1)(random_) < stallShare_) {
        Pause(aNode, stallTime_);
        nodes_[aNode].timedOut.push_back(suspect);
        continue;
      }
      const bool reaches = !nodes_[to].vmGone && !IsPartitioned(aNode, to);
      nodes_[aNode].members->OnPortCheck(
        suspect, reaches && nodes_[to].alive, reaches && !nodes_[to].alive);
    }
  }

  auto Deliver() -> void
  {
    for (auto& [from, to, message] : std::exchange(network_, {})) {
      if (!nodes_[to].alive) {
        continue;
      }
      if (!Runs(to)) {
        network_.push_back({ from, to, std::move(message) });
        continue;
      }
      auto& members = *nodes_[to].members;
      const auto sender = Agent(static_cast<std::uint16_t>(from));
      members.OnMessageFrom(
        sender, Role::Agent, nodes_[from].members->SelfIncarnation());
      if (const auto* probe = std::get_if<Probe>(&message)) {
        const auto actions = members.OnProbe(sender, *probe);
        if (actions.probes.empty()) {
          const auto self = Agent(static_cast<std::uint16_t>(to));
          Send(
            to, from, ProbeAck{ probe->sequence, self, members.TakeFacts(6) });
        }
        Perform(to, actions);
      } else if (const auto* ack = std::get_if<ProbeAck>(&message)) {
        const auto requester = members.OnAck(*ack);
        if (requester.IsValid()) {
          Send(to, Index(requester), ProbeAck{ 0, ack->target, {} });
        }
      } else if (std::holds_alternative<PacketForward>(message)) {
        members.Merge({}); // a heartbeat
      }
    }
  }

  auto RecordChange(std::size_t aObserver, const MemberChange& aChange) -> void
  {
    if (aChange.to != MemberState::Dead) {
      return;
    }
    const auto victim = Index(aChange.member);
    if (nodes_[victim].alive && !IsPartitioned(aObserver, victim)) {
      ++falseDeathCount_;
    } else {
      slowestDetection_ =
        std::max(slowestDetection_,
                 std::chrono::duration_cast<Millis>(clock_.Now() - killedAt_));
    }
  }

  ManualClock clock_;
  std::mt19937_64 random_;
  double loss_;
  double stallShare_ = 0;
  Millis stallTime_{ 0 };
  std::vector<Node> nodes_;
  std::vector<ListedVm> listing_;
  std::deque<Datagram> network_;
  std::uint64_t partitionMask_ = 0;
  std::uint64_t steps_ = 0;
  std::size_t falseDeathCount_ = 0;
  TimePoint killedAt_;
  Millis slowestDetection_{ 0 };
};

TEST(Membership, ADeadProcessIsNoticedWithinTwoSeconds)
{
  Holds("detection", [](std::uint64_t aSeed, bool aVm) {
    Fleet fleet(aSeed, 9, 0.05);
    fleet.Run(Millis{ 2000 });
    fleet.Kill(aSeed % 9, aVm);
    fleet.Run(Millis{ 2500 });
    for (std::size_t i = 0; i < 9; ++i) {
      const auto victim = Agent(static_cast<std::uint16_t>(aSeed % 9));
      RC_ASSERT(i == aSeed % 9 || fleet.Members(i).IsDead(victim));
    }
    RC_ASSERT(fleet.SlowestDetection() <= Millis{ 2000 });
    RC_ASSERT(fleet.FalseDeathCount() == 0U);
  });
}

TEST(Membership, LossAndShortPausesCauseNoFalseDeath)
{
  Holds("no false death", [](std::uint64_t aSeed) {
    Fleet fleet(aSeed, 7, 0.05);
    std::mt19937_64 random(aSeed);
    for (int i = 0; i < 60; ++i) {
      fleet.Pause(random() % 7, Millis{ 200 });
      fleet.Run(Millis{ 500 });
    }
    RC_ASSERT(fleet.FalseDeathCount() == 0U);
  });
}

TEST(Membership, PausedProcessIsReportedPausedAndNotDead)
{
  Fleet fleet(1, 5, 0);
  fleet.Run(Millis{ 2000 });
  fleet.Pause(2, Millis{ 6000 });
  fleet.Run(Millis{ 4000 });
  EXPECT_EQ(fleet.Members(0).StateOf(Agent(2)), MemberState::Paused);
  fleet.Run(Millis{ 4000 });
  EXPECT_EQ(fleet.Members(0).StateOf(Agent(2)), MemberState::Alive);
  EXPECT_EQ(fleet.FalseDeathCount(), 0U);
}

// On a busy machine the checking process can stall while its port check of a
// paused member is under way. The time-out that follows must not count as a
// missing answer of that member.
TEST(Membership, StalledObserverDoesNotMarkPausedMemberDead)
{
  Holds("stalled observers", [](std::uint64_t aSeed) {
    Fleet fleet(aSeed, 7, 0);
    fleet.Run(Millis{ 2000 });
    fleet.StallPortChecks(0.3, Millis{ 700 });
    fleet.Pause(aSeed % 7, Millis{ 4000 });
    fleet.Run(Millis{ 6000 });
    RC_ASSERT(fleet.FalseDeathCount() == 0U);
  });
}

TEST(Membership, ReportedDeathIsNotAdoptedWhilePortAccepts)
{
  ManualClock clock;
  Membership members({ Agent(0), Role::Agent, "a", 1 << 16, 1 }, clock);
  members.SetPeers({ Agent(1) });
  members.OnMessageFrom(Agent(1), Role::Agent, 1 << 16);
  for (int step = 0; step < 30; ++step) {
    clock.Advance(Millis{ 50 });
    for (const auto& suspect : members.Tick().portChecks) {
      members.OnPortCheck(suspect, true, false);
    }
  }
  ASSERT_EQ(members.StateOf(Agent(1)), MemberState::Paused);
  members.Merge({ { Agent(1), Role::Agent, MemberState::Dead, 1 << 16, "a" } });
  EXPECT_EQ(members.StateOf(Agent(1)), MemberState::Paused);
  const auto portChecks = members.Tick().portChecks;
  ASSERT_EQ(portChecks.size(), 1U);
  members.OnPortCheck(portChecks.front(), false, true);
  EXPECT_TRUE(members.IsDead(Agent(1)));
}

// Another member suspects it first, so the port check runs before this
// process's own suspect timeout. Its result must still count when that timeout
// expires.
TEST(Membership, PortCheckBeforeSuspectTimeoutPreventsDeath)
{
  ManualClock clock;
  Membership members({ Agent(0), Role::Agent, "a", 1 << 16, 1 }, clock);
  members.SetPeers({ Agent(1) });
  members.OnMessageFrom(Agent(1), Role::Agent, 1 << 16);
  clock.Advance(Millis{ 900 });
  members.Tick();
  members.Merge(
    { { Agent(1), Role::Agent, MemberState::Suspect, 1 << 16, "a" } });
  for (int step = 0; step < 40; ++step) {
    clock.Advance(Millis{ 50 });
    for (const auto& suspect : members.Tick().portChecks) {
      members.OnPortCheck(suspect, true, false);
    }
    ASSERT_FALSE(members.IsDead(Agent(1))) << step;
  }
}

TEST(Membership, MinoritySideSuspectsItselfUntilPartitionHeals)
{
  Fleet fleet(3, 7, 0);
  fleet.Run(Millis{ 2000 });
  fleet.Partition(0b11);
  fleet.Run(Millis{ 5000 });
  EXPECT_TRUE(fleet.Members(0).SuspectsSelf());
  EXPECT_FALSE(fleet.Members(5).SuspectsSelf());
  EXPECT_TRUE(fleet.Members(5).IsDead(Agent(0)));
  fleet.Partition(0);
  fleet.Run(Millis{ 3000 });
  EXPECT_FALSE(fleet.Members(0).SuspectsSelf());
  for (std::uint16_t i = 1; i < 7; ++i) {
    EXPECT_EQ(fleet.Members(0).StateOf(Agent(i)), MemberState::Alive) << i;
    EXPECT_EQ(fleet.Members(i).StateOf(Agent(0)), MemberState::Alive) << i;
  }
}

TEST(Membership, LostDomainIsCheckedAndSentAsOneFact)
{
  Fleet fleet(5, 12, 0);
  fleet.Run(Millis{ 2000 });
  const MemberFact lost{ {}, Role::Unknown, MemberState::Dead, 0, "b" };
  fleet.Members(0).Merge({ lost });
  fleet.Run(Millis{ 4000 });
  EXPECT_EQ(fleet.FalseDeathCount(), 0U);
  for (const std::uint16_t victim : { 1, 4, 7, 10 }) {
    fleet.Kill(victim, true);
  }
  fleet.Run(Millis{ 2200 });
  std::size_t memberFacts = 0;
  bool domainFact = false;
  for (const auto& fact : fleet.Members(0).TakeFacts(100)) {
    domainFact = domainFact || !fact.member.IsValid();
    memberFacts += fact.member.IsValid() && fact.failureDomain == "b" ? 1 : 0;
  }
  EXPECT_TRUE(domainFact);
  EXPECT_EQ(memberFacts, 0U);
}

// A member that is not a peer sends no heartbeats and can be silent for long. A
// report of its death must be checked before it is adopted.
TEST(Membership, ReportedDeathOfSilentNonPeerIsChecked)
{
  ManualClock clock;
  Membership members({ Agent(0), Role::Balancer, "a", 1 << 16, 1 }, clock);
  members.OnMessageFrom(Agent(1), Role::Agent, 1 << 16);
  clock.Advance(Millis{ 20000 });
  members.Merge({ { Agent(1), Role::Agent, MemberState::Dead, 1 << 16, "b" },
                  { {}, Role::Unknown, MemberState::Dead, 0, "b" } });
  EXPECT_EQ(members.StateOf(Agent(1)), MemberState::Suspect);
  const auto actions = members.Tick();
  EXPECT_FALSE(actions.portChecks.empty());
  members.OnMessageFrom(Agent(1), Role::Agent, 1 << 16);
  EXPECT_EQ(members.StateOf(Agent(1)), MemberState::Alive);
}

TEST(Membership, ListingDoesNotChangeLiveness)
{
  ManualClock clock;
  Membership members({ Agent(0), Role::Agent, "a", 1 << 16, 1 }, clock);
  members.OnMessageFrom(Agent(1), Role::Agent, 1 << 16);
  members.ApplyListing({});
  EXPECT_EQ(members.StateOf(Agent(1)), MemberState::Alive);
  members.ApplyListing({ { Agent(1), Role::Agent, "a", true } });
  EXPECT_EQ(members.StateOf(Agent(1)), MemberState::Leaving);
  EXPECT_FALSE(members.IsUsable(Agent(1)));
}

TEST(Membership, FlappingMemberIsNotUsable)
{
  ManualClock clock;
  Membership members({ Agent(0), Role::Agent, "a", 1 << 16, 1 }, clock);
  members.SetPeers({ Agent(1), Agent(2), Agent(3) });
  for (std::uint64_t round = 1; round <= 6; ++round) {
    for (std::uint16_t peer = 1; peer <= 3; ++peer) {
      members.OnMessageFrom(Agent(peer), Role::Agent, round << 16);
    }
    for (int step = 0; step < 40; ++step) {
      clock.Advance(Millis{ 50 });
      members.OnMessageFrom(Agent(2), Role::Agent, round << 16);
      members.OnMessageFrom(Agent(3), Role::Agent, round << 16);
      for (const auto& suspect : members.Tick().portChecks) {
        members.OnPortCheck(suspect, false, true);
      }
    }
    EXPECT_TRUE(members.IsDead(Agent(1)));
  }
  members.OnMessageFrom(Agent(1), Role::Agent, std::uint64_t{ 9 } << 16);
  EXPECT_EQ(members.StateOf(Agent(1)), MemberState::Alive);
  EXPECT_FALSE(members.IsUsable(Agent(1)));
}

} // namespace
// Guards against a VM that takes new work again because a restored platform
// lists it as before it was to leave.
TEST(Membership, AnEarlierListingDoesNotEndTheLeaving)
{
  const ManualClock clock;
  Membership members({ Agent(1), Role::Agent, "a", 1, 1 }, clock);
  members.ApplyListing({ { Agent(1), Role::Agent, "a", true },
                         { Agent(2), Role::Agent, "a", true } });
  EXPECT_TRUE(members.IsSelfListedLeaving());
  members.ApplyListing({ { Agent(1), Role::Agent, "a", false },
                         { Agent(2), Role::Agent, "a", false } });
  EXPECT_TRUE(members.IsSelfListedLeaving());
  EXPECT_EQ(members.StateOf(Agent(2)), MemberState::Leaving);
}

} // namespace damaskwalk
