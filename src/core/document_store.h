#pragma once

// The document in force in this process, and the versions before it.

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
  Held,     // an earlier document, from a restored platform
  Refused,  // invalid, digest mismatch, or delta from another version
};

// Holds the document in force, whose version only increases. A platform that is
// restored from a copy offers an earlier document in a higher version; that one
// comes into force only if nothing newer is published for
// kRestoredDocumentHold. Thread safe.
class DocumentStore
{
public:
  explicit DocumentStore(const Clock& aClock);

  // Validates a text that the platform published, and puts it in force.
  auto OfferText(std::string_view aText, DocumentVersion aVersion)
    -> OfferResult;
  // Applies the delta or whole document that a peer sent.
  auto OfferReply(const DocumentReply& aReply) -> OfferResult;
  // The delta from version aKnownVersion to the version in force: the whole
  // document when aKnownVersion is not in the history, no sections when it is
  // up to date.
  auto ReplySince(DocumentVersion aKnownVersion) const -> DocumentReply;

  auto Current() const -> DocumentPtr;
  auto Version() const -> DocumentVersion;
  // True if the version, or one above it, was offered and is held.
  auto IsHeld(DocumentVersion aVersion) const -> bool;
  // True for kAddressQuarantine after the address moved to another service. No
  // new flow to the address is accepted meanwhile.
  auto IsQuarantined(const Endpoint& aAddress) const -> bool;
  // Highest version whose text was refused, and its errors.
  auto RefusedVersion() const -> DocumentVersion;
  auto RefusedErrors() const -> std::vector<DocumentError>;

private:
  auto Install(const DocumentPtr& aDocument) -> OfferResult;
  // True if the document is one of before the one in force, which a restored
  // platform has again since less than kRestoredDocumentHold.
  auto IsRestoredCopy(const Document& aDocument) -> bool;

  static constexpr std::size_t kMaxHistory = 16;

  const Clock& clock_;
  mutable std::mutex mutex_;
  DocumentPtr current_;
  std::deque<DocumentPtr> history_;
  std::unordered_map<Endpoint, TimePoint, KeyHash> quarantine_;
  DocumentVersion refusedVersion_ = 0;
  std::vector<DocumentError> refusedErrors_;
  // Highest version held after a restore, and until when its era's are.
  DocumentVersion heldVersion_ = 0;
  TimePoint heldUntil_;
};

} // namespace damaskwalk
