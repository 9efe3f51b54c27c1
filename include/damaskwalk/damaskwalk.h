#pragma once

// damaskwalk: a layer-4 load balancer whose fleet repairs itself and explains
// what it did. This header is the library's whole interface; the daemons and
// the command line are thin programs on it.

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace damaskwalk {

// Types.

// One fault of a configuration document.
struct DocumentProblem
{
  std::string section;
  std::string key;
  std::string owner; // team that owns the section
  std::string problem;
  std::string valid; // what would be accepted
};

// How to run a daemon.
struct DaemonInit
{
  // Path of the INI file with the settings.
  std::string settingsFile;
  // Check the settings and return without starting anything.
  bool checkOnly = false;
};

// A request to one process of the fleet.
struct QueryInit
{
  std::string address; // IPv4:port of a balancer or an agent
  std::chrono::milliseconds timeout{ 1000 };
};

// A reply as a JSON text; not ok when the process gave none.
struct QueryResult
{
  bool ok = false;
  std::string json;
};

// One call of a service through the fabric, as a caller makes it.
struct CallInit
{
  std::string fabric;                    // IPv4:port that takes frames
  std::string source = "10.9.0.1:40000"; // the caller's own address
  std::string address;                   // the service's address
  std::string method = "GET";
  std::string path = "/";
  std::string caller = "operator";
  std::string key;          // idempotency key; empty: none
  std::string requestId;    // empty: chosen here
  std::string lastEventId;  // feeds: go on after this event
  std::uint32_t events = 0; // feeds: stop after so many; 0: no feed
  std::chrono::milliseconds deadline{ 3000 };
  bool sampled = false; // record a trace
};

struct CallResult
{
  bool answered = false; // a whole answer, or the wanted events, came
  int status = 0;        // HTTP status
  std::string outcome;   // "answered", "not_run", "unknown", "no_answer"
  std::string cause;     // why, when the fleet says so
  std::string requestId;
  std::string body;
  std::string closeCause; // set when the flow ended first
};

// Daemons. Each runs until SIGTERM, drains, and returns the exit code: 0 after
// a graceful shutdown, 2 when the settings are refused.

auto RunBalancer(const DaemonInit& aInit) -> int;

auto RunAgent(const DaemonInit& aInit) -> int;

// Documents.

// Finds every fault of a document; none means that it is acceptable.
// The result depends on the text alone.
auto CheckDocument(std::string_view aText) -> std::vector<DocumentProblem>;

// Operators' questions.

auto QueryStatus(const QueryInit& aInit) -> QueryResult;

// Asks what a process knows of a flow ("CALLER>ADDRESS") or of a request's id.
auto QueryExplain(const QueryInit& aInit,
                  const std::string& aFlow,
                  const std::string& aRequestId) -> QueryResult;

// What became of a request or a flow, from the logs of several processes.
struct LogQuery
{
  std::string request; // its id; or empty, and
  std::string flow;    // "CALLER:PORT>ADDRESS:PORT" or the beginning of one
};

// @param aLogs texts of log files. @return event lines in order of time.
auto ExplainLogs(const std::vector<std::string>& aLogs, const LogQuery& aQuery)
  -> std::vector<std::string>;

// Addresses of the agents that a document names, to ask them all.
auto ListAgents(std::string_view aText) -> std::vector<std::string>;

// Callers.

// Makes one call and waits for its outcome.
auto Call(const CallInit& aInit) -> CallResult;

} // namespace damaskwalk
