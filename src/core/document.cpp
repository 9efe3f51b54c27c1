#include "core/document.h"

#include "core/document_reader.h"

#include <algorithm>
#include <charconv>
#include <set>
#include <unordered_set>

namespace damaskwalk {

namespace {

auto SplitNumber(std::string_view aText, std::uint64_t& aNumber)
  -> std::string_view
{
  const auto* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, aNumber);
  if (parsed.ec != std::errc{}) {
    return "?";
  }
  return { parsed.ptr, static_cast<std::size_t>(end - parsed.ptr) };
}

auto BuildIndexes(Document& aDocument) -> void
{
  for (std::size_t i = 0; i < aDocument.services.size(); ++i) {
    const auto& service = aDocument.services[i];
    aDocument.byId[service.id] = i;
    for (const auto& address : service.addresses) {
      aDocument.byAddress[address] = i;
    }
    for (const auto& backend : service.backends) {
      aDocument.byAgent[backend.agent] = i;
    }
  }
}

} // namespace

auto Service::FindBackend(const Endpoint& aAgent) const -> const BackendServer*
{
  const auto found = std::ranges::find(backends, aAgent, &BackendServer::agent);
  return found == backends.end() ? nullptr : &*found;
}

auto Service::FindKind(std::string_view aMethod, std::string_view aPath) const
  -> const RequestKind&
{
  static const RequestKind kSafe{ .name = "default" };
  static const RequestKind kUnsafe{ .name = "default-once",
                                    .repeatable = false };
  const RequestKind* best = nullptr;
  for (const auto& kind : kinds) {
    const bool matches = kind.method == aMethod && aPath.starts_with(kind.path);
    if (matches && (!best || best->path.size() < kind.path.size())) {
      best = &kind;
    }
  }
  if (best) {
    return *best;
  }
  return aMethod == "GET" || aMethod == "HEAD" ? kSafe : kUnsafe;
}

auto Document::FindByAddress(const Endpoint& aAddress) const -> const Service*
{
  const auto found = byAddress.find(aAddress);
  return found == byAddress.end() ? nullptr : &services[found->second];
}

auto Document::FindById(ServiceId aService) const -> const Service*
{
  const auto found = byId.find(aService);
  return found == byId.end() ? nullptr : &services[found->second];
}

auto Document::FindByAgent(const Endpoint& aAgent) const -> const Service*
{
  const auto found = byAgent.find(aAgent);
  return found == byAgent.end() ? nullptr : &services[found->second];
}

auto Document::FindCaller(const std::string& aName) const -> CallerLimit
{
  const auto found = callers.find(aName);
  return found == callers.end() ? CallerLimit{ .name = aName } : found->second;
}

auto ParseDocument(std::string_view aText, DocumentVersion aVersion)
  -> ParsedDocument
{
  DocumentReader reader(aText);
  auto document = std::make_shared<Document>(reader.Read());
  ParsedDocument result;
  result.errors = reader.TakeErrors();
  if (!result.errors.empty()) {
    return result;
  }
  document->version = aVersion;
  document->digest = DigestSections(document->sections);
  BuildIndexes(*document);
  result.document = std::move(document);
  return result;
}

auto JoinSections(const std::vector<Section>& aSections) -> std::string
{
  std::string text;
  for (const auto& section : aSections) {
    text += "[" + section.name + "]\n" + section.text + "\n";
  }
  return text;
}

auto DigestSections(const std::vector<Section>& aSections) -> std::uint64_t
{
  std::uint64_t digest = 0;
  for (const auto& section : aSections) {
    digest += Mix(HashText(section.name), HashText(section.text));
  }
  return digest;
}

auto DiffSections(const std::vector<Section>& aFrom,
                  const std::vector<Section>& aTo) -> DocumentDelta
{
  std::unordered_map<std::string_view, std::string_view> before;
  for (const auto& section : aFrom) {
    before[section.name] = section.text;
  }
  DocumentDelta delta;
  for (const auto& section : aTo) {
    const auto found = before.find(section.name);
    if (found == before.end() || found->second != section.text) {
      delta.changed.push_back(section);
    }
    if (found != before.end()) {
      before.erase(found);
    }
  }
  for (const auto& [name, text] : before) {
    delta.removed.emplace_back(name);
  }
  std::ranges::sort(delta.removed);
  return delta;
}

auto ApplyDelta(const std::vector<Section>& aFrom, const DocumentDelta& aDelta)
  -> std::vector<Section>
{
  std::map<std::string, std::string> sections;
  for (const auto& section : aFrom) {
    sections[section.name] = section.text;
  }
  for (const auto& name : aDelta.removed) {
    sections.erase(name);
  }
  for (const auto& section : aDelta.changed) {
    sections[section.name] = section.text;
  }
  std::vector<Section> joined;
  joined.reserve(sections.size());
  for (auto& [name, text] : sections) {
    joined.push_back({ name, std::move(text) });
  }
  return joined;
}

auto ToText(const DocumentError& aError) -> std::string
{
  return "section=\"" + aError.section + "\" key=\"" + aError.key +
         "\" owner=\"" + aError.owner + "\" problem=\"" + aError.problem +
         "\" valid=\"" + aError.valid + "\"";
}

auto ParseDuration(std::string_view aText) -> std::optional<Millis>
{
  std::uint64_t number = 0;
  const auto unit = SplitNumber(aText, number);
  if (number > 86400000) {
    return std::nullopt;
  }
  if (unit == "ms") {
    return Millis{ number };
  }
  if (unit == "s") {
    return Millis{ number * 1000 };
  }
  if (unit == "m") {
    return Millis{ number * 60000 };
  }
  return std::nullopt;
}

auto ParseRate(std::string_view aText) -> std::optional<std::uint32_t>
{
  std::uint64_t number = 0;
  if (SplitNumber(aText, number) != "/s" || number > 1000000) {
    return std::nullopt;
  }
  return static_cast<std::uint32_t>(number);
}

} // namespace damaskwalk
