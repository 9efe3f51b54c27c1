#pragma once

// Parses one document text and collects every error in it.

#include "core/document.h"

#include <functional>
#include <unordered_set>

namespace damaskwalk {

// The keys of one section. Reading a key removes it, so that the remaining keys
// are the unknown ones.
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

  // Reads the whole text. The result is valid only if there are no errors.
  auto Read() -> Document;
  auto TakeErrors() -> std::vector<DocumentError>;

private:
  auto ReadTeams(SectionKeys& aKeys) -> void;
  auto ReadService(const std::string& aName, SectionKeys& aKeys) -> void;
  auto ReadKind(const std::string& aName, SectionKeys& aKeys) -> void;
  auto ReadBackend(const std::string& aName, SectionKeys& aKeys) -> void;
  auto ReadCaller(const std::string& aName, SectionKeys& aKeys) -> void;
  // Adds an error unless the section's owner may edit the service.
  auto CheckEditor(const SectionKeys& aKeys, Service& aService) -> bool;
  auto CheckServices() -> void;

  auto TakeValue(SectionKeys& aKeys, const char* aKey, const char* aDefault)
    -> std::string;
  // @returns the default and adds an error when the value is not a number from
  //          aLow to aHigh.
  auto TakeNumber(SectionKeys& aKeys,
                  const char* aKey,
                  std::uint32_t aDefault,
                  std::uint32_t aLow,
                  std::uint32_t aHigh) -> std::uint32_t;
  // @returns the index of the value in aChoices; 0, the default, when the
  //          key is missing. Any other value adds an error and returns 0.
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
  // Teams that may edit a service, by the service's name.
  std::unordered_map<std::string, std::unordered_set<std::string>> editors_;
  // Section that uses a service address or agent endpoint.
  std::unordered_map<Endpoint, std::string, KeyHash> endpoints_;
};

} // namespace damaskwalk
