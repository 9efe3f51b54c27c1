#pragma once

// The document in force at this process, and those before it.

#include "core/clock.h"
#include "core/config.h"
#include "core/document.h"
#include "wire/messages.h"

#include <deque>
#include <mutex>
#include <unordered_map>

namespace damaskwalk {

enum class OfferResult : std::uint8_t
{
  Accepted,
  NotNewer, // the version in force is as high or higher
  Refused,  // not acceptable, or its digest differs from the stated one
};

// The version in force only rises. Thread safe.
class DocumentStore
{
public:
  explicit DocumentStore(const Clock& aClock);

  // Checks a text as the platform published it.
  auto OfferText(std::string_view aText, DocumentVersion aVersion)
    -> OfferResult;
  // Applies what a peer sent.
  auto OfferReply(const DocumentReply& aReply) -> OfferResult;
  // What a peer with the given version lacks; nothing when it lacks nothing.
  auto ReplySince(DocumentVersion aHave) const -> DocumentReply;

  auto Current() const -> DocumentPtr;
  auto Version() const -> DocumentVersion;
  // True while an address that moved between services is served by nobody.
  auto IsQuarantined(const Endpoint& aAddress) const -> bool;
  auto RefusedVersion() const -> DocumentVersion;
  auto RefusedErrors() const -> std::vector<DocumentError>;

private:
  auto Install(const DocumentPtr& aDocument) -> OfferResult;

  static constexpr std::size_t kMaxHistory = 16;

  const Clock& clock_;
  mutable std::mutex mutex_;
  DocumentPtr current_;
  std::deque<DocumentPtr> history_;
  std::unordered_map<Endpoint, TimePoint, KeyHash> quarantine_;
  DocumentVersion refusedVersion_ = 0;
  std::vector<DocumentError> refusedErrors_;
};

} // namespace damaskwalk
