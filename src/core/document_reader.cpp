#include "core/document_reader.h"

#include <SimpleIni.h>

#include <algorithm>
#include <charconv>
#include <sstream>

namespace damaskwalk {

namespace {

constexpr const char* kDurationFormat = "a number with ms, s or m, such as 2s";
constexpr const char* kRateFormat = "a number with /s, such as 50/s";
constexpr const char* kEndpointFormat = "IPv4:port, such as 10.0.0.1:80";

auto SplitList(const std::string& aText) -> std::vector<std::string>
{
  std::vector<std::string> items;
  std::stringstream stream(aText);
  for (std::string item; std::getline(stream, item, ',');) {
    const auto first = item.find_first_not_of(' ');
    const auto last = item.find_last_not_of(' ');
    if (first != std::string::npos) {
      items.push_back(item.substr(first, last - first + 1));
    }
  }
  return items;
}

auto Join(const std::vector<std::string>& aItems) -> std::string
{
  std::string text;
  for (const auto& item : aItems) {
    text += (text.empty() ? "" : ", ") + item;
  }
  return text;
}

} // namespace

DocumentReader::DocumentReader(std::string_view aText)
  : text_(aText)
{
}

auto DocumentReader::TakeErrors() -> std::vector<DocumentError>
{
  return std::move(errors_);
}

auto DocumentReader::AddError(const SectionKeys& aKeys,
                              std::string aKey,
                              std::string aProblem,
                              std::string aValid) -> void
{
  errors_.push_back({ aKeys.section,
                      std::move(aKey),
                      aKeys.owner,
                      std::move(aProblem),
                      std::move(aValid) });
}

auto DocumentReader::Read() -> Document
{
  CSimpleIniA ini(true, true, false);
  if (ini.LoadData(text_) < 0) {
    AddError({}, "", "invalid INI text", "sections of key = value lines");
    return {};
  }
  CSimpleIniA::TNamesDepend names;
  ini.GetAllSections(names);
  names.sort(CSimpleIniA::Entry::KeyOrder());
  struct Entry
  {
    std::string type;
    std::string name;
    SectionKeys keys;
  };
  std::vector<Entry> entries;
  for (const auto& name : names) {
    Entry entry;
    entry.keys.section = name.pItem;
    const auto space = entry.keys.section.find(' ');
    entry.type = entry.keys.section.substr(0, space);
    if (space != std::string::npos) {
      entry.name = entry.keys.section.substr(space + 1);
    }
    CSimpleIniA::TNamesDepend keys;
    ini.GetAllKeys(name.pItem, keys);
    std::string sectionText;
    for (const auto& key : keys) {
      CSimpleIniA::TNamesDepend values;
      ini.GetAllValues(name.pItem, key.pItem, values);
      if (values.size() > 1) {
        AddError(entry.keys, key.pItem, "duplicate key", "one value per key");
      }
      entry.keys.values[key.pItem] = values.back().pItem;
    }
    for (const auto& [key, value] : entry.keys.values) {
      sectionText.append(key).append(" = ").append(value).append("\n");
    }
    entry.keys.owner = entry.keys.values["owner"];
    entry.keys.values.erase("owner");
    document_.sections.push_back({ entry.keys.section, sectionText });
    entries.push_back(std::move(entry));
  }
  const std::vector<std::string> order = {
    "document", "service", "kind", "backend", "caller"
  };
  for (const auto& type : order) {
    for (auto& entry : entries) {
      if (entry.type != type) {
        continue;
      }
      if (type == "document") {
        ReadTeams(entry.keys);
      } else if (type == "service") {
        ReadService(entry.name, entry.keys);
      } else if (type == "kind") {
        ReadKind(entry.name, entry.keys);
      } else if (type == "backend") {
        ReadBackend(entry.name, entry.keys);
      } else {
        ReadCaller(entry.name, entry.keys);
      }
      for (const auto& [key, value] : entry.keys.values) {
        AddError(
          entry.keys, key, "unknown key", "a key listed in docs/DOCUMENT.md");
      }
    }
  }
  for (const auto& entry : entries) {
    if (std::ranges::find(order, entry.type) == order.end()) {
      AddError(entry.keys, "", "unknown section type", Join(order));
    } else if (entry.type != "document" && !teams_.contains(entry.keys.owner)) {
      AddError(entry.keys,
               "owner",
               "unknown owner team",
               "a team named under [document] teams");
    }
  }
  CheckServices();
  return std::move(document_);
}

auto DocumentReader::ReadTeams(SectionKeys& aKeys) -> void
{
  for (const auto& team : SplitList(TakeValue(aKeys, "teams", ""))) {
    teams_.insert(team);
  }
  if (teams_.empty()) {
    AddError(aKeys, "teams", "no team", "team names separated by commas");
  }
}

auto DocumentReader::ReadService(const std::string& aName, SectionKeys& aKeys)
  -> void
{
  Service service;
  service.name = aName;
  service.id = ServiceIdOf(aName);
  service.owner = aKeys.owner;
  if (aName.empty() || aName.size() > kMaxNameBytes) {
    AddError(
      aKeys, "", "bad service name", "[service NAME], 256 bytes at most");
  }
  for (const auto& item : SplitList(TakeValue(aKeys, "addresses", ""))) {
    const auto address = ParseEndpoint(item);
    if (!address) {
      AddError(aKeys, "addresses", "bad address " + item, kEndpointFormat);
      continue;
    }
    const auto [found, inserted] = endpoints_.emplace(*address, aKeys.section);
    if (!inserted) {
      AddError(aKeys,
               "addresses",
               "address " + item + " overlaps " + found->second,
               "an address used by one service only");
    }
    service.addresses.push_back(*address);
  }
  if (service.addresses.empty()) {
    AddError(aKeys, "addresses", "no address", kEndpointFormat);
  }
  const auto limit = TakeValue(aKeys, "first_packets", "20000/s");
  const auto rate = ParseRate(limit);
  if (!rate) {
    AddError(
      aKeys, "first_packets", "limit without unit: " + limit, kRateFormat);
  }
  service.firstPacketsPerSecond = rate.value_or(1);
  for (const auto& team : SplitList(TakeValue(aKeys, "editors", ""))) {
    editors_[aName].insert(team);
  }
  editors_[aName].insert(aKeys.owner);
  serviceIndex_[aName] = document_.services.size();
  document_.services.push_back(std::move(service));
}

auto DocumentReader::CheckEditor(const SectionKeys& aKeys, Service& aService)
  -> bool
{
  if (editors_[aService.name].contains(aKeys.owner)) {
    return true;
  }
  AddError(
    aKeys,
    "owner",
    "team may not edit service " + aService.name,
    Join({ editors_[aService.name].begin(), editors_[aService.name].end() }));
  return false;
}

auto DocumentReader::ReadKind(const std::string& aName, SectionKeys& aKeys)
  -> void
{
  const auto slash = aName.find('/');
  const auto serviceName = aName.substr(0, slash);
  RequestKind kind;
  kind.name = slash == std::string::npos ? "" : aName.substr(slash + 1);
  kind.method = TakeValue(aKeys, "method", "GET");
  kind.path = TakeValue(aKeys, "path", "/");
  kind.repeatable = TakeChoice(aKeys, "repeatable", { "yes", "no" }) == 0;
  kind.feed = TakeChoice(aKeys, "feed", { "no", "yes" }) == 1;
  kind.priority = TakeNumber(aKeys, "priority", 1, 0, 3);
  const auto deadline = TakeValue(aKeys, "deadline", "5s");
  const auto parsed = ParseDuration(deadline);
  if (!parsed) {
    AddError(
      aKeys, "deadline", "limit without unit: " + deadline, kDurationFormat);
  }
  kind.deadline = parsed.value_or(Millis{ 1 });
  const auto found = serviceIndex_.find(serviceName);
  if (found == serviceIndex_.end() || kind.name.empty()) {
    AddError(
      aKeys, "", "unknown service " + serviceName, "[kind SERVICE/NAME]");
    return;
  }
  auto& service = document_.services[found->second];
  CheckEditor(aKeys, service);
  service.kinds.push_back(std::move(kind));
}

auto DocumentReader::ReadBackend(const std::string& aName, SectionKeys& aKeys)
  -> void
{
  BackendServer backend;
  backend.name = aName;
  backend.serviceName = TakeValue(aKeys, "service", "");
  backend.service = ServiceIdOf(backend.serviceName);
  backend.agent = TakeEndpoint(aKeys, "agent");
  backend.server = TakeEndpoint(aKeys, "server");
  backend.failureDomain = TakeValue(aKeys, "failure_domain", "");
  backend.slots = TakeNumber(aKeys, "slots", 1, 1, 10000);
  backend.connections = TakeNumber(aKeys, "connections", 2000, 1, 1000000);
  const auto state = TakeChoice(aKeys, "state", { "active", "draining" });
  backend.state = state == 0 ? BackendState::Active : BackendState::Draining;
  if (backend.failureDomain.empty()) {
    AddError(aKeys,
             "failure_domain",
             "no failure domain",
             "the name of the failure domain");
  }
  const auto [other, inserted] =
    endpoints_.emplace(backend.agent, aKeys.section);
  if (!inserted && backend.agent.IsValid()) {
    AddError(aKeys,
             "agent",
             "overlaps " + other->second,
             "an endpoint used by one agent only");
  }
  const auto found = serviceIndex_.find(backend.serviceName);
  if (found == serviceIndex_.end()) {
    AddError(aKeys,
             "service",
             "unknown service " + backend.serviceName,
             "the name of a [service NAME] section");
    return;
  }
  auto& service = document_.services[found->second];
  CheckEditor(aKeys, service);
  service.backends.push_back(std::move(backend));
}

auto DocumentReader::ReadCaller(const std::string& aName, SectionKeys& aKeys)
  -> void
{
  CallerLimit limit;
  limit.name = aName;
  limit.weight = TakeNumber(aKeys, "weight", 1, 1, 1000);
  const auto text = TakeValue(aKeys, "rate", "0/s");
  const auto rate = ParseRate(text);
  if (!rate) {
    AddError(aKeys, "rate", "limit without unit: " + text, kRateFormat);
  }
  limit.ratePerSecond = rate.value_or(0);
  if (aName.empty()) {
    AddError(aKeys, "", "caller without name", "[caller NAME]");
  }
  document_.callers[aName] = limit;
}

auto DocumentReader::CheckServices() -> void
{
  for (const auto& service : document_.services) {
    if (service.backends.empty()) {
      SectionKeys keys{ "service " + service.name, service.owner, {} };
      AddError(keys,
               "",
               "service without backend servers",
               "a [backend NAME] section");
    }
  }
  if (document_.services.empty()) {
    AddError({}, "", "no service", "a [service NAME] section");
  }
}

auto DocumentReader::TakeValue(SectionKeys& aKeys,
                               const char* aKey,
                               const char* aDefault) -> std::string
{
  const auto found = aKeys.values.find(aKey);
  if (found == aKeys.values.end()) {
    return aDefault;
  }
  auto value = found->second;
  aKeys.values.erase(found);
  if (value.size() > kMaxNameBytes && std::string(aKey) != "addresses") {
    AddError(aKeys, aKey, "value too long", "256 bytes at most");
    return aDefault;
  }
  return value;
}

auto DocumentReader::TakeNumber(SectionKeys& aKeys,
                                const char* aKey,
                                std::uint32_t aDefault,
                                std::uint32_t aLow,
                                std::uint32_t aHigh) -> std::uint32_t
{
  const auto text = TakeValue(aKeys, aKey, std::to_string(aDefault).c_str());
  std::uint32_t number = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  const bool whole = parsed.ec == std::errc{} && parsed.ptr == end;
  if (!whole || number < aLow || number > aHigh) {
    AddError(aKeys,
             aKey,
             "bad number " + text,
             std::to_string(aLow) + " to " + std::to_string(aHigh));
    return aDefault;
  }
  return number;
}

auto DocumentReader::TakeChoice(SectionKeys& aKeys,
                                const char* aKey,
                                std::vector<std::string> aChoices)
  -> std::size_t
{
  const auto text = TakeValue(aKeys, aKey, aChoices.front().c_str());
  const auto found = std::ranges::find(aChoices, text);
  if (found == aChoices.end()) {
    AddError(aKeys, aKey, "bad value " + text, Join(aChoices));
    return 0;
  }
  return static_cast<std::size_t>(found - aChoices.begin());
}

auto DocumentReader::TakeEndpoint(SectionKeys& aKeys, const char* aKey)
  -> Endpoint
{
  const auto text = TakeValue(aKeys, aKey, "");
  const auto endpoint = ParseEndpoint(text);
  if (!endpoint) {
    AddError(aKeys, aKey, "bad endpoint " + text, kEndpointFormat);
  }
  return endpoint.value_or(Endpoint{});
}

} // namespace damaskwalk
