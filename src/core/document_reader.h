#pragma once

// Reads one document text and collects every error in it.

#include "core/document.h"

#include <functional>
#include <unordered_set>

namespace damaskwalk {

// The keys of one section, consumed one by one so that unknown ones remain.
struct SectionKeys
{
  std::string section;
  std::string owner;
  std::map<std::string, std::string> values;
};

class DocumentReader
{
public:
  explicit DocumentReader(std::string_view aText);

  auto Read() -> Document;
  auto TakeErrors() -> std::vector<DocumentError>;

private:
  auto ReadTeams(SectionKeys& aKeys) -> void;
  auto ReadService(const std::string& aName, SectionKeys& aKeys) -> void;
  auto ReadKind(const std::string& aName, SectionKeys& aKeys) -> void;
  auto ReadBackend(const std::string& aName, SectionKeys& aKeys) -> void;
  auto ReadCaller(const std::string& aName, SectionKeys& aKeys) -> void;
  auto CheckEditor(const SectionKeys& aKeys, Service& aService) -> bool;
  auto CheckServices() -> void;

  auto TakeValue(SectionKeys& aKeys, const char* aKey, const char* aDefault)
    -> std::string;
  auto TakeNumber(SectionKeys& aKeys,
                  const char* aKey,
                  std::uint32_t aDefault,
                  std::uint32_t aLow,
                  std::uint32_t aHigh) -> std::uint32_t;
  auto TakeChoice(SectionKeys& aKeys,
                  const char* aKey,
                  std::vector<std::string> aChoices) -> std::size_t;
  auto TakeEndpoint(SectionKeys& aKeys, const char* aKey) -> Endpoint;
  auto AddError(const SectionKeys& aKeys,
                std::string aKey,
                std::string aProblem,
                std::string aValid) -> void;

  std::string text_;
  Document document_;
  std::vector<DocumentError> errors_;
  std::unordered_set<std::string> teams_;
  std::unordered_map<std::string, std::size_t> serviceIndex_;
  std::unordered_map<std::string, std::unordered_set<std::string>> editors_;
  std::unordered_map<Endpoint, std::string, KeyHash> endpoints_;
};

} // namespace damaskwalk
