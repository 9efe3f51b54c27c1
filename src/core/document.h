#pragma once

// The configuration document: parsing, acceptance, digests and deltas.
// Acceptance is a pure function of the text.

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

// One kind of request of a service, matched by method and path prefix.
struct RequestKind
{
  std::string name;
  std::string method = "GET";
  std::string path = "/";
  bool repeatable = true;
  bool feed = false;
  // 0 is served first.
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
  std::uint32_t slots = 1;
  std::uint32_t connections = 2000;
  BackendState state = BackendState::Active;
};

struct Service
{
  std::string name;
  ServiceId id;
  std::string owner;
  std::vector<Endpoint> addresses;
  std::uint32_t firstPacketsPerSecond = 20000;
  std::vector<RequestKind> kinds;
  // Published targets in the order of the document.
  std::vector<BackendServer> backends;

  auto FindBackend(const Endpoint& aAgent) const -> const BackendServer*;
  // The kind with the longest matching path; a default kind when none does.
  auto FindKind(std::string_view aMethod, std::string_view aPath) const
    -> const RequestKind&;
};

struct CallerLimit
{
  std::string name;
  std::uint32_t weight = 1;
  // Requests a second over the whole fleet; 0 is unlimited.
  std::uint32_t ratePerSecond = 0;
};

struct DocumentError
{
  std::string section;
  std::string key;
  std::string owner;
  std::string problem;
  std::string valid;
};

// One section's text, the unit of a delta.
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
  auto FindCaller(const std::string& aName) const -> CallerLimit;

  std::unordered_map<Endpoint, std::size_t, KeyHash> byAddress;
  std::unordered_map<Endpoint, std::size_t, KeyHash> byAgent;
  std::unordered_map<ServiceId, std::size_t, KeyHash> byId;
};

using DocumentPtr = std::shared_ptr<const Document>;

struct ParsedDocument
{
  // Empty when there is an error.
  DocumentPtr document;
  std::vector<DocumentError> errors;
};

// Checks and builds a document. The same text gives the same result anywhere.
// @param aVersion the platform's version of the text.
auto ParseDocument(std::string_view aText, DocumentVersion aVersion)
  -> ParsedDocument;

// Joins sections into a text with the same digest.
auto JoinSections(const std::vector<Section>& aSections) -> std::string;

// Digest over section names and texts, independent of their order.
auto DigestSections(const std::vector<Section>& aSections) -> std::uint64_t;

// Sections to set and to drop that turn one version into another.
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

// "250ms", "3s", "2m"; nothing when the unit is missing or unknown.
auto ParseDuration(std::string_view aText) -> std::optional<Millis>;

// "50/s"; nothing when the unit is missing.
auto ParseRate(std::string_view aText) -> std::optional<std::uint32_t>;

} // namespace damaskwalk
