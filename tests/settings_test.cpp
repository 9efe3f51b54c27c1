#include "test_support.h"

#include "damaskwalk/damaskwalk.h"
#include "runtime/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace damaskwalk {
namespace {

constexpr const char* kValidSettings = "[node]\nlisten = 127.0.0.1:7900\n"
                                       "failure_domain = a\nthreads = 1\n"
                                       "[platform]\naddress = 127.0.0.1:7901\n"
                                       "[network]\ngateway = 127.0.0.1:7902\n";

auto WriteSettings(const std::string& aText) -> std::string
{
  const auto name = testing::TempDir() + "damaskwalk-settings.ini";
  std::ofstream(name) << aText;
  return name;
}

auto ErrorOf(const std::string& aText) -> SettingsError
{
  return boost::leaf::try_handle_all(
    [&]() -> boost::leaf::result<SettingsError> {
      BOOST_LEAF_CHECK(LoadAgentSettings(WriteSettings(aText)));
      return SettingsError{};
    },
    [](const SettingsError& aError) { return aError; },
    [] {
      return SettingsError{ "?", "?", "?", "?" };
    });
}

TEST(Settings, ValidFileIsAccepted)
{
  EXPECT_EQ(ErrorOf(kValidSettings).problem, "");
  EXPECT_EQ(RunAgent({ WriteSettings(kValidSettings), true }), 0);
}

TEST(Settings, EachErrorNamesSectionAndKey)
{
  const std::string valid = kValidSettings;
  const auto expect = [&](const std::string& aMore,
                          const char* aSection,
                          const char* aKey,
                          const char* aProblem) {
    const auto error = ErrorOf(valid + aMore);
    EXPECT_EQ(error.section, aSection) << aMore;
    EXPECT_EQ(error.key, aKey) << aMore;
    EXPECT_NE(error.problem.find(aProblem), std::string::npos) << error.problem;
  };
  expect("[agent]\ncolour = red\n", "agent", "colour", "unknown key");
  expect("[agent]\nmax_flows = many\n", "agent", "max_flows", "invalid number");
  expect(
    "[agent]\nclock_skew = 250\n", "agent", "clock_skew", "unit ms, s or m");
  expect("[agent]\nplacement = best\n",
         "agent",
         "placement",
         "unknown placement policy");
  expect("[budget]\ncontrol_bytes_per_second = 1\n",
         "budget",
         "control_bytes_per_second",
         "expected 500 to");
  const auto missing = ErrorOf("[node]\nlisten = nowhere\n");
  EXPECT_EQ(missing.key, "listen");
}

TEST(Settings, PortInUseIsReportedAndExitsWithTwo)
{
  boost::asio::io_context io;
  const boost::asio::ip::tcp::acceptor taken(
    io, { boost::asio::ip::address_v4::loopback(), 7900 });
  testing::internal::CaptureStderr();
  EXPECT_EQ(RunAgent({ WriteSettings(kValidSettings), false }), 2);
  const auto text = testing::internal::GetCapturedStderr();
  EXPECT_NE(text.find("key=\"listen\""), std::string::npos) << text;
  EXPECT_NE(text.find("in use"), std::string::npos) << text;
}

} // namespace
} // namespace damaskwalk
