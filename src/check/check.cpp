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

constexpr std::size_t kMostEvidence = 20;
constexpr double kLoadedUtilisation = 0.3;

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

auto Get(const Fields& aFields, const char* aName) -> std::string
{
  const auto found = aFields.find(aName);
  return found == aFields.end() ? "" : found->second;
}

auto Number(const Fields& aFields, const char* aName) -> double
{
  return std::strtod(Get(aFields, aName).c_str(), nullptr);
}

struct Asked
{
  std::string address;
  std::string service;
  double at = 0;
};

// From then on the document gave the address to the service.
struct Assignment
{
  double at = 0;
  std::string service;
};

// An accepted document is in force everywhere within this time.
constexpr double kInForceMillis = 5000;

struct Ran
{
  std::string id;
  std::string service;
  double at = 0;
  std::string line;
};

struct Answered
{
  std::string id;
  std::string key;
  std::string outcome;
  double at = 0;
  double micros = 0;
  std::string load;
  std::string service;
};

struct Usage
{
  double at = 0;
  double busyMillis = 0;
  double slots = 1;
  bool fit = true;
};

class Judge
{
public:
  auto Take(const std::string& aLine) -> void
  {
    const auto fields = ParseLine(aLine);
    const auto event = Get(fields, "event");
    if (event == "flow_open") {
      ++verdict_.flowsOpened;
    } else if (event == "flow_closed") {
      TakeClosed(fields, aLine);
    } else if (event == "request") {
      if (Get(fields, "feed") != "1") {
        ++verdict_.requests;
      }
      asked_[Get(fields, "id")] = { Get(fields, "address"),
                                    Get(fields, "service"),
                                    Number(fields, "t") };
    } else if (event == "answer") {
      TakeAnswer(fields, aLine);
    } else if (event == "stray_answer") {
      ++verdict_.wrongAnswer;
      Keep(aLine);
    } else if (event == "feed") {
      TakeFeed(fields, aLine);
    } else if (event == "run") {
      TakeRun(fields, aLine);
    } else if (event == "usage") {
      usage_[{ Get(fields, "service"), Get(fields, "server") }].push_back(
        { Number(fields, "t"),
          Number(fields, "busy_ms"),
          Number(fields, "slots"),
          Get(fields, "fit") == "1" });
    } else if (event == "assign") {
      assigned_[Get(fields, "address")].push_back(
        { Number(fields, "t"), Get(fields, "service") });
    } else if (event == "mark") {
      marks_[Get(fields, "name")] = Number(fields, "t");
    }
  }

  auto Finish() -> Verdict
  {
    JudgeRuns();
    JudgeNotRun();
    JudgeBalance();
    JudgeShares();
    return std::move(verdict_);
  }

private:
  auto Keep(const std::string& aLine) -> void
  {
    if (verdict_.evidence.size() < kMostEvidence) {
      verdict_.evidence.push_back(aLine);
    }
  }

  auto TakeClosed(const Fields& aFields, const std::string& aLine) -> void
  {
    const auto cause = Get(aFields, "cause");
    const auto flow = Get(aFields, "flow");
    const auto assigned = assigned_.find(flow.substr(flow.find('>') + 1));
    // A flow ends with its service when its address moves to another.
    const bool moved =
      assigned != assigned_.end() &&
      assigned->second.front().service != assigned->second.back().service;
    const bool broken =
      cause != "caller" && !moved && Get(aFields, "established") == "1";
    if (broken) {
      ++verdict_.flowsBroken;
      Keep(aLine);
    }
  }

  auto TakeAnswer(const Fields& aFields, const std::string& aLine) -> void
  {
    const auto outcome = Get(aFields, "outcome");
    const bool answered = outcome == "answered";
    verdict_.answered += answered ? 1 : 0;
    verdict_.notRun += outcome == "not_run" ? 1 : 0;
    verdict_.unknown += !answered && outcome != "not_run" ? 1 : 0;
    const bool incomplete = answered && Get(aFields, "whole") != "1";
    const bool wrong = answered && Get(aFields, "right") != "1";
    const auto asked = asked_.find(Get(aFields, "id"));
    const bool foreign =
      answered &&
      (asked == asked_.end() ? Get(aFields, "service") != Get(aFields, "wanted")
                             : !MayServe(asked->second,
                                         Get(aFields, "service"),
                                         Number(aFields, "t")));
    verdict_.incompleteAnswer += incomplete ? 1 : 0;
    verdict_.wrongAnswer += wrong ? 1 : 0;
    verdict_.wrongService += foreign ? 1 : 0;
    if (incomplete || wrong || foreign) {
      Keep(aLine);
    }
    answers_.push_back({ Get(aFields, "id"),
                         Get(aFields, "key"),
                         outcome,
                         Number(aFields, "t"),
                         Number(aFields, "micros"),
                         Get(aFields, "load"),
                         Get(aFields, "service") });
  }

  auto TakeFeed(const Fields& aFields, const std::string& aLine) -> void
  {
    ++verdict_.feedEvents;
    const auto id = std::atoll(Get(aFields, "id").c_str());
    const auto [last, first] = lastEvent_.try_emplace(Get(aFields, "flow"), id);
    if (first) {
      return;
    }
    const bool gap = id > last->second + 1;
    const bool repeat = id <= last->second;
    verdict_.feedGaps += gap ? 1 : 0;
    verdict_.feedRepeats += repeat ? 1 : 0;
    if (gap || repeat) {
      Keep(aLine);
    }
    last->second = std::max<long long>(last->second, id);
  }

  auto TakeRun(const Fields& aFields, const std::string& aLine) -> void
  {
    ++verdict_.runs;
    const Ran ran{
      Get(aFields, "id"), Get(aFields, "service"), Number(aFields, "t"), aLine
    };
    runsById_[ran.id].push_back(ran);
    const auto key = Get(aFields, "key");
    if (!key.empty()) {
      // A key names one operation of one service.
      runsByKey_[ran.service + "|" + key].push_back(ran);
    }
  }

  // The service that the asked address had when it was asked.
  auto ServiceAt(const Asked& aAsked) const -> std::string
  {
    const auto found = assigned_.find(aAsked.address);
    auto service = aAsked.service;
    if (found != assigned_.end()) {
      for (const auto& assignment : found->second) {
        service = assignment.at <= aAsked.at ? assignment.service : service;
      }
    }
    return service;
  }

  // True when the asked address belonged to the service at some moment from
  // one in-force time before the request until the service took it.
  auto MayServe(const Asked& aAsked,
                const std::string& aService,
                double aAt) const -> bool
  {
    const auto found = assigned_.find(aAsked.address);
    if (found == assigned_.end()) {
      return aAsked.service == aService;
    }
    const auto& list = found->second;
    for (std::size_t i = 0; i < list.size(); ++i) {
      const auto end = i + 1 < list.size() ? list[i + 1].at : aAt;
      const bool overlaps =
        list[i].at <= aAt && end >= aAsked.at - kInForceMillis;
      if (list[i].service == aService && overlaps) {
        return true;
      }
    }
    return false;
  }

  auto JudgeRuns() -> void
  {
    for (const auto& [key, runs] : runsByKey_) {
      if (runs.size() > 1) {
        ++verdict_.ranTwice;
        Keep(runs.back().line);
      }
    }
    for (const auto& [id, runs] : runsById_) {
      const auto asked = asked_.find(id);
      for (const auto& run : runs) {
        if (asked != asked_.end() &&
            !MayServe(asked->second, run.service, run.at)) {
          ++verdict_.wrongService;
          Keep(run.line);
        }
      }
    }
  }

  // A refusal is false when the request ran, or when its key had run before.
  auto JudgeNotRun() -> void
  {
    for (const auto& answer : answers_) {
      if (answer.outcome != "not_run") {
        continue;
      }
      bool ran = runsById_.contains(answer.id);
      const auto asked = asked_.find(answer.id);
      const auto service =
        asked == asked_.end() ? answer.service : ServiceAt(asked->second);
      const auto byKey = runsByKey_.find(service + "|" + answer.key);
      if (!answer.key.empty() && byKey != runsByKey_.end()) {
        ran = ran || std::ranges::any_of(byKey->second, [&](const Ran& aRun) {
                return aRun.at < answer.at;
              });
      }
      if (ran) {
        ++verdict_.notRunButRan;
        Keep("event=answer id=" + answer.id + " outcome=not_run ran=1");
      }
    }
  }

  auto Window(double& aFrom, double& aTo) const -> bool
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

  auto JudgeBalance() -> void
  {
    double from = 0;
    double to = 0;
    if (!Window(from, to)) {
      return;
    }
    std::map<std::string, std::vector<double>> utilisations;
    for (const auto& [server, usages] : usage_) {
      const Usage* first = nullptr;
      const Usage* last = nullptr;
      bool fit = true;
      for (const auto& usage : usages) {
        if (usage.at < from || usage.at > to) {
          continue;
        }
        first = first ? first : &usage;
        last = &usage;
        fit = fit && usage.fit;
      }
      const bool whole = first && last->at - first->at > (to - from) * 0.8;
      if (whole && fit) {
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
      if (shares.size() > 1 && mean >= kLoadedUtilisation) {
        const auto imbalance = *high / std::max(*low, 1e-9) - 1;
        verdict_.imbalance =
          std::max(verdict_.imbalance.value_or(0), imbalance);
      }
    }
  }

  auto JudgeShares() -> void
  {
    double from = 0;
    double to = 0;
    const bool bounded = Window(from, to);
    std::vector<double> light;
    double heavy = 0;
    double all = 0;
    for (const auto& answer : answers_) {
      const bool inside = !bounded || (answer.at >= from && answer.at <= to);
      if (answer.outcome != "answered" || !inside) {
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
  std::unordered_map<std::string, Asked> asked_;
  std::unordered_map<std::string, std::vector<Ran>> runsById_;
  std::unordered_map<std::string, std::vector<Ran>> runsByKey_;
  std::vector<Answered> answers_;
  std::unordered_map<std::string, long long> lastEvent_;
  std::map<std::pair<std::string, std::string>, std::vector<Usage>> usage_;
  std::map<std::string, double> marks_;
  std::unordered_map<std::string, std::vector<Assignment>> assigned_;
};

} // namespace

auto CheckLines(const std::vector<std::string>& aLines) -> Verdict
{
  Judge judge;
  for (const auto& line : aLines) {
    judge.Take(line);
  }
  return judge.Finish();
}

auto CheckHistory(const std::vector<std::string>& aFiles) -> Verdict
{
  Judge judge;
  for (const auto& name : aFiles) {
    std::ifstream file(name);
    for (std::string line; std::getline(file, line);) {
      judge.Take(line);
    }
  }
  return judge.Finish();
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
