#pragma once

// Reads the event lines of several processes and selects those that concern one
// request or flow.

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace damaskwalk {

struct LogLine
{
  std::string time; // UTC, sortable as text
  std::string node;
  std::string event;
  std::map<std::string, std::string> fields;
  std::string text;
};

// Parses the event lines of a log and skips all other lines.
auto ParseLogLines(std::string_view aText) -> std::vector<LogLine>;

struct TimelineQuery
{
  std::string request; // its id; empty to search by flow
  std::string flow;    // "CALLER:PORT>ADDRESS:PORT" or a prefix of it
};

// In order of time: the lines of the matching flows; before them, the last
// state_in_force line of each process that logged any of them; and the events
// of these processes meanwhile (starts, stops, pauses, state in force, settings
// reloaded, log lines dropped, store lost or regained).
auto BuildTimeline(std::vector<LogLine> aLines, const TimelineQuery& aQuery)
  -> std::vector<LogLine>;

} // namespace damaskwalk
