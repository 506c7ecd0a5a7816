#ifndef FIGHATCH_WIRE_CODEC_H_
#define FIGHATCH_WIRE_CODEC_H_

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstddef>
#include <exception>
#include <ostream>
#include <span>
#include <streambuf>
#include <utility>
#include <vector>

#include "fighatch/result.h"
#include "wire/bounded_input_archive.h"

namespace fighatch::wire {

/// A stream buffer that appends everything written to it to a vector of bytes.
class ByteSink : public std::streambuf {
 public:
  explicit ByteSink(std::vector<std::byte>* out) : m_out(out) {}

 protected:
  std::streamsize xsputn(const char* text, std::streamsize count) override {  // NOLINT: name fixed by the base class.
    const auto* bytes = reinterpret_cast<const std::byte*>(text);
    m_out->insert(m_out->end(), bytes, bytes + count);
    return count;
  }
  int_type overflow(int_type character) override {  // NOLINT: name fixed by the base class.
    m_out->push_back(static_cast<std::byte>(character));
    return character;
  }

 private:
  std::vector<std::byte>* m_out;
};

/// Encodes a value in cereal's portable binary format, little-endian.
template <typename T>
[[nodiscard]] std::vector<std::byte> Encode(const T& value) {
  std::vector<std::byte> bytes;
  ByteSink sink(&bytes);
  std::ostream stream(&sink);
  {
    cereal::PortableBinaryOutputArchive archive(stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    archive(value);
  }
  return bytes;
}

/// Decodes a value that `Encode` wrote. Errors: `kMessageMalformed`, also for bytes behind the value.
template <typename T>
[[nodiscard]] Result<T> Decode(std::span<const std::byte> bytes) {
  try {
    BoundedInputArchive archive(bytes);
    T value;
    archive(value);
    if (!archive.IsAtEnd()) return MakeError(ErrorCode::kMessageMalformed, "bytes after the value");
    return value;
  } catch (const std::exception& error) {
    return MakeError(ErrorCode::kMessageMalformed, error.what());
  }
}

}  // namespace fighatch::wire

#endif  // FIGHATCH_WIRE_CODEC_H_
