#pragma once

// Versions of the configuration document, as the platform numbers them.

#include "core/types.h"

#include <string>
#include <string_view>

namespace damaskwalk {

// A platform that is restored from an earlier copy gives out the versions after
// the copy again, in a higher era. The era is in the upper bits, so that
// versions of a later era are higher.
constexpr unsigned kDocumentEraShift = 48;

constexpr auto MakeDocumentVersion(std::uint64_t aEra, std::uint64_t aNumber)
  -> DocumentVersion
{
  return (aEra << kDocumentEraShift) | aNumber;
}

// 0 for a platform that was never restored.
constexpr auto DocumentEraOf(DocumentVersion aVersion) -> std::uint64_t
{
  return aVersion >> kDocumentEraShift;
}

// The version's number within its era.
constexpr auto DocumentNumberOf(DocumentVersion aVersion) -> std::uint64_t
{
  return aVersion & ((std::uint64_t{ 1 } << kDocumentEraShift) - 1);
}

// Reads an ETag: "42", or "2-42" in era 2, with or without the quotes.
// @return 0 if it is malformed or out of range.
auto ParseDocumentTag(std::string_view aTag) -> DocumentVersion;
// The ETag of a version, with the quotes.
auto ToDocumentTag(DocumentVersion aVersion) -> std::string;

} // namespace damaskwalk
