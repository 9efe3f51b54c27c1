#pragma once

// Reads what requests and answers say of themselves from the first bytes of a
// packet's payload. Used for logs and load, never for where a packet goes.

#include <string_view>

namespace damaskwalk {

struct AnswerSummary
{
  int status = 0; // 0: the payload does not start an answer
  bool notRun = false;
};

class ContentReader
{
public:
  virtual ~ContentReader() = default;
  // Empty when the payload has none.
  virtual auto RequestId(std::string_view aPayload) const
    -> std::string_view = 0;
  virtual auto Answer(std::string_view aPayload) const -> AnswerSummary = 0;
};

} // namespace damaskwalk
