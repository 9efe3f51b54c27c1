#include "damaskwalk/damaskwalk.h"

#include <boost/json.hpp>
#include <docopt/docopt.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <iterator>

namespace {

namespace json = boost::json;

constexpr const char* kUsage = R"(damaskwalk: check, watch and explain a fleet

Usage:
  damaskwalk check DOCUMENT
  damaskwalk status [--json] [--within=MS] ADDRESS...
  damaskwalk explain flow FLOW (--document=FILE | ADDRESS...)
  damaskwalk explain request ID (--document=FILE | ADDRESS...)
  damaskwalk explain log (--request=ID | --flow=FLOW) LOG...
  damaskwalk call --fabric=ADDR [options] ADDRESS PATH
  damaskwalk (-h | --help)
  damaskwalk --version

Commands:
  check    Report every error of a configuration document.
  status   Show the version in force, members, flows, slots and queues.
  explain  Show where a flow goes and why, or what happened to a request, from
           the records of the processes asked. FLOW is CALLER:PORT>ADDRESS:PORT.
           From log files of any processes: the events of one request or flow
           in order of time. FLOW may be a prefix.
  call     Make one request to a service's ADDRESS, as a caller does.

Options:
  --json            Print JSON.
  --within=MS       Longest wait for each process [default: 1000].
  --document=FILE   Ask every agent that the document names.
  --fabric=ADDR     Address at which the fabric accepts callers' packets.
  --source=ADDR     The caller's own address [default: 10.9.0.1:40000].
  --method=NAME     HTTP method [default: GET].
  --caller=NAME     Caller's name [default: operator].
  --key=KEY         Idempotency key.
  --id=ID           Request id.
  --request=ID      Request id, in logs.
  --flow=FLOW       Flow, in logs.
  --deadline=MS     Deadline of the call [default: 3000].
  --events=N        Follow a feed until N events arrived [default: 0].
  --after=ID        Follow a feed from the event after this one.
  --trace           Record a trace of the call.
  -h --help         Show this text.
  --version         Show the version.

Exit codes: 0 success, 1 refused or not answered, 2 wrong usage.
)";

using Options = std::map<std::string, docopt::value>;

auto ReadFile(const std::string& aName, std::string& aText) -> bool
{
  std::ifstream file(aName, std::ios::binary);
  if (!file) {
    std::cerr << "event=file_unreadable file=\"" << aName << "\"\n";
    return false;
  }
  aText.assign(std::istreambuf_iterator<char>(file), {});
  return true;
}

auto Check(const Options& aOptions) -> int
{
  std::string text;
  if (!ReadFile(aOptions.at("DOCUMENT").asString(), text)) {
    return 1;
  }
  const auto problems = damaskwalk::CheckDocument(text);
  for (const auto& problem : problems) {
    std::cout << "event=document_error section=\"" << problem.section
              << "\" key=\"" << problem.key << "\" owner=\"" << problem.owner
              << "\" problem=\"" << problem.problem << "\" valid=\""
              << problem.valid << "\"\n";
  }
  std::cout << "event=document_checked errors=" << problems.size() << "\n";
  return problems.empty() ? 0 : 1;
}

auto Flatten(const json::value& aValue) -> std::string
{
  return aValue.is_string() ? std::string(aValue.get_string())
                            : json::serialize(aValue);
}

auto PrintStatus(const std::string& aText) -> void
{
  const auto status = json::parse(aText).as_object();
  std::string line = "event=status";
  for (const auto& [key, value] : status) {
    if (!value.is_array() && !value.is_object()) {
      line += " " + std::string(key) + "=" + Flatten(value);
    }
  }
  std::cout << line << "\n";
  if (const auto* members = status.if_contains("members")) {
    for (const auto& member : members->as_array()) {
      const auto& view = member.as_object();
      std::cout << "event=member of=" << Flatten(status.at("address"))
                << " member=" << Flatten(view.at("member"))
                << " role=" << Flatten(view.at("role"))
                << " state=" << Flatten(view.at("state")) << "\n";
    }
  }
}

auto Status(const Options& aOptions) -> int
{
  int code = 0;
  for (const auto& address : aOptions.at("ADDRESS").asStringList()) {
    const auto timeout =
      std::chrono::milliseconds(aOptions.at("--within").asLong());
    const auto result = damaskwalk::QueryStatus({ address, timeout });
    if (!result.ok) {
      std::cerr << "event=no_reply address=" << address << "\n";
      code = 1;
    } else if (aOptions.at("--json").asBool()) {
      std::cout << result.json << "\n";
    } else {
      PrintStatus(result.json);
    }
  }
  return code;
}

auto Explain(const Options& aOptions) -> int
{
  auto addresses = aOptions.at("ADDRESS").asStringList();
  if (aOptions.at("--document").isString()) {
    std::string text;
    if (!ReadFile(aOptions.at("--document").asString(), text)) {
      return 1;
    }
    addresses = damaskwalk::ListAgents(text);
  }
  const bool flow = aOptions.at("flow").asBool();
  const auto subject =
    flow ? aOptions.at("FLOW").asString() : aOptions.at("ID").asString();
  bool found = false;
  for (const auto& address : addresses) {
    const auto result = damaskwalk::QueryExplain(
      { address }, flow ? subject : "", flow ? "" : subject);
    if (!result.ok) {
      std::cerr << "event=no_reply address=" << address << "\n";
      continue;
    }
    const auto answer = json::parse(result.json).as_object();
    std::string line = "event=explain";
    for (const auto& [key, value] : answer) {
      if (key != "events") {
        line += " " + std::string(key) + "=" + Flatten(value);
      }
    }
    std::cout << line << "\n";
    if (const auto* events = answer.if_contains("events")) {
      for (const auto& event : events->as_array()) {
        found = true;
        std::cout << "  wall_millis=" << Flatten(event.at("wall_millis")) << " "
                  << Flatten(event.at("event")) << "\n";
      }
    }
  }
  return found ? 0 : 1;
}

auto ExplainLog(const Options& aOptions) -> int
{
  damaskwalk::LogQuery query;
  if (aOptions.at("--request").isString()) {
    query.request = aOptions.at("--request").asString();
  } else {
    query.flow = aOptions.at("--flow").asString();
  }
  std::vector<std::string> logs;
  for (const auto& name : aOptions.at("LOG").asStringList()) {
    std::string text;
    if (!ReadFile(name, text)) {
      return 1;
    }
    logs.push_back(std::move(text));
  }
  const auto timeline = damaskwalk::ExplainLogs(logs, query);
  for (const auto& line : timeline) {
    std::cout << line << "\n";
  }
  return timeline.empty() ? 1 : 0;
}

auto MakeCall(const Options& aOptions) -> int
{
  damaskwalk::CallInit init;
  init.fabric = aOptions.at("--fabric").asString();
  init.source = aOptions.at("--source").asString();
  init.address = aOptions.at("ADDRESS").asStringList().front();
  init.path = aOptions.at("PATH").asString();
  init.method = aOptions.at("--method").asString();
  init.caller = aOptions.at("--caller").asString();
  init.deadline = std::chrono::milliseconds(aOptions.at("--deadline").asLong());
  init.events = static_cast<std::uint32_t>(aOptions.at("--events").asLong());
  init.sampled = aOptions.at("--trace").asBool();
  const auto optional = [&aOptions](const char* aName, std::string& aField) {
    if (aOptions.at(aName).isString()) {
      aField = aOptions.at(aName).asString();
    }
  };
  optional("--key", init.key);
  optional("--id", init.requestId);
  optional("--after", init.lastEventId);
  const auto result = damaskwalk::Call(init);
  std::cout << "event=call request=" << result.requestId
            << " outcome=" << result.outcome << " status=" << result.status
            << " cause=" << result.cause << " closed=" << result.closeCause
            << "\n"
            << result.body << "\n";
  return result.outcome == "answered" ? 0 : 1;
}

} // namespace

auto main(int aCount, char** aArguments) -> int
{
  const auto options = docopt::docopt(kUsage,
                                      { aArguments + 1, aArguments + aCount },
                                      true,
                                      "damaskwalk " DAMASKWALK_VERSION);
  try {
    if (options.at("check").asBool()) {
      return Check(options);
    }
    if (options.at("status").asBool()) {
      return Status(options);
    }
    if (options.at("log").asBool()) {
      return ExplainLog(options);
    }
    if (options.at("explain").asBool()) {
      return Explain(options);
    }
    return MakeCall(options);
  } catch (const std::exception& error) {
    std::cerr << "event=usage_error problem=\"" << error.what() << "\"\n";
    return 2;
  }
}
