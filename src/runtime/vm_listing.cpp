#include "runtime/vm_listing.h"

#include "runtime/platform_client.h"

#include <boost/json.hpp>

#include <optional>
#include <string>

namespace damaskwalk {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

// Reads a list entry by entry, so that one that cannot be parsed, such as a
// very deeply nested one, does not take the others away.
class ListReader
{
public:
  explicit ListReader(std::string_view aText)
    : text_(aText)
  {
  }

  // @return false if the text is no list.
  auto Open() -> bool { return SkipSpace() && text_[at_++] == '['; }
  // The text of the next entry; nothing after the last.
  auto Next() -> std::optional<std::string_view>
  {
    if (!SkipSpace() || text_[at_] == ']') {
      isClosed_ = at_ < text_.size();
      return std::nullopt;
    }
    const auto begin = at_;
    SkipEntry();
    const auto entry = text_.substr(begin, at_ - begin);
    if (at_ < text_.size() && text_[at_] == ',') {
      ++at_;
    }
    return entry;
  }
  // True if the end of the list was reached.
  auto IsClosed() const -> bool { return isClosed_; }

private:
  auto SkipSpace() -> bool
  {
    at_ = std::min(text_.find_first_not_of(" \t\r\n", at_), text_.size());
    return at_ < text_.size();
  }

  auto SkipEntry() -> void
  {
    std::size_t depth = 0;
    bool inText = false;
    for (; at_ < text_.size(); ++at_) {
      const char c = text_[at_];
      if (inText) {
        at_ += c == '\\' ? 1 : 0;
        inText = c != '"';
      } else if (c == '"') {
        inText = true;
      } else if (c == '{' || c == '[') {
        ++depth;
      } else if (depth == 0 && (c == ',' || c == ']')) {
        return;
      } else if (c == '}' || c == ']') {
        depth -= depth > 0 ? 1 : 0;
      }
    }
    at_ = std::min(at_, text_.size());
  }

  std::string_view text_;
  std::size_t at_ = 0;
  bool isClosed_ = false;
};

auto RoleOf(std::string_view aText) -> std::optional<Role>
{
  if (aText == "balancer") {
    return Role::Balancer;
  }
  return aText == "agent" ? std::optional(Role::Agent) : std::nullopt;
}

auto DecodeVm(std::string_view aText) -> std::optional<ListedVm>
{
  boost::system::error_code error;
  const auto value = json::parse(aText, error);
  const auto* object = error ? nullptr : value.if_object();
  if (!object) {
    return std::nullopt;
  }
  const auto text = [object](const char* aKey) -> std::string {
    const auto* field = object->if_contains(aKey);
    return field && field->is_string() ? std::string(field->get_string())
                                       : std::string();
  };
  const auto member = ParseEndpoint(text("member"));
  const auto role = RoleOf(text("role"));
  if (!member || !role) {
    return std::nullopt;
  }
  return ListedVm{
    *member, *role, text("failure_domain"), text("state") == "leaving"
  };
}

} // namespace

auto DecodeListing(std::string_view aText)
  -> leaf::result<std::vector<ListedVm>>
{
  ListReader reader(aText);
  if (!reader.Open()) {
    return leaf::new_error(PlatformError::BadAnswer);
  }
  std::vector<ListedVm> listing;
  while (const auto entry = reader.Next()) {
    if (auto vm = DecodeVm(*entry)) {
      listing.push_back(std::move(*vm));
    }
  }
  if (!reader.IsClosed()) {
    return leaf::new_error(PlatformError::BadAnswer); // it was cut
  }
  return listing;
}

} // namespace damaskwalk
