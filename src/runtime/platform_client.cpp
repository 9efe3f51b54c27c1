#include "runtime/platform_client.h"

#include "core/config.h"
#include "core/document_version.h"
#include "runtime/bulk.h"
#include "runtime/vm_listing.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace damaskwalk {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace leaf = boost::leaf;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr Millis kReadTimeout{ 2000 };
constexpr std::size_t kMaxDocumentBytes = std::size_t{ 16 } * 1024 * 1024;

} // namespace

auto PlatformClient::Get(std::string aTarget,
                         std::string aEtag,
                         Millis aTimeout) -> asio::awaitable<Response>
{
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(kReadTimeout);
  const auto [connectError] =
    co_await stream.async_connect(ToAsioTcp(platform_), kAwait);
  if (connectError) {
    co_return Response{};
  }
  stream.expires_after(aTimeout);
  http::request<http::empty_body> request(http::verb::get, aTarget, 11);
  request.set(http::field::host, ToText(platform_));
  request.set(http::field::connection, "close");
  if (!aEtag.empty()) {
    request.set(http::field::if_none_match, aEtag);
  }
  const auto [writeError, written] =
    co_await http::async_write(stream, request, kAwait);
  if (writeError) {
    co_return Response{};
  }
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxDocumentBytes);
  const auto [readError, read] =
    co_await http::async_read(stream, buffer, parser, kAwait);
  if (readError) {
    co_return Response{};
  }
  const auto& response = parser.get();
  co_return Response{ static_cast<int>(response.result_int()),
                      std::string(response[http::field::etag]),
                      response.body() };
}

auto PlatformClient::ReadDocument(DocumentVersion aKnownVersion, Millis aWait)
  -> asio::awaitable<leaf::result<PlatformDocument>>
{
  const auto target = "/v1/document?wait_ms=" + std::to_string(aWait.count());
  const auto etag = ToDocumentTag(aKnownVersion);
  auto response = co_await Get(target, etag, kReadTimeout + aWait);
  if (response.status == 304) {
    co_return PlatformDocument{ false, aKnownVersion, {} };
  }
  if (response.status == 0 || response.status >= 500) {
    co_return leaf::new_error(PlatformError::Unreachable);
  }
  const auto version = ParseDocumentTag(response.etag);
  if (response.status != 200 || version == 0) {
    co_return leaf::new_error(PlatformError::BadAnswer);
  }
  co_return PlatformDocument{ true, version, std::move(response.body) };
}

auto PlatformClient::ReadListing()
  -> asio::awaitable<leaf::result<std::vector<ListedVm>>>
{
  auto response = co_await Get("/v1/vms", "", kReadTimeout);
  if (response.status != 200) {
    co_return leaf::new_error(PlatformError::Unreachable);
  }
  co_return DecodeListing(response.body);
}

} // namespace damaskwalk
