// Stand-in for callers: many flows in one process, some of them heavy. Records
// requests, answers and the end of each flow in a history for the checker.
//
// Control datagrams: "think LOAD MILLIS" (sets the think time), "mark NAME"
// (records a mark), "stop" (closes every flow).

#include "core/config.h"
#include "runtime/caller_flow.h"
#include "runtime/transport.h"

#include <SimpleIni.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <docopt/docopt.h>

#include <poll.h>

#include <array>
#include <atomic>
#include <csignal>
#include <fstream>
#include <random>
#include <sstream>
#include <unordered_map>

namespace {

using namespace damaskwalk;
namespace asio = boost::asio;
namespace leaf = boost::leaf;
using asio::ip::udp;

constexpr const char* kUsage = R"(standin-callers

Usage:
  standin-callers --settings=FILE --history=FILE [--seed=N]

Options:
  --settings=FILE  Loads, each in a section [load NAME].
  --history=FILE   File to which requests, answers and flows are appended.
  --seed=N         Seed of the random generator [default: 1].
)";

// Time past a request's deadline after which it is recorded as unanswered.
constexpr Millis kDeadlineMargin{ 400 };
constexpr Millis kReopenDelay{ 200 };

std::atomic<bool> gStop{ false };

struct Load
{
  std::string name;
  std::string service;
  std::vector<Endpoint> addresses;
  std::string kind = "request"; // or "feed"
  std::string method = "GET";
  std::string path = "/";
  int flows = 1;
  int callers = 1;   // number of caller names that the flows share
  double think = 50; // mean milliseconds from a response to the next request
  // Requests of one flow before the caller closes it; 0: no limit.
  double perFlow = 0;
  bool once = false; // requests must not run twice: they carry a key
  double repeat = 0; // share of requests sent again with the same key
  Millis deadline{ 3000 };
  Millis openFor{ 1000 }; // time over which the flows are opened
  bool tokens = true;     // echo TCP timestamps
  double sampled = 0;     // share of requests with a trace
};

struct Client
{
  Load* load = nullptr;
  int index = 0;
  FlowKey key;
  std::unique_ptr<CallerFlow> flow;
  bool established = false;
  bool closing = false;
  TimePoint nextAt;
  std::uint64_t responses = 0;
  // The open request.
  std::string id;
  std::string idempotencyKey;
  std::int64_t issued = 0;
  TimePoint sentAt;
  bool repeated = false;
  // A request to repeat on the next flow.
  std::string repeatKey;
  std::int64_t repeatIssued = 0;
};

class Callers
{
public:
  Callers(const std::string& aSettings,
          const std::string& aHistory,
          std::uint64_t aSeed)
    : random_(aSeed)
    , history_(aHistory, std::ios::app)
    , socket_(io_)
    , control_(io_)
  {
    CSimpleIniA ini(true, false, false);
    ini.LoadFile(aSettings.c_str());
    const auto endpoint = [&ini](const char* aKey) {
      return *ParseEndpoint(ini.GetValue("callers", aKey, ""));
    };
    fabric_ = ToAsioUdp(endpoint("fabric"));
    Bind(socket_, endpoint("listen"));
    Bind(control_, endpoint("control"));
    boost::system::error_code ignored;
    socket_.set_option(udp::socket::receive_buffer_size(8 << 20), ignored);
    CSimpleIniA::TNamesDepend sections;
    ini.GetAllSections(sections);
    sections.sort(CSimpleIniA::Entry::LoadOrder());
    for (const auto& section : sections) {
      const std::string name = section.pItem;
      if (name.starts_with("load ")) {
        loads_.push_back(ReadLoad(ini, name));
      }
    }
    MakeClients();
  }

  auto Run() -> void
  {
    std::array<pollfd, 2> polls = {
      pollfd{ socket_.native_handle(), POLLIN, 0 },
      pollfd{ control_.native_handle(), POLLIN, 0 }
    };
    while (!gStop && !finished_) {
      ::poll(polls.data(), polls.size(), 1);
      ReadControl();
      ReadFrames();
      if (clock_.Now() - polled_ >= Millis{ 2 + clients_.size() / 1000 }) {
        polled_ = clock_.Now();
        for (auto& client : clients_) {
          Step(client);
        }
      }
    }
    History() << "event=end t=" << Wall() << "\n";
    history_.flush();
  }

private:
  static auto Bind(udp::socket& aSocket, const Endpoint& aEndpoint) -> void
  {
    aSocket.open(udp::v4());
    aSocket.bind(ToAsioUdp(aEndpoint));
    aSocket.non_blocking(true);
  }

  static auto ReadLoad(const CSimpleIniA& aIni, const std::string& aSection)
    -> Load
  {
    const auto text = [&](const char* aKey, const char* aDefault) {
      return std::string(aIni.GetValue(aSection.c_str(), aKey, aDefault));
    };
    Load load;
    load.name = aSection.substr(5);
    load.service = text("service", "");
    std::istringstream list(text("addresses", ""));
    for (std::string item; std::getline(list, item, ',');) {
      load.addresses.push_back(*ParseEndpoint(item));
    }
    load.kind = text("kind", "request");
    load.method = text("method", "GET");
    load.path = text("path", "/");
    load.flows = std::stoi(text("flows", "1"));
    load.callers = std::stoi(text("callers", "1"));
    load.think = std::stod(text("think_ms", "50"));
    load.perFlow = std::stod(text("requests_per_flow", "0"));
    load.once = text("once", "no") == "yes";
    load.repeat = std::stod(text("repeat", "0"));
    load.deadline = Millis{ std::stol(text("deadline_ms", "3000")) };
    load.openFor = Millis{ std::stol(text("open_for_ms", "1000")) };
    load.tokens = text("tokens", "yes") == "yes";
    load.sampled = std::stod(text("sampled", "0"));
    return load;
  }

  auto MakeClients() -> void
  {
    std::size_t total = 0;
    for (const auto& load : loads_) {
      total += static_cast<std::size_t>(load.flows);
    }
    clients_.resize(total);
    std::size_t next = 0;
    for (auto& load : loads_) {
      for (int i = 0; i < load.flows; ++i) {
        auto& client = clients_[next++];
        client.load = &load;
        client.index = i;
        client.nextAt = clock_.Now() + load.openFor * i / load.flows;
      }
    }
  }

  auto History() -> std::ofstream& { return history_; }
  auto Wall() const -> std::int64_t { return WallMillis(clock_.Wall()); }
  auto DrawUniform() -> double
  {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  auto ReadControl() -> void
  {
    std::array<char, 1024> bytes{};
    boost::system::error_code error;
    const auto count = control_.receive(asio::buffer(bytes), 0, error);
    if (error) {
      return;
    }
    std::istringstream text(std::string(bytes.data(), count));
    std::string verb;
    std::string name;
    text >> verb;
    if (verb == "stop") {
      for (auto& client : clients_) {
        if (client.flow) {
          History() << "event=flow_closed flow=" << ToText(client.key)
                    << " cause=caller t=" << Wall() << "\n";
          client.flow->Close();
          Stream::Frames out;
          client.flow->Poll(clock_.Now(), out);
          Send(out);
        }
      }
      finished_ = true;
      clients_.clear();
      byFlow_.clear();
    } else if (verb == "think") {
      double think = 0;
      text >> name >> think;
      for (auto& load : loads_) {
        load.think = load.name == name ? think : load.think;
      }
    } else if (verb == "mark") {
      text >> name;
      History() << "event=mark name=" << name << " t=" << Wall() << "\n";
    }
  }

  auto Send(const Stream::Frames& aFrames) -> void
  {
    for (const auto& frame : aFrames) {
      boost::system::error_code ignored;
      socket_.send_to(asio::buffer(EncodeFrame(frame)), fabric_, 0, ignored);
    }
  }

  auto ReadFrames() -> void
  {
    std::array<char, kMaxDatagramBytes> bytes{};
    for (int i = 0; i < 512; ++i) {
      boost::system::error_code error;
      const auto count = socket_.receive(asio::buffer(bytes), 0, error);
      if (error) {
        return;
      }
      leaf::try_handle_all(
        [&]() -> leaf::result<void> {
          BOOST_LEAF_AUTO(frame, DecodeFrame({ bytes.data(), count }));
          const auto found = byFlow_.find({ frame.destination, frame.source });
          if (found != byFlow_.end()) {
            auto& client = clients_[found->second];
            Stream::Frames out;
            client.flow->OnFrame(frame, clock_.Now(), out);
            Send(out);
            Step(client);
          }
          return {};
        },
        [] {});
    }
  }

  auto OpenFlow(Client& aClient) -> void
  {
    ++opened_;
    const auto& load = *aClient.load;
    aClient.key.caller = { 0x0A090000U + (opened_ >> 14),
                           static_cast<std::uint16_t>(1024 +
                                                      (opened_ & 0x3FFF)) };
    aClient.key.address = load.addresses[opened_ % load.addresses.size()];
    CallerFlowInit init;
    init.flow = aClient.key;
    init.initialSequence = static_cast<std::uint32_t>(random_());
    init.echoTimestamps = load.tokens;
    aClient.flow = std::make_unique<CallerFlow>(init, clock_.Now());
    aClient.established = false;
    aClient.closing = false;
    aClient.responses = 0;
    aClient.id.clear();
    byFlow_[aClient.key] = static_cast<std::size_t>(&aClient - clients_.data());
    History() << "event=flow_open flow=" << ToText(aClient.key)
              << " service=" << load.service << " load=" << load.name
              << " t=" << Wall() << "\n";
    aClient.nextAt = clock_.Now();
  }

  auto CallerName(const Client& aClient) const -> std::string
  {
    const auto& load = *aClient.load;
    return load.name + "-" + std::to_string(aClient.index % load.callers);
  }

  auto SendRequest(Client& aClient) -> void
  {
    const auto& load = *aClient.load;
    const bool isRepeat = !aClient.repeatKey.empty();
    aClient.id = load.name + "-" + std::to_string(++requests_);
    aClient.issued = isRepeat ? aClient.repeatIssued : Wall();
    aClient.idempotencyKey = isRepeat ? aClient.repeatKey : "";
    if (load.once && !isRepeat) {
      aClient.idempotencyKey = "key-" + aClient.id;
    }
    aClient.repeated = isRepeat;
    aClient.repeatKey.clear();
    aClient.sentAt = clock_.Now();
    CallerRequest request;
    request.method = load.method;
    request.path = load.path;
    request.host = load.service;
    request.caller = CallerName(aClient);
    request.requestId = aClient.id;
    request.key = aClient.idempotencyKey;
    request.issuedMillis = aClient.issued;
    request.deadline = load.deadline;
    if (DrawUniform() < load.sampled) {
      request.trace = { random_() | 1, random_() | 1, 0 };
    }
    aClient.flow->Send(MakeRequestText(request), request.trace);
    History() << "event=request id=" << aClient.id
              << " key=" << aClient.idempotencyKey
              << " service=" << load.service << " load=" << load.name
              << " address=" << ToText(aClient.key.address)
              << " caller=" << request.caller << " flow=" << ToText(aClient.key)
              << " feed=" << (load.kind == "feed" ? 1 : 0)
              << " once=" << (load.once ? 1 : 0) << " t=" << Wall() << "\n";
  }

  auto Step(Client& aClient) -> void
  {
    const auto now = clock_.Now();
    if (!aClient.flow) {
      if (now >= aClient.nextAt) {
        OpenFlow(aClient);
      }
      return;
    }
    RecordReceived(aClient);
    auto& flow = *aClient.flow;
    if (flow.State() == StreamState::Established && !aClient.established) {
      aClient.established = true;
      History() << "event=flow_established flow=" << ToText(aClient.key)
                << " t=" << Wall() << "\n";
      // Random first delay, so that flows with long think times do not all send
      // their requests at once.
      if (aClient.load->think > 1000) {
        aClient.nextAt =
          now +
          Millis{ static_cast<long>(DrawUniform() * aClient.load->think) };
      }
    }
    const bool ready = aClient.established && aClient.id.empty() &&
                       !aClient.closing && now >= aClient.nextAt &&
                       flow.State() == StreamState::Established;
    if (ready) {
      SendRequest(aClient);
    }
    const bool overdue =
      !aClient.id.empty() && aClient.load->kind != "feed" &&
      now - aClient.sentAt > aClient.load->deadline + kDeadlineMargin;
    if (overdue) {
      RecordResponse(aClient, { 0, "no_answer", "", aClient.id, "" });
      CloseByCaller(aClient);
    }
    Stream::Frames out;
    flow.Poll(now, out);
    Send(out);
    const bool remoteClosed =
      flow.RemoteClosed() && flow.State() != StreamState::Closed;
    if (remoteClosed) {
      flow.Close();
    }
    if (flow.State() == StreamState::Closed) {
      RecordFlowEnd(aClient);
    }
  }

  auto RecordReceived(Client& aClient) -> void
  {
    while (auto answer = aClient.flow->TakeResponse()) {
      RecordResponse(aClient, *answer);
    }
    for (const auto& event : aClient.flow->TakeEvents()) {
      History() << "event=feed flow=" << ToText(aClient.key)
                << " id=" << event.id << " service=" << event.data
                << " t=" << Wall() << "\n";
    }
  }

  auto RecordResponse(Client& aClient, const CallerResponse& aResponse) -> void
  {
    const auto& load = *aClient.load;
    if (aClient.closing) {
      return; // the caller has already given up the request
    }
    if (aClient.id.empty()) {
      History() << "event=stray_answer flow=" << ToText(aClient.key)
                << " id=" << aResponse.requestId << " t=" << Wall() << "\n";
      return;
    }
    const bool ran = aResponse.outcome == "answered";
    const auto& body = aResponse.body;
    // A stored response of an earlier attempt names that attempt's request.
    const auto fromRequestId = ran && aResponse.status == 200
                                 ? body.substr(body.find(";request=") + 9)
                                 : "";
    const auto answeredId = ran && aResponse.status == 200
                              ? fromRequestId.substr(0, fromRequestId.find(';'))
                              : aResponse.requestId;
    const bool complete =
      !ran || aResponse.status != 200 || body.ends_with(";end=" + answeredId);
    const bool correct = aResponse.requestId == aClient.id || aClient.repeated;
    const auto answeringService = body.starts_with("service=")
                                    ? body.substr(8, body.find(';') - 8)
                                    : load.service;
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(
      clock_.Now() - aClient.sentAt);
    History() << "event=answer id=" << aClient.id
              << " key=" << aClient.idempotencyKey
              << " caller=" << CallerName(aClient) << " load=" << load.name
              << " outcome=" << aResponse.outcome
              << " status=" << aResponse.status << " cause=" << aResponse.cause
              << " whole=" << (complete ? 1 : 0)
              << " right=" << (correct ? 1 : 0)
              << " service=" << answeringService << " wanted=" << load.service
              << " micros=" << latency.count() << " t=" << Wall() << "\n";
    const bool refused = aResponse.outcome == "not_run";
    const bool repeats =
      load.once &&
      (aResponse.outcome != "answered" || DrawUniform() < load.repeat) &&
      !aClient.repeated;
    if (repeats) {
      aClient.repeatKey = aClient.idempotencyKey;
      aClient.repeatIssued = aClient.issued;
    }
    aClient.id.clear();
    ++aClient.responses;
    const auto wait = refused ? std::max(load.think, 100.0) : load.think;
    std::exponential_distribution<double> think(1.0 / std::max(wait, 0.01));
    aClient.nextAt =
      clock_.Now() + std::chrono::microseconds(
                       static_cast<std::int64_t>(think(random_) * 1000));
    const bool last = load.perFlow > 0 && aClient.responses >= load.perFlow;
    if (last || (repeats && aClient.load->perFlow > 0)) {
      CloseByCaller(aClient);
    }
  }

  auto CloseByCaller(Client& aClient) -> void
  {
    if (!aClient.closing) {
      aClient.closing = true;
      aClient.id.clear();
      aClient.flow->Close();
    }
  }

  auto RecordFlowEnd(Client& aClient) -> void
  {
    const auto cause = aClient.closing ? "caller"
                       : aClient.flow->Cause() == CloseCause::Reset
                         ? (aClient.established ? "reset" : "refused")
                       : aClient.flow->Cause() == CloseCause::Timeout
                         ? "timeout"
                         : "service";
    History() << "event=flow_closed flow=" << ToText(aClient.key)
              << " cause=" << cause << " load=" << aClient.load->name
              << " established=" << (aClient.established ? 1 : 0)
              << " t=" << Wall() << "\n";
    const bool open = !aClient.id.empty() && aClient.load->kind != "feed";
    if (open) {
      RecordResponse(aClient, { 0, "no_answer", "flow_ended", aClient.id, "" });
    }
    byFlow_.erase(aClient.key);
    aClient.flow.reset();
    aClient.nextAt = clock_.Now() + kReopenDelay;
  }

  asio::io_context io_;
  std::mt19937_64 random_;
  std::ofstream history_;
  udp::socket socket_;
  udp::socket control_;
  udp::endpoint fabric_;
  SystemClock clock_;
  std::vector<Load> loads_;
  std::vector<Client> clients_;
  std::unordered_map<FlowKey, std::size_t, KeyHash> byFlow_;
  TimePoint polled_;
  std::uint32_t opened_ = 0;
  std::uint64_t requests_ = 0;
  bool finished_ = false;
};

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  auto options =
    docopt::docopt(kUsage, { aArguments + 1, aArguments + aCount }, true);
  std::signal(SIGTERM, [](int) { gStop = true; });
  Callers callers(options["--settings"].asString(),
                  options["--history"].asString(),
                  static_cast<std::uint64_t>(options["--seed"].asLong()));
  callers.Run();
  return 0;
}
