#pragma once

// What the encodings of datagrams and of state exchange share. Internal to the
// relay.

#include "relay/limits.h"
#include "relay/peer_messages.h"
#include "wire/codec.h"

#include <algorithm>
#include <istream>
#include <ostream>

namespace damaskwalk {

// First byte of every message. Increment it when the layout changes.
constexpr std::uint8_t kLayoutVersion = 1;

template<class Archive>
auto serialize(Archive& aArchive, Millis& aValue) -> void
{
  std::int64_t count = aValue.count();
  aArchive(count);
  // Sums of what peers send must not overflow.
  aValue =
    std::clamp(Millis{ count }, -kMaxReportedDuration, kMaxReportedDuration);
}

template<class Archive>
auto serialize(Archive& aArchive, StateDigest& aValue) -> void
{
  aArchive(aValue.routes, aValue.targets.number, aValue.targetsHash);
  serialize(aArchive, aValue.age);
  aValue.age = std::max(aValue.age, Millis{ 0 });
}

// The digest's fields that earlier releases do not have: one byte of flags and
// the fields that they announce, as heartbeats are many and most have none.
struct LaterDigest
{
  StateDigest& digest;
};

enum LaterDigestFlags : std::uint8_t
{
  HistoryComplete = 1,
  HasHistory = 2,
  HasEvacuations = 4,
  HasEra = 8,
  StoreRestored = 16,
};

inline auto HasStoreEra(const StateDigest& aDigest) -> bool
{
  return aDigest.targets.era != 0 || aDigest.evacuations.era != 0;
}

// Evacuations have an era only where they are sent.
template<class Archive>
auto SerializeEras(Archive& aArchive, StateDigest& aDigest, std::uint8_t aFlags)
  -> void
{
  if (aFlags & HasEra) {
    aArchive(aDigest.targets.era);
  }
  if ((aFlags & HasEra) && (aFlags & HasEvacuations)) {
    aArchive(aDigest.evacuations.era);
  }
}

inline auto save(OutArchive& aArchive, const LaterDigest& aValue) -> void
{
  const auto& digest = aValue.digest;
  const auto flags = static_cast<std::uint8_t>(
    (digest.historyComplete ? HistoryComplete : 0) |
    (digest.historyHash != 0 ? HasHistory : 0) |
    (digest.evacuationsHash != 0 ? HasEvacuations : 0) |
    (HasStoreEra(digest) ? HasEra : 0) |
    (digest.storeRestored ? StoreRestored : 0));
  aArchive(flags);
  if (flags & HasHistory) {
    aArchive(digest.historyHash);
  }
  if (flags & HasEvacuations) {
    aArchive(digest.evacuations.number, digest.evacuationsHash);
  }
  SerializeEras(aArchive, aValue.digest, flags);
}

inline auto load(InArchive& aArchive, LaterDigest& aValue) -> void
{
  auto& digest = aValue.digest;
  std::uint8_t flags = 0;
  aArchive(flags);
  if (flags & HasHistory) {
    aArchive(digest.historyHash);
  }
  if (flags & HasEvacuations) {
    aArchive(digest.evacuations.number, digest.evacuationsHash);
  }
  SerializeEras(aArchive, digest, flags);
  digest.storeRestored = flags & StoreRestored;
  digest.historyComplete = flags & HistoryComplete;
}

template<class... Parts>
auto Encode(const Parts&... aParts) -> std::string
{
  std::string bytes;
  StringBuffer buffer(bytes);
  std::ostream stream(&buffer);
  OutArchive archive(stream);
  archive(kLayoutVersion);
  (archive(const_cast<Parts&>(aParts)), ...);
  return bytes;
}

// @param aBody reads the message; returns false if its kind is unknown.
template<class Body>
auto Decode(std::string_view aBytes, Body aBody) -> boost::leaf::result<void>
{
  MemoryBuffer buffer(aBytes.data(), aBytes.size());
  std::istream stream(&buffer);
  try {
    InArchive archive(stream);
    std::uint8_t layout = 0;
    archive(layout);
    if (layout != kLayoutVersion) {
      return boost::leaf::new_error(WireError::UnknownVersion);
    }
    if (!aBody(archive, buffer)) {
      return boost::leaf::new_error(WireError::UnknownKind);
    }
  } catch (const std::exception&) {
    return boost::leaf::new_error(WireError::Truncated);
  }
  // Bytes after the known fields are fields of a later release.
  return {};
}

} // namespace damaskwalk
