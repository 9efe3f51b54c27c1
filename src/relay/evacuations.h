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

// The newest set; older ones are ignored. A domain that a restored store has
// lost stays evacuated for kLostEvacuationHold. Single threaded.
class Evacuations
{
public:
  explicit Evacuations(const Clock& aClock);

  // Brings the set into force if its revision is newer.
  // @param aRestored see StoreRevision::IsAfter.
  auto Update(EvacuationSet aSet, bool aRestored) -> EvacuationChange;
  // Takes over the revision of a peer that knows the same domains. Sets of
  // older revisions are then ignored.
  // @param aDigest the peer's Digest.
  auto Confirm(const StoreRevision& aRevision,
               std::uint64_t aDigest,
               bool aRestored) -> void;

  // Ends the hold of lost evacuations when it is over.
  auto Tick() -> EvacuationChange;

  auto Contains(DomainId aDomain) const -> bool;
  // Evacuated domains, sorted.
  auto InForce() const -> const std::vector<std::string>& { return inForce_; }
  // The newest set as the store had it.
  auto Current() const -> const EvacuationSet& { return set_; }
  // Hash of the current set; 0 while no domain is evacuated and no peer reports
  // a set, so that deployments without evacuations send nothing.
  auto Digest() const -> std::uint64_t;

private:
  // Brings the set and the lost domains into force.
  auto Apply() -> EvacuationChange;

  const Clock& clock_;
  EvacuationSet set_;
  std::vector<std::string> lost_; // by a restore of the store; sorted
  TimePoint lostUntil_;
  std::vector<std::string> inForce_;
  std::uint64_t hash_ = EvacuationSet{}.Hash();
  bool isUsed_ = false;       // a domain was evacuated, here or at a peer
  std::vector<DomainId> ids_; // of the domains in force
};

} // namespace damaskwalk
