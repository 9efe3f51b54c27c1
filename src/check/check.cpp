#include "damaskwalk/check.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <unordered_map>

namespace damaskwalk {

namespace {

constexpr std::size_t kMaxEvidenceLines = 20;
// Services with a lower mean utilisation do not count in the imbalance.
constexpr double kMinComparedUtilisation = 0.3;

using Fields = std::unordered_map<std::string, std::string>;

auto ParseLine(const std::string& aLine) -> Fields
{
  Fields fields;
  std::istringstream stream(aLine);
  for (std::string pair; stream >> pair;) {
    const auto equals = pair.find('=');
    if (equals != std::string::npos) {
      fields[pair.substr(0, equals)] = pair.substr(equals + 1);
    }
  }
  return fields;
}

auto Field(const Fields& aFields, const char* aName) -> std::string
{
  const auto found = aFields.find(aName);
  return found == aFields.end() ? "" : found->second;
}

auto NumericField(const Fields& aFields, const char* aName) -> double
{
  return std::strtod(Field(aFields, aName).c_str(), nullptr);
}

struct RequestRecord
{
  std::string address;
  std::string service;
  double at = 0;
};

// The document assigns the address to the service from this time on.
struct Assignment
{
  double at = 0;
  std::string service;
};

// Longest time from the acceptance of a document until all processes use it.
constexpr double kInForceMillis = 5000;

struct RunRecord
{
  std::string id;
  std::string service;
  double at = 0;
  std::string line;
};

struct AnswerRecord
{
  std::string id;
  std::string key;
  std::string outcome;
  double at = 0;
  double micros = 0;
  std::string load;
  std::string service;
};

struct UsageSample
{
  double at = 0;
  double busyMillis = 0;
  double slots = 1;
  bool healthy = true;
};

class HistoryChecker
{
public:
  auto OnLine(const std::string& aLine) -> void
  {
    const auto fields = ParseLine(aLine);
    const auto event = Field(fields, "event");
    if (event == "flow_open") {
      ++verdict_.flowsOpened;
    } else if (event == "flow_closed") {
      OnFlowClosed(fields, aLine);
    } else if (event == "request") {
      if (Field(fields, "feed") != "1") {
        ++verdict_.requests;
      }
      requests_[Field(fields, "id")] = { Field(fields, "address"),
                                         Field(fields, "service"),
                                         NumericField(fields, "t") };
    } else if (event == "answer") {
      OnAnswer(fields, aLine);
    } else if (event == "stray_answer") {
      ++verdict_.wrongAnswer;
      AddEvidence(aLine);
    } else if (event == "feed") {
      OnFeedEvent(fields, aLine);
    } else if (event == "run") {
      OnRun(fields, aLine);
    } else if (event == "usage") {
      usage_[{ Field(fields, "service"), Field(fields, "server") }].push_back(
        { NumericField(fields, "t"),
          NumericField(fields, "busy_ms"),
          NumericField(fields, "slots"),
          Field(fields, "fit") == "1" });
    } else if (event == "assign") {
      assigned_[Field(fields, "address")].push_back(
        { NumericField(fields, "t"), Field(fields, "service") });
    } else if (event == "mark") {
      marks_[Field(fields, "name")] = NumericField(fields, "t");
    }
  }

  auto Finish() -> Verdict
  {
    CheckRuns();
    CheckNotRun();
    ComputeImbalance();
    ComputeLoadFigures();
    return std::move(verdict_);
  }

private:
  auto AddEvidence(const std::string& aLine) -> void
  {
    if (verdict_.evidence.size() < kMaxEvidenceLines) {
      verdict_.evidence.push_back(aLine);
    }
  }

  auto OnFlowClosed(const Fields& aFields, const std::string& aLine) -> void
  {
    const auto cause = Field(aFields, "cause");
    const auto flow = Field(aFields, "flow");
    const auto assigned = assigned_.find(flow.substr(flow.find('>') + 1));
    // A flow is expected to end when its address moves to another service.
    const bool moved =
      assigned != assigned_.end() &&
      assigned->second.front().service != assigned->second.back().service;
    const bool broken =
      cause != "caller" && !moved && Field(aFields, "established") == "1";
    if (broken) {
      ++verdict_.flowsBroken;
      AddEvidence(aLine);
    }
  }

  auto OnAnswer(const Fields& aFields, const std::string& aLine) -> void
  {
    const auto outcome = Field(aFields, "outcome");
    const bool answered = outcome == "answered";
    verdict_.answered += answered ? 1 : 0;
    verdict_.notRun += outcome == "not_run" ? 1 : 0;
    verdict_.unknown += !answered && outcome != "not_run" ? 1 : 0;
    const bool incomplete = answered && Field(aFields, "whole") != "1";
    const bool wrong = answered && Field(aFields, "right") != "1";
    const auto request = requests_.find(Field(aFields, "id"));
    const bool foreign =
      answered && (request == requests_.end()
                     ? Field(aFields, "service") != Field(aFields, "wanted")
                     : !MayServe(request->second,
                                 Field(aFields, "service"),
                                 NumericField(aFields, "t")));
    verdict_.incompleteAnswer += incomplete ? 1 : 0;
    verdict_.wrongAnswer += wrong ? 1 : 0;
    verdict_.wrongService += foreign ? 1 : 0;
    if (incomplete || wrong || foreign) {
      AddEvidence(aLine);
    }
    answers_.push_back({ Field(aFields, "id"),
                         Field(aFields, "key"),
                         outcome,
                         NumericField(aFields, "t"),
                         NumericField(aFields, "micros"),
                         Field(aFields, "load"),
                         Field(aFields, "service") });
  }

  auto OnFeedEvent(const Fields& aFields, const std::string& aLine) -> void
  {
    ++verdict_.feedEvents;
    const auto id = std::atoll(Field(aFields, "id").c_str());
    const auto [last, first] =
      lastEvent_.try_emplace(Field(aFields, "flow"), id);
    if (first) {
      return;
    }
    const bool gap = id > last->second + 1;
    const bool repeat = id <= last->second;
    verdict_.feedGaps += gap ? 1 : 0;
    verdict_.feedRepeats += repeat ? 1 : 0;
    if (gap || repeat) {
      AddEvidence(aLine);
    }
    last->second = std::max<long long>(last->second, id);
  }

  auto OnRun(const Fields& aFields, const std::string& aLine) -> void
  {
    ++verdict_.runs;
    const RunRecord run{ Field(aFields, "id"),
                         Field(aFields, "service"),
                         NumericField(aFields, "t"),
                         aLine };
    runsById_[run.id].push_back(run);
    const auto key = Field(aFields, "key");
    if (!key.empty()) {
      // A key names one operation of one service.
      runsByKey_[run.service + "|" + key].push_back(run);
    }
  }

  // The service to which the requested address was assigned at the time of the
  // request.
  auto ServiceAt(const RequestRecord& aRequest) const -> std::string
  {
    const auto found = assigned_.find(aRequest.address);
    auto service = aRequest.service;
    if (found != assigned_.end()) {
      for (const auto& assignment : found->second) {
        service = assignment.at <= aRequest.at ? assignment.service : service;
      }
    }
    return service;
  }

  // @param aAt when the service ran or answered the request.
  // @return true when the requested address was assigned to the service at any
  // time from kInForceMillis before the request until aAt.
  auto MayServe(const RequestRecord& aRequest,
                const std::string& aService,
                double aAt) const -> bool
  {
    const auto found = assigned_.find(aRequest.address);
    if (found == assigned_.end()) {
      return aRequest.service == aService;
    }
    const auto& list = found->second;
    for (std::size_t i = 0; i < list.size(); ++i) {
      const auto end = i + 1 < list.size() ? list[i + 1].at : aAt;
      const bool overlaps =
        list[i].at <= aAt && end >= aRequest.at - kInForceMillis;
      if (list[i].service == aService && overlaps) {
        return true;
      }
    }
    return false;
  }

  auto CheckRuns() -> void
  {
    for (const auto& [key, runs] : runsByKey_) {
      if (runs.size() > 1) {
        ++verdict_.ranTwice;
        AddEvidence(runs.back().line);
      }
    }
    for (const auto& [id, runs] : runsById_) {
      const auto request = requests_.find(id);
      for (const auto& run : runs) {
        if (request != requests_.end() &&
            !MayServe(request->second, run.service, run.at)) {
          ++verdict_.wrongService;
          AddEvidence(run.line);
        }
      }
    }
  }

  // A not_run answer is wrong when the request ran, or when a request with the
  // same key had run before.
  auto CheckNotRun() -> void
  {
    for (const auto& answer : answers_) {
      if (answer.outcome != "not_run") {
        continue;
      }
      bool ran = runsById_.contains(answer.id);
      const auto request = requests_.find(answer.id);
      const auto service = request == requests_.end()
                             ? answer.service
                             : ServiceAt(request->second);
      const auto byKey = runsByKey_.find(service + "|" + answer.key);
      if (!answer.key.empty() && byKey != runsByKey_.end()) {
        ran =
          ran || std::ranges::any_of(byKey->second, [&](const RunRecord& aRun) {
            return aRun.at < answer.at;
          });
      }
      if (ran) {
        ++verdict_.notRunButRan;
        AddEvidence("event=answer id=" + answer.id + " outcome=not_run ran=1");
      }
    }
  }

  auto FindMeasuredWindow(double& aFrom, double& aTo) const -> bool
  {
    const auto begin = marks_.find("begin");
    const auto end = marks_.find("end");
    if (begin == marks_.end() || end == marks_.end()) {
      return false;
    }
    aFrom = begin->second;
    aTo = end->second;
    return true;
  }

  auto ComputeImbalance() -> void
  {
    double from = 0;
    double to = 0;
    if (!FindMeasuredWindow(from, to)) {
      return;
    }
    std::map<std::string, std::vector<double>> utilisations;
    for (const auto& [server, usages] : usage_) {
      const UsageSample* first = nullptr;
      const UsageSample* last = nullptr;
      bool healthy = true;
      for (const auto& usage : usages) {
        if (usage.at < from || usage.at > to) {
          continue;
        }
        first = first ? first : &usage;
        last = &usage;
        healthy = healthy && usage.healthy;
      }
      const bool coversWindow =
        first && last->at - first->at > (to - from) * 0.8;
      if (coversWindow && healthy) {
        utilisations[server.first].push_back(
          (last->busyMillis - first->busyMillis) /
          ((last->at - first->at) * last->slots));
      }
    }
    for (const auto& [service, shares] : utilisations) {
      const auto [low, high] = std::ranges::minmax_element(shares);
      double mean = 0;
      for (const auto share : shares) {
        mean += share / static_cast<double>(shares.size());
      }
      if (shares.size() > 1 && mean >= kMinComparedUtilisation) {
        const auto imbalance = *high / std::max(*low, 1e-9) - 1;
        verdict_.imbalance =
          std::max(verdict_.imbalance.value_or(0), imbalance);
      }
    }
  }

  auto ComputeLoadFigures() -> void
  {
    double from = 0;
    double to = 0;
    const bool bounded = FindMeasuredWindow(from, to);
    std::vector<double> light;
    double heavy = 0;
    double all = 0;
    for (const auto& answer : answers_) {
      const bool inWindow = !bounded || (answer.at >= from && answer.at <= to);
      if (answer.outcome != "answered" || !inWindow) {
        continue;
      }
      ++all;
      if (answer.load.starts_with("heavy")) {
        ++heavy;
      } else {
        light.push_back(answer.micros / 1000);
      }
    }
    verdict_.heavyShare = all > 0 ? heavy / all : 0;
    if (!light.empty()) {
      std::ranges::sort(light);
      verdict_.lightP99Millis = light[(light.size() - 1) * 99 / 100];
    }
  }

  Verdict verdict_;
  std::unordered_map<std::string, RequestRecord> requests_;
  std::unordered_map<std::string, std::vector<RunRecord>> runsById_;
  std::unordered_map<std::string, std::vector<RunRecord>> runsByKey_;
  std::vector<AnswerRecord> answers_;
  std::unordered_map<std::string, long long> lastEvent_;
  std::map<std::pair<std::string, std::string>, std::vector<UsageSample>>
    usage_;
  std::map<std::string, double> marks_;
  std::unordered_map<std::string, std::vector<Assignment>> assigned_;
};

} // namespace

auto CheckLines(const std::vector<std::string>& aLines) -> Verdict
{
  HistoryChecker checker;
  for (const auto& line : aLines) {
    checker.OnLine(line);
  }
  return checker.Finish();
}

auto CheckHistory(const std::vector<std::string>& aFiles) -> Verdict
{
  HistoryChecker checker;
  for (const auto& name : aFiles) {
    std::ifstream file(name);
    for (std::string line; std::getline(file, line);) {
      checker.OnLine(line);
    }
  }
  return checker.Finish();
}

auto MeetsGuarantees(const Verdict& aVerdict, const CheckInit& aInit) -> bool
{
  const auto broken = aVerdict.ranTwice + aVerdict.notRunButRan +
                      aVerdict.wrongService + aVerdict.wrongAnswer +
                      aVerdict.incompleteAnswer + aVerdict.feedGaps +
                      aVerdict.feedRepeats;
  return broken == 0 && aVerdict.flowsBroken <= aInit.brokenAllowed;
}

auto FormatVerdict(const Verdict& aVerdict) -> std::string
{
  std::ostringstream text;
  text << "flows_opened=" << aVerdict.flowsOpened
       << " flows_broken=" << aVerdict.flowsBroken
       << " requests=" << aVerdict.requests << " answered=" << aVerdict.answered
       << " not_run=" << aVerdict.notRun << " unknown=" << aVerdict.unknown
       << " ran_twice=" << aVerdict.ranTwice
       << " not_run_but_ran=" << aVerdict.notRunButRan
       << " wrong_service=" << aVerdict.wrongService
       << " wrong_answer=" << aVerdict.wrongAnswer
       << " incomplete_answer=" << aVerdict.incompleteAnswer
       << " feed_events=" << aVerdict.feedEvents
       << " feed_gaps=" << aVerdict.feedGaps
       << " feed_repeats=" << aVerdict.feedRepeats << " imbalance=";
  char number[32];
  if (aVerdict.imbalance) {
    std::snprintf(number, sizeof number, "%.3f", *aVerdict.imbalance);
    text << number;
  } else {
    text << "none";
  }
  std::snprintf(number, sizeof number, "%.3f", aVerdict.heavyShare);
  text << " heavy_share=" << number;
  std::snprintf(number, sizeof number, "%.1f", aVerdict.lightP99Millis);
  text << " light_p99_ms=" << number;
  return text.str();
}

} // namespace damaskwalk
