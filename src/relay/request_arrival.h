#pragma once

// How much of a request has reached the backend server.
//
// Answers uploads, whose requests take many packets. A server starts to work on
// the last byte, so a slow or lossy sender must not be measured as a slow
// server, and packets that arrive out of order do not make a request whole.

#include <cstdint>
#include <optional>
#include <vector>

namespace damaskwalk {

// One request at a time. Single threaded.
class RequestArrival
{
public:
  // A request begins; nothing of it has arrived.
  auto Begin() -> void;
  // @param aRequestBytes length of the whole request, if this data starts with
  // its head; 0 if the head does not tell.
  auto OnData(std::uint32_t aSequence,
              std::uint32_t aBytes,
              std::optional<std::uint32_t> aRequestBytes) -> void;
  // True if every byte arrived, or if the head does not tell how many there
  // are. False until the head has arrived.
  auto IsWhole() const -> bool;

private:
  // Sequence numbers of bytes that arrived: from first up to, without, end.
  struct Range
  {
    std::uint32_t first = 0;
    std::uint32_t end = 0;
  };

  auto Insert(Range aRange) -> void;

  std::optional<Range> request_; // nothing until the head has arrived
  std::vector<Range> arrived_;   // with gaps between them, in any order
};

} // namespace damaskwalk
