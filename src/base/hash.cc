#include "fighatch/hash.h"

#include <xxhash.h>

namespace fighatch {

std::uint64_t HashBytes(std::span<const std::byte> bytes, std::uint64_t seed) noexcept {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t HashText(std::string_view text, std::uint64_t seed) noexcept {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace fighatch
