#pragma once

// The configuration document: parsing, validation, digests and deltas. Whether
// a document is accepted depends on its text alone.

#include "core/clock.h"
#include "core/config.h"
#include "core/types.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace damaskwalk {

enum class BackendState : std::uint8_t
{
  Active,
  Draining,
};

// A class of requests of a service, matched by method and path prefix.
struct RequestKind
{
  std::string name;
  std::string method = "GET";
  std::string path = "/";
  // The request may run more than once.
  bool repeatable = true;
  // The answer is an event stream.
  bool feed = false;
  // 0 is the highest.
  std::uint32_t priority = 1;
  Millis deadline{ 5000 };
};

struct BackendServer
{
  std::string name;
  std::string serviceName;
  ServiceId service;
  Endpoint agent;
  Endpoint server;
  std::string failureDomain;
  std::uint32_t slots = 1;          // requests at the same time
  std::uint32_t connections = 2000; // flows at the same time
  BackendState state = BackendState::Active;
};

struct Service
{
  std::string name;
  ServiceId id;
  std::string owner;
  std::vector<Endpoint> addresses;
  // Limit on first packets of new flows.
  std::uint32_t firstPacketsPerSecond = 20000;
  std::vector<RequestKind> kinds;
  // Backend servers in the order of the document.
  std::vector<BackendServer> backends;

  auto FindBackend(const Endpoint& aAgent) const -> const BackendServer*;
  // The kind with the longest matching path prefix. When none matches, a
  // default kind, which is repeatable for GET and HEAD only.
  auto FindKind(std::string_view aMethod, std::string_view aPath) const
    -> const RequestKind&;
};

struct CallerLimit
{
  std::string name;
  std::uint32_t weight = 1;
  // Requests per second over the whole fleet; 0 is unlimited.
  std::uint32_t ratePerSecond = 0;
};

struct DocumentError
{
  std::string section;
  std::string key;   // empty when the error concerns the section
  std::string owner; // team that owns the section
  std::string problem;
  std::string valid; // what would be accepted
};

// Text of one section, the unit of a delta.
struct Section
{
  std::string name;
  std::string text;
  auto operator==(const Section&) const -> bool = default;
};

struct Document
{
  DocumentVersion version = 0;
  std::uint64_t digest = 0;
  std::vector<Section> sections;
  std::vector<Service> services;
  std::unordered_map<std::string, CallerLimit> callers;

  auto FindByAddress(const Endpoint& aAddress) const -> const Service*;
  auto FindById(ServiceId aService) const -> const Service*;
  auto FindByAgent(const Endpoint& aAgent) const -> const Service*;
  // The caller's entry; the default limits when it has none.
  auto FindCaller(const std::string& aName) const -> CallerLimit;

  // Indices into services.
  std::unordered_map<Endpoint, std::size_t, KeyHash> byAddress;
  std::unordered_map<Endpoint, std::size_t, KeyHash> byAgent;
  std::unordered_map<ServiceId, std::size_t, KeyHash> byId;
};

using DocumentPtr = std::shared_ptr<const Document>;

struct ParsedDocument
{
  // Null when there is an error.
  DocumentPtr document;
  std::vector<DocumentError> errors;
};

// Validates a text and builds the document. The same text gives the same result
// in every process.
// @param aVersion the platform's version of the text.
auto ParseDocument(std::string_view aText, DocumentVersion aVersion)
  -> ParsedDocument;

// Joins sections into a text that parses to sections with the same digest.
auto JoinSections(const std::vector<Section>& aSections) -> std::string;

// Digest over section names and texts, independent of the sections' order.
auto DigestSections(const std::vector<Section>& aSections) -> std::uint64_t;

// Sections to set and to remove to turn one version into another.
struct DocumentDelta
{
  std::vector<Section> changed;
  std::vector<std::string> removed;
};

auto DiffSections(const std::vector<Section>& aFrom,
                  const std::vector<Section>& aTo) -> DocumentDelta;

auto ApplyDelta(const std::vector<Section>& aFrom, const DocumentDelta& aDelta)
  -> std::vector<Section>;

// "section=... key=... owner=... problem=... valid=..."
auto ToText(const DocumentError& aError) -> std::string;

// @param aText such as "250ms", "3s" or "2m".
// @return nothing when the unit is missing or unknown, or the number is above
// 86400000.
auto ParseDuration(std::string_view aText) -> std::optional<Millis>;

// @param aText such as "50/s".
// @return nothing when the unit is missing or the number is above 1000000.
auto ParseRate(std::string_view aText) -> std::optional<std::uint32_t>;

} // namespace damaskwalk
