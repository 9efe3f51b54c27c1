#include "relay_node/finding_log.h"

#include <algorithm>

namespace damaskwalk {

namespace {

constexpr std::size_t kMaxNamedFindings = 4;

// Names the first findings: "route-7.kind,route-9.host".
auto NamesOf(const std::vector<DecodeFinding>& aFindings) -> std::string
{
  std::string names;
  const auto count = std::min(aFindings.size(), kMaxNamedFindings);
  for (std::size_t i = 0; i < count; ++i) {
    const auto& finding = aFindings[i];
    names += (i == 0 ? "" : ",") + finding.entry;
    names += finding.field.empty() ? "" : "." + finding.field;
  }
  return names;
}

auto CountOf(const std::vector<DecodeFinding>& aFindings, DecodeEffect aEffect)
  -> std::uint64_t
{
  return static_cast<std::uint64_t>(
    std::ranges::count(aFindings, aEffect, &DecodeFinding::effect));
}

} // namespace

auto ToText(DecodeEffect aEffect) -> const char*
{
  switch (aEffect) {
    case DecodeEffect::DefaultUsed:
      return "default_used";
    case DecodeEffect::EntrySkipped:
      return "entry_skipped";
    default:
      return "refused";
  }
}

auto ToText(const DecodeFinding& aFinding) -> std::string
{
  return Event(ToText(aFinding.effect))
    .With("entry", aFinding.entry)
    .With("field", aFinding.field)
    .Text();
}

FindingLog::FindingLog(const char* aSource, EventSink& aLog)
  : source_(aSource)
  , log_(aLog)
{
}

auto FindingLog::Update(std::uint64_t aVersion,
                        const std::vector<DecodeFinding>& aFindings) -> void
{
  if (aFindings == last_) {
    return;
  }
  last_ = aFindings;
  const auto defaults = CountOf(aFindings, DecodeEffect::DefaultUsed);
  const auto skipped = CountOf(aFindings, DecodeEffect::EntrySkipped);
  const auto refused = CountOf(aFindings, DecodeEffect::AllRefused);
  counts_.defaults += defaults;
  counts_.skipped += skipped;
  counts_.refused += refused;
  refused_ = refused > 0;
  log_.Write(aFindings.empty() ? EventLevel::Info : EventLevel::Warning,
             Event("decoded_with_findings")
               .With("source", source_)
               .With("version", aVersion)
               .With("defaults_used", defaults)
               .With("entries_skipped", skipped)
               .With("refused", refused_)
               .With("fields", NamesOf(aFindings))
               .Text());
}

} // namespace damaskwalk
