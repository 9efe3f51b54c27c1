#pragma once

// Reads a request's id or an answer's status from the first bytes of a packet's
// payload. Used for logs and load, never to route a packet.

#include <cstdint>
#include <optional>
#include <string_view>

namespace damaskwalk {

struct AnswerSummary
{
  int status = 0; // 0: the payload is not the start of an answer
  bool notRun = false;
};

class ContentReader
{
public:
  virtual ~ContentReader() = default;
  // Empty if the payload contains none.
  virtual auto RequestId(std::string_view aPayload) const
    -> std::string_view = 0;
  // Length of the whole request, if the payload starts with its head: 0 if the
  // head does not tell. Nothing if the payload does not start with a head.
  virtual auto RequestBytes(std::string_view aPayload) const
    -> std::optional<std::uint32_t> = 0;
  virtual auto Answer(std::string_view aPayload) const -> AnswerSummary = 0;
};

} // namespace damaskwalk
