#pragma once

// Stand-in for the platform's store, in the process of the test: ranges and
// watches over HTTP, one revision counter, copies from which it is restored.

#include "http_server.h"

#include <boost/beast/core/detail/base64.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace damaskwalk::standin {

class Store
{
public:
  explicit Store(asio::io_context& aIo)
    : acceptor_(aIo, { asio::ip::address_v4::loopback(), 0 })
  {
    asio::co_spawn(aIo,
                   AcceptConnections(
                     acceptor_,
                     [this](Stream& aStream,
                            const BeastRequest& aRequest,
                            BeastResponse& aResponse) -> asio::awaitable<bool> {
                       const std::string target(aRequest.target());
                       Answer(target, aResponse);
                       if (!endsWatches_ || !target.starts_with(kWatchPath)) {
                         co_return false;
                       }
                       const std::string part =
                         "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{";
                       co_await asio::async_write(
                         aStream, asio::buffer(part), kAwait);
                       co_return true;
                     }),
                   asio::detached);
  }

  auto Address() const -> Endpoint
  {
    const auto local = acceptor_.local_endpoint();
    return { local.address().to_v4().to_uint(), local.port() };
  }

  auto Put(const std::string& aKey, std::string aValue) -> void
  {
    ++state_.revision;
    state_.history.push_back({ aKey, state_.revision, false, aValue });
    state_.items[aKey] = { std::move(aValue), state_.revision };
  }
  auto Delete(const std::string& aKey) -> void
  {
    if (state_.items.erase(aKey) > 0) {
      ++state_.revision;
      state_.history.push_back({ aKey, state_.revision, true, {} });
    }
  }

  auto Copy() -> void { copy_ = state_; }
  // Everything written since the copy is lost.
  auto Restore() -> void
  {
    state_ = copy_;
    ++era_;
  }

  // Restores after the next page of a range, and sends pages of this many
  // items.
  auto RestoreAfterNextPage(std::size_t aPageItems) -> void
  {
    pageItems_ = aPageItems;
    restoresAfterPage_ = true;
  }
  auto SetPageItems(std::size_t aItems) -> void { pageItems_ = aItems; }
  // Refuses calls whose target begins so; empty: none.
  auto Refuse(std::string aTarget) -> void { refused_ = std::move(aTarget); }
  // Sends this in place of the changes that are watched for; nothing: those.
  auto SetWatchBody(std::optional<std::string> aBody) -> void
  {
    watchBody_ = std::move(aBody);
  }
  // Closes the connections of watches in the middle of the answer.
  auto SetEndsWatches(bool aEnds) -> void { endsWatches_ = aEnds; }
  // Sends this in place of the era; empty: no header.
  auto SetEraText(std::optional<std::string> aText) -> void
  {
    eraText_ = std::move(aText);
  }

  auto Revision() const -> std::uint64_t { return state_.revision; }
  auto Era() const -> std::uint32_t { return era_; }
  auto Calls() const -> std::uint64_t { return calls_; }

private:
  static constexpr std::string_view kWatchPath = "/v1/kv-watch";

  struct Item
  {
    std::string value;
    std::uint64_t revision = 0;
  };
  struct Change
  {
    std::string key;
    std::uint64_t revision = 0;
    bool deleted = false;
    std::string value; // as it was written
  };
  struct State
  {
    std::uint64_t revision = 1;
    std::map<std::string, Item> items;
    std::vector<Change> history;
  };

  static auto ToBase64(const std::string& aText) -> std::string
  {
    namespace base64 = boost::beast::detail::base64;
    std::string encoded(base64::encoded_size(aText.size()), '\0');
    encoded.resize(base64::encode(encoded.data(), aText.data(), aText.size()));
    return encoded;
  }

  static auto ToJson(const std::string& aKey, const Item& aItem)
    -> boost::json::object
  {
    return { { "key", aKey },
             { "value", ToBase64(aItem.value) },
             { "revision", aItem.revision },
             { "created", aItem.revision },
             { "lease", 0 } };
  }

  auto Answer(const std::string& aTarget, BeastResponse& aResponse) -> void
  {
    ++calls_;
    if (!refused_.empty() && aTarget.starts_with(refused_)) {
      aResponse.result(http::status::service_unavailable);
      return;
    }
    if (const auto era = eraText_.value_or(std::to_string(era_));
        !era.empty()) {
      aResponse.set("Store-Era", era);
    }
    const auto prefix = QueryParameter(aTarget, "prefix", "");
    if (aTarget.starts_with("/v1/kv-range")) {
      const auto start = QueryParameter(aTarget, "after", "");
      boost::json::array items;
      bool truncated = false;
      for (const auto& [key, item] : state_.items) {
        if (!key.starts_with(prefix) || key <= start) {
          continue;
        }
        truncated = items.size() == pageItems_;
        if (truncated) {
          break;
        }
        items.push_back(ToJson(key, item));
      }
      aResponse.body() =
        boost::json::serialize(boost::json::object{ { "items", items },
                                                    { "truncated", truncated },
                                                    { "asOf", Revision() } });
      if (std::exchange(restoresAfterPage_, false)) {
        Restore();
      }
      return;
    }
    const auto after = std::stoull(QueryParameter(aTarget, "after", "0"));
    if (after > state_.revision) {
      aResponse.result(http::status::gone);
      return;
    }
    if (watchBody_) {
      aResponse.body() = *watchBody_;
      return;
    }
    boost::json::array events;
    for (const auto& change : state_.history) {
      if (change.revision <= after || !change.key.starts_with(prefix)) {
        continue;
      }
      if (change.deleted) {
        events.push_back({ { "key", change.key },
                           { "revision", change.revision },
                           { "deleted", true } });
      } else {
        events.push_back(ToJson(change.key, { change.value, change.revision }));
      }
    }
    aResponse.body() = boost::json::serialize(
      boost::json::object{ { "events", events }, { "asOf", Revision() } });
  }

  asio::ip::tcp::acceptor acceptor_;
  State state_;
  State copy_;
  std::uint32_t era_ = 1;
  std::optional<std::string> eraText_;
  std::optional<std::string> watchBody_;
  bool endsWatches_ = false;
  std::size_t pageItems_ = 500;
  bool restoresAfterPage_ = false;
  std::uint64_t calls_ = 0;
  std::string refused_;
};

} // namespace damaskwalk::standin
