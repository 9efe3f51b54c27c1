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
  Refused,  // invalid, digest mismatch, or delta from another version
};

// Holds the document in force, whose version only increases. Thread safe.
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
  // True for kAddressQuarantine after the address moved to another service. No
  // new flow to the address is accepted meanwhile.
  auto IsQuarantined(const Endpoint& aAddress) const -> bool;
  // Highest version whose text was refused, and its errors.
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
