#include "runtime/settings.h"

#include "core/document.h"
#include "core/placement.h"

#include <SimpleIni.h>

#include <charconv>
#include <optional>
#include <sstream>

namespace damaskwalk {

namespace {

namespace leaf = boost::leaf;

// Reads the keys of a settings file. A key that was read is removed, so that
// Finish can report the keys that are left as unknown. Only the first error is
// kept.
class SettingsReader
{
public:
  explicit SettingsReader(const std::string& aFile)
    : file_(aFile)
  {
    CSimpleIniA ini(true, false, false);
    if (ini.LoadFile(aFile.c_str()) < 0) {
      AddError("", "", "file cannot be read");
      return;
    }
    CSimpleIniA::TNamesDepend sections;
    ini.GetAllSections(sections);
    for (const auto& section : sections) {
      CSimpleIniA::TNamesDepend keys;
      ini.GetAllKeys(section.pItem, keys);
      for (const auto& key : keys) {
        values_[{ section.pItem, key.pItem }] =
          ini.GetValue(section.pItem, key.pItem, "");
      }
    }
  }

  auto Text(const char* aSection, const char* aKey, const char* aDefault)
    -> std::string
  {
    const auto found = values_.find({ aSection, aKey });
    if (found == values_.end()) {
      return aDefault;
    }
    auto value = found->second;
    values_.erase(found);
    return value;
  }

  auto Address(const char* aSection, const char* aKey, bool aRequired)
    -> Endpoint
  {
    const auto text = Text(aSection, aKey, "");
    if (text.empty() && !aRequired) {
      return {};
    }
    const auto endpoint = ParseEndpoint(text);
    if (!endpoint) {
      AddError(aSection,
               aKey,
               "invalid endpoint \"" + text + "\", expected IPv4:port");
    }
    return endpoint.value_or(Endpoint{});
  }

  auto Addresses(const char* aSection, const char* aKey)
    -> std::vector<Endpoint>
  {
    std::vector<Endpoint> endpoints;
    std::stringstream stream(Text(aSection, aKey, ""));
    for (std::string item; std::getline(stream, item, ',');) {
      const auto first = item.find_first_not_of(' ');
      const auto endpoint =
        ParseEndpoint(first == std::string::npos ? "" : item.substr(first));
      if (!endpoint) {
        AddError(aSection,
                 aKey,
                 "invalid endpoint \"" + item +
                   "\", expected a comma-separated list of IPv4:port");
        continue;
      }
      endpoints.push_back(*endpoint);
    }
    return endpoints;
  }

  auto Number(const char* aSection,
              const char* aKey,
              std::uint32_t aDefault,
              std::uint32_t aLow,
              std::uint32_t aHigh) -> std::uint32_t
  {
    const auto text = Text(aSection, aKey, std::to_string(aDefault).c_str());
    std::uint32_t number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    const bool valid = parsed.ec == std::errc{} && parsed.ptr == end;
    if (!valid || number < aLow || number > aHigh) {
      AddError(aSection,
               aKey,
               "invalid number \"" + text + "\", expected " +
                 std::to_string(aLow) + " to " + std::to_string(aHigh));
      return aDefault;
    }
    return number;
  }

  auto Duration(const char* aSection, const char* aKey, const char* aDefault)
    -> Millis
  {
    const auto text = Text(aSection, aKey, aDefault);
    const auto parsed = ParseDuration(text);
    if (!parsed) {
      AddError(aSection,
               aKey,
               "invalid duration \"" + text +
                 "\", expected a number with the unit ms, s or m, as in 250ms");
    }
    return parsed.value_or(Millis{ 1 });
  }

  auto Flag(const char* aSection, const char* aKey, bool aDefault) -> bool
  {
    const auto text = Text(aSection, aKey, aDefault ? "on" : "off");
    if (text != "on" && text != "off") {
      AddError(
        aSection, aKey, "invalid value \"" + text + "\", expected on or off");
    }
    return text == "on";
  }

  auto AddError(const std::string& aSection,
                const std::string& aKey,
                const std::string& aProblem) -> void
  {
    if (!error_) {
      error_ = SettingsError{ file_, aSection, aKey, aProblem };
    }
  }

  template<class Settings>
  auto Finish(Settings aSettings) -> leaf::result<Settings>
  {
    if (!error_ && !values_.empty()) {
      const auto& [name, value] = *values_.begin();
      AddError(name.first, name.second, "unknown key");
    }
    if (error_) {
      return leaf::new_error(*error_);
    }
    return aSettings;
  }

private:
  std::string file_;
  std::map<std::pair<std::string, std::string>, std::string> values_;
  std::optional<SettingsError> error_;
};

auto ReadNode(SettingsReader& aReader) -> NodeSettings
{
  NodeSettings node;
  node.listen = aReader.Address("node", "listen", true);
  node.metrics = aReader.Address("node", "metrics", false);
  node.failureDomain = aReader.Text("node", "failure_domain", "");
  if (node.failureDomain.empty()) {
    aReader.AddError("node", "failure_domain", "missing, expected a name");
  }
  node.threads = aReader.Number("node", "threads", 2, 1, 64);
  node.stopTimeout = aReader.Duration("node", "stop_within", "10s");
  node.platform = aReader.Address("platform", "address", true);
  node.seeds = aReader.Addresses("platform", "seeds");
  node.gateway = aReader.Address("network", "gateway", false);
  node.controlBytesPerSecond =
    aReader.Number("budget", "control_bytes_per_second", 5000, 500, 10000000);
  node.controlBurstBytes =
    aReader.Number("budget", "control_burst_bytes", 65536, 4096, 100000000);
  node.traceFile = aReader.Text("trace", "file", "");
  node.traceService = aReader.Text("trace", "service", "");
  node.partitionFile = aReader.Text("test", "cut_file", "");
  return node;
}

} // namespace

auto LoadBalancerSettings(const std::string& aFile)
  -> leaf::result<BalancerSettings>
{
  SettingsReader reader(aFile);
  BalancerSettings settings;
  settings.node = ReadNode(reader);
  settings.hints = reader.Flag("balancer", "hints", true);
  settings.tokens = reader.Flag("balancer", "tokens", true);
  settings.hintCapacity =
    reader.Number("balancer", "hint_capacity", 1U << 16, 16, 1U << 24);
  return reader.Finish(settings);
}

auto LoadAgentSettings(const std::string& aFile) -> leaf::result<AgentSettings>
{
  SettingsReader reader(aFile);
  AgentSettings settings;
  settings.node = ReadNode(reader);
  if (!settings.node.gateway.IsValid()) {
    reader.AddError("network", "gateway", "missing, expected IPv4:port");
  }
  settings.placement = reader.Text("agent", "placement", "spare");
  if (!ParsePlacementKind(settings.placement)) {
    reader.AddError(
      "agent", "placement", "unknown placement policy " + settings.placement);
  }
  settings.hints = reader.Flag("agent", "hints", true);
  settings.tokens = reader.Flag("agent", "tokens", true);
  settings.maxFlows = reader.Number("agent", "max_flows", 20000, 1, 1U << 24);
  settings.maxQueue = reader.Number("agent", "max_queue", 4096, 1, 1U << 20);
  settings.clockSkew = reader.Duration("agent", "clock_skew", "250ms");
  return reader.Finish(settings);
}

} // namespace damaskwalk
