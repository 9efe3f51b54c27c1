#include "core/log_timeline.h"

#include <algorithm>
#include <set>

namespace damaskwalk {

namespace {

// Removes one key=value pair from the front of aRest; the value may be quoted.
auto TakeField(std::string_view& aRest)
  -> std::pair<std::string_view, std::string>
{
  const auto begin = aRest.find_first_not_of(' ');
  const auto equals =
    begin == std::string_view::npos ? begin : aRest.find('=', begin);
  if (equals == std::string_view::npos) {
    aRest = {};
    return {};
  }
  const auto key = aRest.substr(begin, equals - begin);
  aRest.remove_prefix(equals + 1);
  std::string value;
  if (!aRest.starts_with('"')) {
    const auto size = std::min(aRest.find(' '), aRest.size());
    value = aRest.substr(0, size);
    aRest.remove_prefix(size);
    return { key, value };
  }
  std::size_t at = 1;
  while (at < aRest.size() && aRest[at] != '"') {
    at += aRest[at] == '\\' ? 1 : 0;
    value += at < aRest.size() ? aRest.substr(at, 1) : "";
    ++at;
  }
  aRest.remove_prefix(std::min(at + 1, aRest.size()));
  return { key, value };
}

auto ParseLine(std::string_view aText) -> LogLine
{
  LogLine line;
  line.text = aText;
  while (!aText.empty()) {
    auto [key, value] = TakeField(aText);
    if (key == "time") {
      line.time = std::move(value);
    } else if (key == "node") {
      line.node = std::move(value);
    } else if (key == "event") {
      line.event = std::move(value);
    } else if (!key.empty()) {
      line.fields[std::string(key)] = std::move(value);
    }
  }
  return line;
}

auto Field(const LogLine& aLine, const char* aKey) -> std::string
{
  const auto found = aLine.fields.find(aKey);
  return found == aLine.fields.end() ? std::string() : found->second;
}

// True for events that concern a whole process rather than one flow.
auto IsProcessEvent(const LogLine& aLine) -> bool
{
  static const std::set<std::string> kEvents = {
    "started",           "stopping",          "stopped",
    "pause_noticed",     "store_lost",        "store_regained",
    "reloaded",          "log_lines_dropped", "evacuation_in_force",
    "evacuation_lifted", "store_restored",    "store_reads_ignored",
    "store_reads_taken", "platform_restored",
  };
  return kEvents.contains(aLine.event);
}

auto FlowsOf(const std::vector<LogLine>& aLines, const TimelineQuery& aQuery)
  -> std::set<std::string>
{
  std::set<std::string> flows;
  for (const auto& line : aLines) {
    const auto flow = Field(line, "flow");
    const bool matches = aQuery.request.empty()
                           ? flow.starts_with(aQuery.flow)
                           : Field(line, "request") == aQuery.request;
    if (matches && !flow.empty()) {
      flows.insert(flow);
    }
  }
  return flows;
}

} // namespace

auto ParseLogLines(std::string_view aText) -> std::vector<LogLine>
{
  std::vector<LogLine> lines;
  while (!aText.empty()) {
    const auto size = std::min(aText.find('\n'), aText.size());
    auto text = aText.substr(0, size);
    aText.remove_prefix(std::min(size + 1, aText.size()));
    // Log collectors may put a prefix before the line.
    const auto begin = text.find("time=");
    if (begin == std::string_view::npos) {
      continue;
    }
    auto line = ParseLine(text.substr(begin));
    if (!line.event.empty()) {
      lines.push_back(std::move(line));
    }
  }
  return lines;
}

auto BuildTimeline(std::vector<LogLine> aLines, const TimelineQuery& aQuery)
  -> std::vector<LogLine>
{
  const auto flows = FlowsOf(aLines, aQuery);
  std::ranges::stable_sort(aLines, {}, &LogLine::time);
  const auto concernsFlows = [&flows](const LogLine& aLine) {
    return flows.contains(Field(aLine, "flow"));
  };
  const auto first = std::ranges::find_if(aLines, concernsFlows);
  if (first == aLines.end()) {
    return {};
  }
  const auto last = std::find_if(aLines.rbegin(), aLines.rend(), concernsFlows);
  std::set<std::string> nodes;
  for (const auto& line : aLines) {
    if (concernsFlows(line)) {
      nodes.insert(line.node);
    }
  }
  std::map<std::string, LogLine> stateBefore;
  for (auto line = aLines.begin(); line != first; ++line) {
    if (line->event == "state_in_force" && nodes.contains(line->node)) {
      stateBefore[line->node] = *line;
    }
  }
  std::vector<LogLine> timeline;
  timeline.reserve(stateBefore.size() + flows.size());
  for (auto& [node, line] : stateBefore) {
    timeline.push_back(std::move(line));
  }
  for (auto line = first; line != last.base(); ++line) {
    const bool isOfInvolvedNode =
      nodes.contains(line->node) &&
      (IsProcessEvent(*line) || line->event == "state_in_force");
    if (isOfInvolvedNode || concernsFlows(*line)) {
      timeline.push_back(*line);
    }
  }
  return timeline;
}

} // namespace damaskwalk
