#include "core/document_store.h"

#include "core/document_version.h"

#include <algorithm>

namespace damaskwalk {

DocumentStore::DocumentStore(const Clock& aClock)
  : clock_(aClock)
  , current_(std::make_shared<Document>())
{
}

auto DocumentStore::Install(const DocumentPtr& aDocument) -> OfferResult
{
  const std::lock_guard lock(mutex_);
  if (aDocument->version <= current_->version) {
    return OfferResult::NotNewer;
  }
  if (IsRestoredCopy(*aDocument)) {
    return OfferResult::Held;
  }
  const auto now = clock_.Now();
  std::erase_if(quarantine_,
                [now](const auto& aEntry) { return aEntry.second < now; });
  for (const auto& service : aDocument->services) {
    for (const auto& address : service.addresses) {
      const auto* before = current_->FindByAddress(address);
      if (before && before->id != service.id) {
        quarantine_[address] = now + kAddressQuarantine;
      }
    }
  }
  current_ = aDocument;
  history_.push_back(aDocument);
  if (history_.size() > kMaxHistory) {
    history_.pop_front();
  }
  return OfferResult::Accepted;
}

auto DocumentStore::IsRestoredCopy(const Document& aDocument) -> bool
{
  const auto era = DocumentEraOf(aDocument.version);
  const bool isKnown =
    aDocument.digest != current_->digest &&
    std::ranges::any_of(history_, [&aDocument](const auto& aFormer) {
      return aFormer->digest == aDocument.digest;
    });
  if (!isKnown || era == DocumentEraOf(current_->version)) {
    return false;
  }
  if (era > DocumentEraOf(heldVersion_)) {
    heldUntil_ = clock_.Now() + kRestoredDocumentHold;
  }
  heldVersion_ = std::max(heldVersion_, aDocument.version);
  return clock_.Now() < heldUntil_;
}

auto DocumentStore::IsHeld(DocumentVersion aVersion) const -> bool
{
  const std::lock_guard lock(mutex_);
  return aVersion > current_->version && aVersion <= heldVersion_ &&
         clock_.Now() < heldUntil_;
}

auto DocumentStore::OfferText(std::string_view aText, DocumentVersion aVersion)
  -> OfferResult
{
  if (aVersion <= Version()) {
    return OfferResult::NotNewer;
  }
  auto parsed = ParseDocument(aText, aVersion);
  if (parsed.document) {
    return Install(parsed.document);
  }
  const std::lock_guard lock(mutex_);
  if (aVersion > refusedVersion_) {
    refusedVersion_ = aVersion;
    refusedErrors_ = std::move(parsed.errors);
  }
  return OfferResult::Refused;
}

auto DocumentStore::OfferReply(const DocumentReply& aReply) -> OfferResult
{
  if (aReply.version <= Version()) {
    return OfferResult::NotNewer;
  }
  std::vector<Section> base;
  if (aReply.base != 0) {
    const auto current = Current();
    if (current->version != aReply.base) {
      return OfferResult::Refused;
    }
    base = current->sections;
  }
  DocumentDelta delta;
  for (const auto& section : aReply.changed) {
    delta.changed.push_back({ section.name, section.text });
  }
  for (const auto& section : aReply.removed) {
    delta.removed.push_back(section.name);
  }
  const auto sections = ApplyDelta(base, delta);
  if (DigestSections(sections) != aReply.digest) {
    return OfferResult::Refused;
  }
  auto parsed = ParseDocument(JoinSections(sections), aReply.version);
  if (!parsed.document || parsed.document->digest != aReply.digest) {
    return OfferResult::Refused;
  }
  return Install(parsed.document);
}

auto DocumentStore::ReplySince(DocumentVersion aKnownVersion) const
  -> DocumentReply
{
  const std::lock_guard lock(mutex_);
  DocumentReply reply;
  reply.version = current_->version;
  reply.digest = current_->digest;
  if (aKnownVersion >= current_->version) {
    return reply;
  }
  std::vector<Section> base;
  for (const auto& document : history_) {
    if (document->version == aKnownVersion) {
      base = document->sections;
      reply.base = aKnownVersion;
    }
  }
  auto delta = DiffSections(base, current_->sections);
  for (auto& section : delta.changed) {
    reply.changed.push_back({ section.name, section.text });
  }
  for (auto& name : delta.removed) {
    reply.removed.push_back({ name, {} });
  }
  return reply;
}

auto DocumentStore::Current() const -> DocumentPtr
{
  const std::lock_guard lock(mutex_);
  return current_;
}

auto DocumentStore::Version() const -> DocumentVersion
{
  const std::lock_guard lock(mutex_);
  return current_->version;
}

auto DocumentStore::IsQuarantined(const Endpoint& aAddress) const -> bool
{
  const std::lock_guard lock(mutex_);
  const auto found = quarantine_.find(aAddress);
  return found != quarantine_.end() && found->second > clock_.Now();
}

auto DocumentStore::RefusedVersion() const -> DocumentVersion
{
  const std::lock_guard lock(mutex_);
  return refusedVersion_;
}

auto DocumentStore::RefusedErrors() const -> std::vector<DocumentError>
{
  const std::lock_guard lock(mutex_);
  return refusedErrors_;
}

} // namespace damaskwalk
