#pragma once

// cereal archives over memory buffers. Every text and list has a limit, and a
// decoded length is checked against it before it is used.

#include "core/config.h"
#include "core/types.h"

#include <cereal/archives/portable_binary.hpp>

#include <sstream>
#include <streambuf>
#include <string>
#include <vector>

namespace damaskwalk {

// Reads from memory that must outlive the buffer.
class MemoryBuffer final : public std::streambuf
{
public:
  MemoryBuffer(const char* aData, std::size_t aSize)
  {
    auto* begin = const_cast<char*>(aData);
    setg(begin, begin, begin + aSize);
  }
  auto Remaining() const -> std::size_t
  {
    return static_cast<std::size_t>(egptr() - gptr());
  }
};

// Appends to a string.
class StringBuffer final : public std::streambuf
{
public:
  explicit StringBuffer(std::string& aText)
    : text_(aText)
  {
  }

protected:
  auto xsputn(const char* aData, std::streamsize aSize)
    -> std::streamsize override
  {
    text_.append(aData, static_cast<std::size_t>(aSize));
    return aSize;
  }
  auto overflow(int aByte) -> int override
  {
    text_.push_back(static_cast<char>(aByte));
    return aByte;
  }

private:
  std::string& text_;
};

using OutArchive = cereal::PortableBinaryOutputArchive;
using InArchive = cereal::PortableBinaryInputArchive;

// A text of at most Limit bytes. Saving drops the bytes after them; loading
// throws when the stated length exceeds them.
template<std::size_t Limit>
struct BoundedText
{
  std::string& value;
};

template<std::size_t Limit>
auto Bounded(std::string& aText) -> BoundedText<Limit>
{
  return { aText };
}

template<std::size_t Limit>
auto save(OutArchive& aArchive, const BoundedText<Limit>& aText) -> void
{
  const auto size =
    static_cast<std::uint32_t>(std::min(aText.value.size(), Limit));
  aArchive(size);
  aArchive(cereal::binary_data(aText.value.data(), size));
}

template<std::size_t Limit>
auto load(InArchive& aArchive, BoundedText<Limit>& aText) -> void
{
  std::uint32_t size = 0;
  aArchive(size);
  if (size > Limit) {
    throw cereal::Exception("text length exceeds its limit");
  }
  // Grows as bytes are read, so that a false length does not allocate memory
  // for bytes that the input does not hold.
  aText.value.clear();
  while (aText.value.size() < size) {
    const auto step = std::min<std::size_t>(size - aText.value.size(), 4096);
    const auto offset = aText.value.size();
    aText.value.resize(offset + step);
    aArchive(cereal::binary_data(aText.value.data() + offset, step));
  }
}

// A list of at most Limit entries. Saving drops the entries after them;
// loading throws when the stated length exceeds them.
template<class Entry, std::size_t Limit>
struct BoundedList
{
  std::vector<Entry>& value;
};

template<std::size_t Limit, class Entry>
auto Bounded(std::vector<Entry>& aList) -> BoundedList<Entry, Limit>
{
  return { aList };
}

template<class Entry, std::size_t Limit>
auto save(OutArchive& aArchive, const BoundedList<Entry, Limit>& aList) -> void
{
  const auto size =
    static_cast<std::uint32_t>(std::min(aList.value.size(), Limit));
  aArchive(size);
  for (std::uint32_t i = 0; i < size; ++i) {
    aArchive(aList.value[i]);
  }
}

template<class Entry, std::size_t Limit>
auto load(InArchive& aArchive, BoundedList<Entry, Limit>& aList) -> void
{
  std::uint32_t size = 0;
  aArchive(size);
  if (size > Limit) {
    throw cereal::Exception("list length exceeds its limit");
  }
  aList.value.clear();
  for (std::uint32_t i = 0; i < size; ++i) {
    aList.value.emplace_back();
    aArchive(aList.value.back());
  }
}

template<class Archive>
auto serialize(Archive& aArchive, Endpoint& aValue) -> void
{
  aArchive(aValue.ip, aValue.port);
}

template<class Archive>
auto serialize(Archive& aArchive, FlowKey& aValue) -> void
{
  aArchive(aValue.caller, aValue.address);
}

template<class Archive>
auto serialize(Archive& aArchive, ServiceId& aValue) -> void
{
  aArchive(aValue.value);
}

template<class Archive>
auto serialize(Archive& aArchive, AttemptId& aValue) -> void
{
  aArchive(aValue.high, aValue.low);
}

} // namespace damaskwalk
