#ifndef FIGHATCH_COMPACT_ARCHIVE_H_
#define FIGHATCH_COMPACT_ARCHIVE_H_

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace fighatch {

/// Serialises an integer as an unsigned variable-length integer (LEB128: 7 bits per byte, least significant first), so
/// that values below 128 take one byte. When it decodes, it throws `std::length_error` if the value does not fit in
/// `T`.
template <typename Archive, typename T>
void SerializeVarint(Archive& archive, T& value) {
  std::uint8_t byte = 0;
  if constexpr (Archive::is_saving::value) {
    auto remaining = static_cast<std::uint64_t>(value);
    for (; remaining >= 0x80U; remaining >>= 7U) {
      byte = static_cast<std::uint8_t>(remaining | 0x80U);
      archive(byte);
    }
    byte = static_cast<std::uint8_t>(remaining);
    archive(byte);
  } else {
    std::uint64_t result = 0;
    for (unsigned shift = 0;; shift += 7U) {
      archive(byte);
      const std::uint64_t group = byte & 0x7FU;
      if (shift > 63U || (shift == 63U && group > 1U)) throw std::length_error("number is too long");
      result |= group << shift;
      if (byte < 0x80U) break;
    }
    value = static_cast<T>(result);
    if (static_cast<std::uint64_t>(value) != result) throw std::length_error("number is out of range");
  }
}

/// Serialises a list as its size (a variable-length integer) followed by its items, each by `serialize_item`. Throws
/// `std::length_error` if the list has more than `limit` items, before it reads or writes any item.
template <typename Archive, typename T, typename SerializeItem>
void SerializeList(Archive& archive, std::vector<T>& list, std::size_t limit, SerializeItem&& serialize_item) {
  std::size_t size = list.size();
  SerializeVarint(archive, size);
  if (size > limit) throw std::length_error("list is too long");
  if constexpr (Archive::is_saving::value) {
    for (T& item : list) serialize_item(archive, item);
  } else {
    list.clear();
    for (std::size_t index = 0; index < size; ++index) serialize_item(archive, list.emplace_back());
  }
}

/// \copydoc SerializeList
template <typename Archive, typename T>
void SerializeList(Archive& archive, std::vector<T>& list, std::size_t limit) {
  SerializeList(archive, list, limit, [](Archive& items, T& item) { items(item); });
}

/// Serialises a text as its size (a variable-length integer) followed by its bytes. Throws `std::length_error` if it
/// has more than `limit` bytes, before it reads or writes any of them.
template <typename Archive>
void SerializeText(Archive& archive, std::string& text, std::size_t limit) {
  std::size_t size = text.size();
  SerializeVarint(archive, size);
  if (size > limit) throw std::length_error("text is too long");
  if constexpr (!Archive::is_saving::value) text.resize(size);
  for (char& character : text) archive(character);
}

}  // namespace fighatch

#endif  // FIGHATCH_COMPACT_ARCHIVE_H_
