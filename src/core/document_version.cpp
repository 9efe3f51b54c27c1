#include "core/document_version.h"

#include <charconv>
#include <optional>

namespace damaskwalk {

namespace {

auto ParseNumber(std::string_view aText, std::uint64_t aLimit)
  -> std::optional<std::uint64_t>
{
  std::uint64_t number = 0;
  const auto* end = aText.data() + aText.size();
  const auto [last, error] = std::from_chars(aText.data(), end, number);
  const bool valid = error == std::errc{} && last == end && number < aLimit;
  return valid ? std::optional(number) : std::nullopt;
}

} // namespace

auto ParseDocumentTag(std::string_view aTag) -> DocumentVersion
{
  while (aTag.starts_with('"')) {
    aTag.remove_prefix(1);
  }
  while (aTag.ends_with('"')) {
    aTag.remove_suffix(1);
  }
  constexpr auto kNumberLimit = std::uint64_t{ 1 } << kDocumentEraShift;
  constexpr auto kEraLimit = std::uint64_t{ 1 } << (64 - kDocumentEraShift);
  const auto dash = aTag.find('-');
  const bool hasEra = dash != std::string_view::npos;
  const auto era = hasEra ? ParseNumber(aTag.substr(0, dash), kEraLimit)
                          : std::optional(std::uint64_t{ 0 });
  const auto number =
    ParseNumber(hasEra ? aTag.substr(dash + 1) : aTag, kNumberLimit);
  return era && number ? MakeDocumentVersion(*era, *number) : 0;
}

auto ToDocumentTag(DocumentVersion aVersion) -> std::string
{
  const auto era = DocumentEraOf(aVersion);
  const auto number = std::to_string(DocumentNumberOf(aVersion));
  return '"' + (era > 0 ? std::to_string(era) + '-' : "") + number + '"';
}

} // namespace damaskwalk
