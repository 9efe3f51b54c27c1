// The parts of Node that keep its document and its membership up to date.

#include "runtime/node.h"

#include "core/document_version.h"

#include <glog/logging.h>

#include "runtime/log.h"

#include <boost/leaf/handle_errors.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace damaskwalk {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t kReadersPerDomain = 2;
constexpr std::size_t kAdvertFanout = 4;
constexpr std::size_t kBootstrapPeers = 3;
constexpr Millis kWatchTimeout{ 5000 };
constexpr Millis kListingPeriod{ 1000 };
constexpr Millis kRetryDelay{ 500 };
constexpr Millis kPullTimeout{ 2000 };
constexpr Millis kMinAdvertPeriod{ 20 };
constexpr Millis kShortPullTimeout{ 500 };

auto ClockTicks(Millis aTime) -> TimePoint::rep
{
  return std::chrono::duration_cast<TimePoint::duration>(aTime).count();
}

} // namespace

auto Node::IsCurrent() const -> bool
{
  const auto idle = clock_.Now().time_since_epoch().count() - lastTick_.load();
  return current_ && idle < ClockTicks(kPauseThreshold);
}

auto Node::CheckPause() -> void
{
  const auto now = clock_.Now().time_since_epoch().count();
  const auto idle = now - lastTick_.exchange(now);
  if (idle < ClockTicks(kPauseThreshold) || !current_) {
    return;
  }
  current_ = false;
  Event("pause_noticed").With("millis", idle / 1000000).Warn();
  board_.journal.Add("event=pause_noticed millis=" +
                     std::to_string(idle / 1000000));
  if (!revalidating_.exchange(true)) {
    Spawn(Revalidate());
  }
}

auto Node::Revalidate() -> Task<void>
{
  const auto before = board_.documents.Current();
  for (const auto& peer : RandomPeers(kBootstrapPeers)) {
    const auto knownVersion = board_.documents.Version();
    auto outcome =
      co_await Call(peer, DocumentPull{ knownVersion }, kShortPullTimeout);
    if (const auto* reply = std::get_if<DocumentReply>(&outcome.message)) {
      board_.documents.OfferReply(*reply);
    }
  }
  revalidating_ = false;
  current_ = board_.documents.Version() != 0;
  NotifyDocumentChange(before);
}

auto Node::OnPeerVersion(const Envelope& aEnvelope) -> void
{
  const auto own = board_.documents.Version();
  if (aEnvelope.role == Role::Unknown || aEnvelope.version == own) {
    return;
  }
  if (aEnvelope.version > own) {
    if (!board_.documents.IsHeld(aEnvelope.version) &&
        !pulling_.exchange(true)) {
      Spawn(PullDocument(aEnvelope.sender));
    }
    return;
  }
  const auto now = clock_.Now().time_since_epoch().count();
  auto last = lastAdvert_.load();
  if (now - last > ClockTicks(kMinAdvertPeriod) &&
      lastAdvert_.compare_exchange_strong(last, now)) {
    Send(aEnvelope.sender, MakeAdvert());
  }
}

auto Node::PullDocument(Endpoint aFrom) -> Task<void>
{
  const auto before = board_.documents.Current();
  auto outcome =
    co_await Call(aFrom, DocumentPull{ before->version }, kPullTimeout);
  if (const auto* reply = std::get_if<DocumentReply>(&outcome.message)) {
    // Refused: the reply does not apply to the version in force here, or the
    // digest does not match. The whole document is needed.
    if (board_.documents.OfferReply(*reply) == OfferResult::Refused) {
      outcome = co_await Call(aFrom, DocumentPull{ 0 }, kPullTimeout);
      if (const auto* whole = std::get_if<DocumentReply>(&outcome.message)) {
        board_.documents.OfferReply(*whole);
      }
    }
  }
  pulling_ = false;
  NotifyDocumentChange(before);
}

auto Node::NotifyDocumentChange(DocumentPtr aBefore) -> void
{
  const auto now = board_.documents.Current();
  if (now->version == aBefore->version) {
    return;
  }
  Event("document_in_force")
    .With("version", now->version)
    .With("before", aBefore->version)
    .With("era", DocumentEraOf(now->version))
    .Info();
  board_.journal.Add("event=document_in_force version=" +
                     std::to_string(now->version));
  nodeRole_->OnDocument(aBefore, now);
  AdvertiseVersion();
}

auto Node::MakeAdvert() const -> DocumentAdvert
{
  const auto age = WallMillis(clock_.Wall()) - confirmedMillis_;
  return { static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0)) };
}

// The time of the platform's last confirmation spreads with the version, so
// that every process knows how old its document may be.
auto Node::OnAdvert(const ReceivedMessage& aReceived,
                    const DocumentAdvert& aAdvert) -> void
{
  if (aReceived.envelope.version != board_.documents.Version()) {
    return;
  }
  const auto at = WallMillis(clock_.Wall()) -
                  static_cast<std::int64_t>(aAdvert.confirmedAgeMillis);
  auto known = confirmedMillis_.load();
  while (at > known && !confirmedMillis_.compare_exchange_weak(known, at)) {
  }
}

auto Node::AdvertiseVersion() -> void
{
  for (const auto& peer : RandomPeers(kAdvertFanout)) {
    Send(peer, MakeAdvert());
  }
}

auto Node::RandomPeers(std::size_t aMaxCount) -> std::vector<Endpoint>
{
  auto peers = board_.members.Sample(aMaxCount);
  for (const auto& seed : settings_.seeds) {
    if (peers.size() < aMaxCount && seed != Self()) {
      peers.push_back(seed);
    }
  }
  return peers;
}

auto Node::IsReader() const -> bool
{
  const auto key = HashText("reader " + settings_.failureDomain);
  return board_.members.RankInDomain(key) < kReadersPerDomain;
}

auto Node::ReadListing() -> Task<bool>
{
  ++platformCalls_;
  auto read = co_await platform_.ReadListing();
  co_return leaf::try_handle_all(
    [&]() -> leaf::result<bool> {
      BOOST_LEAF_AUTO(listing, std::move(read));
      board_.members.ApplyListing(listing);
      return true;
    },
    [] { return false; });
}

auto Node::Bootstrap() -> Task<void>
{
  while (board_.documents.Version() == 0) {
    const auto before = board_.documents.Current();
    co_await ReadListing();
    ++platformCalls_;
    auto read = co_await platform_.ReadDocument(0, Millis{ 0 });
    // Peers may have a newer document than the platform, whose reads may be
    // stale.
    for (const auto& peer : RandomPeers(kBootstrapPeers)) {
      const auto knownVersion = board_.documents.Version();
      auto outcome =
        co_await Call(peer, DocumentPull{ knownVersion }, kShortPullTimeout);
      if (const auto* reply = std::get_if<DocumentReply>(&outcome.message)) {
        board_.documents.OfferReply(*reply);
      }
    }
    leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(document, std::move(read));
        const auto result =
          board_.documents.OfferText(document.text, document.version);
        if (result == OfferResult::Refused) {
          Event("document_refused").With("version", document.version).Warn();
        }
        return {};
      },
      [] {});
    current_ = board_.documents.Version() != 0;
    NotifyDocumentChange(before);
    if (!current_) {
      co_await Sleep(kRetryDelay);
    }
  }
}

auto Node::DocumentWatchLoop() -> Task<void>
{
  for (;;) {
    if (!IsReader() || board_.documents.Version() == 0) {
      co_await Sleep(kRetryDelay);
      continue;
    }
    const auto before = board_.documents.Current();
    const auto knownVersion =
      std::max(before->version, board_.documents.RefusedVersion());
    ++platformCalls_;
    auto read = co_await platform_.ReadDocument(knownVersion, kWatchTimeout);
    const bool failed = leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(document, std::move(read));
        if (!document.changed) {
          confirmedMillis_ = WallMillis(clock_.Wall());
          return false;
        }
        const auto result =
          board_.documents.OfferText(document.text, document.version);
        if (result == OfferResult::Refused) {
          for (const auto& error : board_.documents.RefusedErrors()) {
            LOG(WARNING) << "event=document_refused version="
                         << document.version << ' ' << ToText(error);
          }
        }
        if (result == OfferResult::Held) {
          ReportHeldDocument(document.version);
        }
        // The platform returned an older document than the one in force: its
        // reads are stale, or it was restored.
        return result == OfferResult::NotNewer || result == OfferResult::Held;
      },
      [] { return true; });
    NotifyDocumentChange(before);
    if (failed) {
      co_await Sleep(kRetryDelay);
    }
  }
}

auto Node::ReportHeldDocument(DocumentVersion aVersion) -> void
{
  if (aVersion == std::exchange(reportedHeld_, aVersion)) {
    return;
  }
  Event("platform_restored")
    .With("version", DocumentNumberOf(aVersion))
    .With("era", DocumentEraOf(aVersion))
    .With("in_force", DocumentNumberOf(board_.documents.Version()))
    .Warn();
  board_.journal.Add("event=platform_restored era=" +
                     std::to_string(DocumentEraOf(aVersion)));
}

auto Node::ListingLoop() -> Task<void>
{
  for (;;) {
    co_await Sleep(kListingPeriod);
    if (IsReader()) {
      co_await ReadListing();
    }
  }
}

auto Node::TickMembers() -> void
{
  const auto actions = board_.members.Tick();
  SendProbes(actions);
  for (const auto& suspect : actions.portChecks) {
    Spawn(CheckSuspectPort(suspect));
  }
  const auto changes = board_.members.TakeChanges();
  for (const auto& change : changes) {
    auto event = Event("member_changed")
                   .With("member", ToText(change.member))
                   .With("from", ToText(change.from))
                   .With("to", ToText(change.to))
                   .With("restarted", change.restarted ? 1 : 0);
    board_.journal.Add(event.Text());
    event.Info();
  }
  if (!changes.empty()) {
    nodeRole_->OnMembers(changes);
  }
}

auto Node::SendProbes(const MembershipActions& aActions) -> void
{
  for (const auto& [receiver, probe] : aActions.probes) {
    Send(receiver, probe);
  }
}

auto Node::CheckSuspectPort(Endpoint aSuspect) -> Task<void>
{
  if (!transport_->MayReach(aSuspect)) {
    co_await Sleep(kPortCheckTimeout);
    board_.members.OnPortCheck(aSuspect, false, false);
    co_return;
  }
  boost::beast::tcp_stream stream(co_await boost::asio::this_coro::executor);
  stream.expires_after(kPortCheckTimeout);
  const auto [error] = co_await stream.async_connect(
    ToAsioTcp(aSuspect), boost::asio::as_tuple(boost::asio::use_awaitable));
  const bool refused = error == boost::asio::error::connection_refused;
  board_.members.OnPortCheck(aSuspect, !error, refused);
}

} // namespace damaskwalk
