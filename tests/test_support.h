#pragma once

#include "core/config.h"
#include "core/types.h"
#include "wire/messages.h"

#include <boost/leaf/handle_errors.hpp>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <fstream>
#include <iterator>
#include <random>

namespace damaskwalk {

// Checks a RapidCheck property; fails the running test when it does not hold.
template<class Property>
auto Holds(const std::string& aName, Property aProperty) -> void
{
  EXPECT_TRUE(rc::check(aName, std::move(aProperty)));
}

inline auto Agent(std::uint16_t aNumber) -> Endpoint
{
  return { 0x7F000001, static_cast<std::uint16_t>(7100 + aNumber) };
}

inline auto FlowNumber(std::uint16_t aNumber) -> FlowKey
{
  return { { 0x0A090001, static_cast<std::uint16_t>(1000 + aNumber) },
           { 0x0A010001, 80 } };
}

inline auto ReadSource(const std::string& aName) -> std::string
{
  std::ifstream file(std::string(DAMASKWALK_SOURCE_DIR) + "/" + aName);
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace damaskwalk
