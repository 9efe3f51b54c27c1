// The part of a relay process that reads the store and exchanges state.

#include "relay/limits.h"
#include "relay_node/relay_process.h"
#include "runtime/bulk.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace damaskwalk {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace leaf = boost::leaf;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// A state of one megabyte takes most of a second over the slowest link.
constexpr Millis kPullTimeout{ 1500 };

} // namespace

auto RelayProcess::ServePeers() -> Task
{
  for (;;) {
    auto [error, socket] = co_await peerAcceptor_.async_accept(kAwait);
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (!error) {
      asio::co_spawn(init_.io, ServePeer(std::move(socket)), asio::detached);
    }
  }
}

auto RelayProcess::ServePeer(asio::ip::tcp::socket aSocket) -> Task
{
  boost::system::error_code error;
  const auto remote = aSocket.remote_endpoint(error);
  const auto peer = error ? 0U : remote.address().to_v4().to_uint();
  beast::tcp_stream stream(std::move(aSocket));
  stream.expires_after(kPullTimeout);
  const auto bytes = co_await ReadBulk(stream);
  if (!bytes) {
    co_return;
  }
  const auto request = leaf::try_handle_all(
    [&]() -> leaf::result<StateRequest> { return DecodeStateRequest(*bytes); },
    [this] {
      ++malformedPeerMessages_;
      return StateRequest{};
    });
  const auto reply = EncodeStateReply(transfer_.MakeReply(request));
  traffic_.Add(TrafficKind::State, peer, reply.size());
  co_await WriteBulk(stream, reply);
}

auto RelayProcess::StartPull(std::uint32_t aIp, bool aUrgent) -> void
{
  if (aIp == settings_.peers.ip || !pullSchedule_.Begin(aIp, aUrgent)) {
    return;
  }
  asio::co_spawn(init_.io, PullFrom(aIp), asio::detached);
}

auto RelayProcess::PullFrom(std::uint32_t aIp) -> Task
{
  const auto began = init_.clock.Now();
  auto request = EncodeStateRequest(transfer_.MakeRequest());
  const auto answer = co_await CallBulk(
    { aIp, settings_.peers.port }, std::move(request), kPullTimeout);
  pullSchedule_.End(aIp);
  if (answer.status != CallStatus::Replied) {
    co_return;
  }
  const auto took =
    std::chrono::duration_cast<Millis>(init_.clock.Now() - began);
  leaf::try_handle_all(
    [&]() -> leaf::result<void> {
      BOOST_LEAF_AUTO(reply, DecodeStateReply(answer.bytes));
      const bool starting = !state_.HasState();
      const bool changed = transfer_.Apply(std::move(reply), took);
      if (changed) {
        OnStateChanged("peer");
        exchange_.OnStatePulled(aIp, *this);
      }
      if (starting && state_.HasState()) {
        // Peers may still know the VM's previous process as stopped.
        AnnounceSelf();
      }
      return {};
    },
    [this] { ++malformedPeerMessages_; });
  FlushAll();
}

auto RelayProcess::ReadStore(ReadCause aCause) -> Task
{
  readingStore_ = true;
  const auto callsBefore = init_.source.Calls();
  const bool wantsRoutes =
    readSchedule_.WantsRoutes() || state_.Routes().version == 0;
  const auto eraBefore = state_.StoreEra();
  const auto targets = co_await Guarded(ReadTargets());
  auto operators = PartRead{};
  // A read of one part that fails says nothing of the other.
  const bool isNewEra = state_.StoreEra() != eraBefore;
  if (targets.error != StateSourceError::Unreachable &&
      (wantsRoutes || isNewEra || targets.error)) {
    operators = co_await Guarded(ReadOperators());
  }
  storeCalls_.at(static_cast<std::size_t>(aCause)) +=
    init_.source.Calls() - callsBefore;
  readingStore_ = false;
  const bool succeeded = !targets.error && !operators.error;
  readSchedule_.OnReadFinished(succeeded);
  if (succeeded) {
    OnStoreReadSucceeded();
  }
  const bool changed = targets.changed || operators.changed;
  if (changed) {
    OnStateChanged("store");
  }
  if (changed || !targets.error) {
    AnnounceSelf();
  }
  FlushAll();
}

auto RelayProcess::Guarded(asio::awaitable<PartRead> aRead)
  -> asio::awaitable<PartRead>
{
  try {
    co_return co_await std::move(aRead);
  } catch (const std::exception&) {
    guard_.Run([] { throw; });
  }
  co_return PartRead{ StateSourceError::BadAnswer };
}

auto RelayProcess::ReadTargets() -> asio::awaitable<PartRead>
{
  const auto began = init_.clock.Now();
  const auto result = co_await init_.source.ReadTargets();
  if (const auto* error = std::get_if<StateSourceError>(&result)) {
    OnStoreError("targets", *error);
    co_return PartRead{ *error };
  }
  const auto took =
    std::chrono::duration_cast<Millis>(init_.clock.Now() - began);
  const auto& read = std::get<Decoded<TargetSet>>(result);
  targetFindings_.Update(read.value.revision.number, read.findings);
  OnTargetsRead(read.value.revision);
  co_return PartRead{ {}, state_.UpdateTargets(read.value, took) };
}

auto RelayProcess::ReadOperators() -> asio::awaitable<PartRead>
{
  auto result = co_await init_.source.ReadOperatorState();
  if (const auto* error = std::get_if<StateSourceError>(&result)) {
    OnStoreError("routes", *error);
    co_return PartRead{ *error };
  }
  co_return PartRead{
    {}, OnOperatorRead(std::get<Decoded<OperatorState>>(result))
  };
}

auto RelayProcess::OnOperatorRead(Decoded<OperatorState>& aRead) -> bool
{
  auto& routes = aRead.value.routes;
  bool changed = false;
  if (!routes.versions.empty() || !aRead.findings.empty()) {
    const auto version = routes.versions.empty()
                           ? state_.Routes().version
                           : routes.versions.back().version;
    routeFindings_.Update(version, aRead.findings);
    changed = state_.ApplySuccession(std::move(routes));
  }
  // After the routes, whose limits say how long a server is then cold.
  changed |=
    !state_.UpdateEvacuations(std::move(aRead.value.evacuations)).IsEmpty();
  return changed;
}

auto RelayProcess::OnStoreError(const char* aWhat, StateSourceError aError)
  -> void
{
  if (!std::exchange(storeLost_, true)) {
    init_.log.Write(EventLevel::Warning,
                    Event("store_lost")
                      .With("reading", aWhat)
                      .With("cause", ToText(aError))
                      .With("age_ms", state_.Digest().age.count())
                      .Text());
  }
}

auto RelayProcess::OnStoreReadSucceeded() -> void
{
  if (std::exchange(storeLost_, false)) {
    init_.log.Write(EventLevel::Info, Event("store_regained").Text());
  }
}

auto RelayProcess::OnTargetsRead(const StoreRevision& aRevision) -> void
{
  const bool ignored = state_.IsStale(aRevision);
  ignoredReads_ += ignored ? 1 : 0;
  if (ignored == std::exchange(ignoringReads_, ignored)) {
    return;
  }
  const auto& known = state_.Targets().revision;
  init_.log.Write(ignored ? EventLevel::Warning : EventLevel::Info,
                  Event(ignored ? "store_reads_ignored" : "store_reads_taken")
                    .With("era", aRevision.era)
                    .With("revision", aRevision.number)
                    .With("era_known", known.era)
                    .With("revision_known", known.number)
                    .With("ignored", ignoredReads_)
                    .With("age_ms", state_.Digest().age.count())
                    .Text());
}

auto RelayProcess::LogRestore() -> void
{
  const auto before = std::exchange(storeEra_, state_.StoreEra());
  if (before == 0 || before == storeEra_) {
    return;
  }
  init_.log.Write(EventLevel::Warning,
                  Event("store_restored")
                    .With("era", storeEra_)
                    .With("era_before", before)
                    .With("era_in_force", state_.Targets().revision.era)
                    .With("revision_in_force", state_.Targets().revision.number)
                    .With("age_ms", state_.Digest().age.count())
                    .Text());
}

auto RelayProcess::OnStateChanged(const char* aCause) -> void
{
  std::size_t open = 0;
  for (const auto& known : state_.KnownTargets()) {
    open += known.standing == TargetStanding::Open ? 1 : 0;
  }
  const auto digest = state_.Digest();
  init_.log.Write(EventLevel::Info,
                  Event("state_in_force")
                    .With("cause", aCause)
                    .With("routes", digest.routes)
                    .With("targets", digest.targets.number)
                    .With("era", digest.targets.era)
                    .With("age_ms", digest.age.count())
                    .With("history_complete", digest.historyComplete)
                    .With("open_targets", open)
                    .With("known_targets", state_.KnownTargets().size())
                    .Text());
  LogEvacuations(aCause);
  exchange_.OnStateChanged();
  transfer_.OnTargetsChanged();
  UpdateFarTargets();
  if (agent_) {
    agent_->OnStateChanged(*this);
  }
  if (state_.HasState() && !waitingPackets_.empty()) {
    ReplayWaitingPackets();
  }
}

auto RelayProcess::LogEvacuations(const char* aCause) -> void
{
  const auto& current = state_.CurrentEvacuations();
  const auto log = [&](const char* aEvent, const std::string& aDomain) {
    init_.log.Write(EventLevel::Info,
                    Event(aEvent)
                      .With("domain", aDomain)
                      .With("cause", aCause)
                      .With("revision", current.revision.number)
                      .With("era", current.revision.era)
                      .With("age_ms", state_.Digest().age.count())
                      .Text());
  };
  const auto& inForce = state_.EvacuatedDomains();
  std::set<std::string> domains(inForce.begin(), inForce.end());
  for (const auto& domain : domains) {
    if (!evacuated_.contains(domain)) {
      log("evacuation_in_force", domain);
    }
  }
  for (const auto& domain : evacuated_) {
    if (!domains.contains(domain)) {
      log("evacuation_lifted", domain);
    }
  }
  evacuated_ = std::move(domains);
}

auto RelayProcess::UpdateFarTargets() -> void
{
  std::unordered_set<std::uint32_t> far;
  for (const auto& known : state_.KnownTargets()) {
    if (known.target.failureDomain != settings_.failureDomain) {
      far.insert(known.target.agent.ip);
    }
  }
  traffic_.SetFar(std::move(far));
}

} // namespace damaskwalk
