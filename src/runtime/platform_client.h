#pragma once

// Reads and watches the platform's configuration service over HTTP/1.1.

#include "core/clock.h"
#include "core/membership.h"
#include "core/types.h"

#include <boost/asio/awaitable.hpp>
#include <boost/leaf/result.hpp>

#include <string>
#include <vector>

namespace damaskwalk {

enum class PlatformError : std::uint8_t
{
  Unreachable, // no response in time, or a server error
  BadAnswer,   // a response that cannot be decoded
};

struct PlatformDocument
{
  bool changed = false; // false: `text` is empty
  DocumentVersion version = 0;
  std::string text;
};

class PlatformClient
{
public:
  explicit PlatformClient(const Endpoint& aPlatform)
    : platform_(aPlatform)
  {
  }

  // Reads the document when its version differs from aKnownVersion. With a
  // wait, the service responds when the document changes or the wait has
  // passed.
  auto ReadDocument(DocumentVersion aKnownVersion, Millis aWait)
    -> boost::asio::awaitable<boost::leaf::result<PlatformDocument>>;
  // Reads the VMs that the platform lists.
  auto ReadListing()
    -> boost::asio::awaitable<boost::leaf::result<std::vector<ListedVm>>>;

private:
  struct Response
  {
    int status = 0; // 0: unreachable
    std::string etag;
    std::string body;
  };
  auto Get(std::string aTarget, std::string aEtag, Millis aTimeout)
    -> boost::asio::awaitable<Response>;

  Endpoint platform_;
};

} // namespace damaskwalk
