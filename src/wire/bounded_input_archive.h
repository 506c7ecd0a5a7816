#ifndef FIGHATCH_WIRE_BOUNDED_INPUT_ARCHIVE_H_
#define FIGHATCH_WIRE_BOUNDED_INPUT_ARCHIVE_H_

#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>
#include <cstddef>
#include <cstring>
#include <span>
#include <type_traits>

namespace fighatch::wire {

static_assert(std::endian::native == std::endian::little, "values are copied in little-endian order");

/// Reads cereal's portable binary format (little-endian) from a span of bytes. Unlike cereal's own archive it refuses a
/// container size above the number of remaining bytes, so that a forged length cannot make the decoder allocate memory.
/// Throws `cereal::Exception` for malformed input.
class BoundedInputArchive : public cereal::InputArchive<BoundedInputArchive, cereal::AllowEmptyClassElision> {
 public:
  explicit BoundedInputArchive(std::span<const std::byte> bytes) : InputArchive(this), m_bytes(bytes) {
    std::uint8_t little_endian = 0;
    Read(&little_endian, sizeof(little_endian));
    if (little_endian != 1) throw cereal::Exception("byte order is not little-endian");
  }

  [[nodiscard]] bool IsAtEnd() const noexcept { return m_bytes.empty(); }

  void Read(void* out, std::size_t size) {
    if (size > m_bytes.size()) throw cereal::Exception("value ends early");
    if (size > 0) std::memcpy(out, m_bytes.data(), size);
    m_bytes = m_bytes.subspan(size);
  }

  /// Throws if a container has more elements than bytes remain, on the assumption that each takes at least one byte.
  void CheckContainerSize(cereal::size_type size) const {
    if (size > m_bytes.size()) throw cereal::Exception("container size exceeds the message");
  }

 private:
  std::span<const std::byte> m_bytes;
};

// cereal looks the functions below up by these names.
// NOLINTBEGIN(readability-identifier-naming)
template <typename T>
requires std::is_arithmetic_v<T>
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, T& value) {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t byte = 0;
    archive.Read(&byte, sizeof(byte));
    if (byte > 1) throw cereal::Exception("boolean");
    value = byte == 1;
  } else {
    archive.Read(&value, sizeof(value));
  }
}

template <typename T>
inline void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& archive, cereal::NameValuePair<T>& pair) {
  archive(pair.value);
}

template <typename T>
inline void CEREAL_SERIALIZE_FUNCTION_NAME(BoundedInputArchive& archive, cereal::SizeTag<T>& tag) {
  archive(tag.size);
  archive.CheckContainerSize(tag.size);
}

template <typename T>
inline void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive& archive, cereal::BinaryData<T>& data) {
  archive.Read(data.data, static_cast<std::size_t>(data.size));
}
// NOLINTEND(readability-identifier-naming)

}  // namespace fighatch::wire

// Tells cereal which output archive writes the format that this one reads. The reverse mapping, from output to input
// archive, stays with cereal's own input archive.
template <>
struct cereal::traits::detail::get_output_from_input<fighatch::wire::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;  // NOLINT(readability-identifier-naming)
};

#endif  // FIGHATCH_WIRE_BOUNDED_INPUT_ARCHIVE_H_
