#pragma once

// damaskwalk: a layer-4 load balancer whose fleet recovers from faults by
// itself and can explain its decisions. This header is the library's public
// interface; the daemons and the command line are small programs on top of it.

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace damaskwalk {

// Types.

// One error in a configuration document.
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
  // Longest wait for the connection, and again for the reply.
  std::chrono::milliseconds timeout{ 1000 };
};

// A reply as JSON text; not ok when the process gave none in time.
struct QueryResult
{
  bool ok = false;
  std::string json;
};

// One request to a service through the fabric, as a caller sends it.
struct CallInit
{
  std::string fabric; // IPv4:port at which the fabric accepts frames
  std::string source = "10.9.0.1:40000"; // the caller's own address
  std::string address;                   // the service's address
  std::string method = "GET";
  std::string path = "/";
  std::string caller = "operator";
  std::string key;          // idempotency key; empty: none
  std::string requestId;    // empty: a random one
  std::string lastEventId;  // feeds: resume after this event
  std::uint32_t events = 0; // feeds: stop after this many; 0: not a feed
  std::chrono::milliseconds deadline{ 3000 };
  bool sampled = false; // record a trace
};

struct CallResult
{
  bool answered = false; // a complete answer, or the events asked for, arrived
  int status = 0;        // HTTP status
  std::string outcome;   // "answered", "not_run", "unknown", "no_answer"
  std::string cause;     // reason for the outcome, when the fleet states one
  std::string requestId;
  std::string body;
  // Why the flow ended before the answer, or "bad_address"; else empty.
  std::string closeCause;
};

// Daemons. Each runs until SIGTERM, drains, and returns the exit code: 0 after
// a graceful shutdown, 2 when the settings are refused.

auto RunBalancer(const DaemonInit& aInit) -> int;

auto RunAgent(const DaemonInit& aInit) -> int;

// Documents.

// Returns every error in a document; a valid document has none. The result
// depends on the text alone.
auto CheckDocument(std::string_view aText) -> std::vector<DocumentProblem>;

// Queries.

auto QueryStatus(const QueryInit& aInit) -> QueryResult;

// Asks a process for its records of a flow ("CALLER>ADDRESS") or of a request
// id. The other of the two is empty.
auto QueryExplain(const QueryInit& aInit,
                  const std::string& aFlow,
                  const std::string& aRequestId) -> QueryResult;

// Selects one request or flow in the logs of several processes.
struct LogQuery
{
  std::string request; // request id; empty: select by flow
  std::string flow;    // "CALLER:PORT>ADDRESS:PORT" or a prefix of it
};

// @param aLogs texts of log files.
// @return event lines in order of time.
auto ExplainLogs(const std::vector<std::string>& aLogs, const LogQuery& aQuery)
  -> std::vector<std::string>;

// Addresses of all agents that a document names, so that each can be queried;
// none when it is not valid.
auto ListAgents(std::string_view aText) -> std::vector<std::string>;

// Callers.

// Makes one call and waits for its outcome, at most one second longer than its
// deadline.
auto Call(const CallInit& aInit) -> CallResult;

} // namespace damaskwalk
