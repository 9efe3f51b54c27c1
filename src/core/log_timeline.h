#pragma once

// Reads event lines of several processes and picks those that tell what became
// of one request or flow.

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace damaskwalk {

struct LogLine
{
  std::string time; // sorts as text
  std::string node;
  std::string event;
  std::map<std::string, std::string> fields;
  std::string text;
};

// Lines that are no event lines are left out.
auto ParseLogLines(std::string_view aText) -> std::vector<LogLine>;

struct TimelineQuery
{
  std::string request; // its id; or empty, and
  std::string flow;    // "CALLER:PORT>ADDRESS:PORT" or the beginning of one
};

// In order of time: the lines of the request's flows; before them, what each
// process involved had last said of its state; and its starts, stops, pauses
// and lost or regained dependencies meanwhile.
auto BuildTimeline(std::vector<LogLine> aLines, const TimelineQuery& aQuery)
  -> std::vector<LogLine>;

} // namespace damaskwalk
