#pragma once

// Decodes the platform's list of VMs.

#include "core/membership.h"

#include <boost/leaf/result.hpp>

#include <string_view>
#include <vector>

namespace damaskwalk {

// Entries that name no VM of a known role are skipped; the others hold.
// Errors: PlatformError::BadAnswer if the text is no list.
auto DecodeListing(std::string_view aText)
  -> boost::leaf::result<std::vector<ListedVm>>;

} // namespace damaskwalk
