#pragma once

// Settings of one process, read from an INI file and checked before anything
// starts.

#include "core/clock.h"
#include "core/types.h"
#include "runtime/settings_error.h"

#include <boost/leaf/result.hpp>

#include <map>
#include <string>
#include <vector>

namespace damaskwalk {

// Settings that balancers and agents have in common.
struct NodeSettings
{
  Endpoint listen;
  Endpoint metrics; // invalid: none
  std::string failureDomain;
  std::uint32_t threads = 2;
  Endpoint platform;
  std::vector<Endpoint> seeds;
  Endpoint gateway; // receives the frames that go to callers
  std::uint32_t controlBytesPerSecond = 5000;
  std::uint32_t controlBurstBytes = 65536;
  Millis stopTimeout{ 10000 };
  std::string traceFile;
  std::string traceService;
  // Lists the endpoints that this process must not reach; for partition tests.
  std::string partitionFile;
};

struct BalancerSettings
{
  NodeSettings node;
  bool hints = true;
  bool tokens = true;
  std::uint32_t hintCapacity = 1U << 16;
};

struct AgentSettings
{
  NodeSettings node;
  std::string placement = "spare";
  bool hints = true;
  bool tokens = true;
  std::uint32_t maxFlows = 20000;
  std::uint32_t maxQueue = 4096;
  Millis clockSkew{ 250 };
};

auto LoadBalancerSettings(const std::string& aFile)
  -> boost::leaf::result<BalancerSettings>;
auto LoadAgentSettings(const std::string& aFile)
  -> boost::leaf::result<AgentSettings>;

} // namespace damaskwalk
