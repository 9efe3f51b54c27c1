#include "runtime/settings_error.h"

#include "core/event.h"

namespace damaskwalk {

auto ToText(const SettingsError& aError) -> std::string
{
  return "event=settings_refused file=\"" + aError.file + "\" section=\"" +
         aError.section + "\" key=\"" + aError.key + "\" problem=\"" +
         aError.problem + "\"";
}

} // namespace damaskwalk
