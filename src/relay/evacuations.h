#pragma once

// Failure domains that operators evacuate: their backend servers get no new
// flows until the evacuation is removed.

#include "core/clock.h"
#include "core/types.h"
#include "relay/store_revision.h"

#include <string>
#include <vector>

namespace damaskwalk {

// Every evacuated domain at one revision of the store.
struct EvacuationSet
{
  StoreRevision revision;
  std::vector<std::string> domains; // sorted, each once

  // Hash of the domains; never 0.
  auto Hash() const -> std::uint64_t;
};

// What changed when a set came into force.
struct EvacuationChange
{
  std::vector<std::string> begun;
  std::vector<std::string> ended;

  auto IsEmpty() const -> bool { return begun.empty() && ended.empty(); }
};

// The newest set; older ones are ignored. Single threaded.
class Evacuations
{
public:
  // Brings the set into force if its revision is newer.
  // @param aRestored see StoreRevision::IsAfter.
  auto Update(EvacuationSet aSet, bool aRestored) -> EvacuationChange;
  // Takes over the revision of a peer that knows the same domains. Sets of
  // older revisions are then ignored.
  // @param aDigest the peer's Digest.
  auto Confirm(const StoreRevision& aRevision,
               std::uint64_t aDigest,
               bool aRestored) -> void;

  auto Contains(DomainId aDomain) const -> bool;
  auto Current() const -> const EvacuationSet& { return set_; }
  // Hash of the set; 0 while no domain is evacuated and no peer reports a set,
  // so that deployments without evacuations send nothing.
  auto Digest() const -> std::uint64_t;

private:
  EvacuationSet set_;
  std::uint64_t hash_ = EvacuationSet{}.Hash();
  bool isUsed_ = false;       // a domain was evacuated, here or at a peer
  std::vector<DomainId> ids_; // of the domains
};

} // namespace damaskwalk
