#ifndef FIGHATCH_HASH_H_
#define FIGHATCH_HASH_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace fighatch {

/// The 64-bit XXH3 hash of the bytes; the same on every host.
[[nodiscard]] std::uint64_t HashBytes(std::span<const std::byte> bytes, std::uint64_t seed = 0) noexcept;

/// \copydoc HashBytes
[[nodiscard]] std::uint64_t HashText(std::string_view text, std::uint64_t seed = 0) noexcept;

/// Combines two 64-bit numbers into one well-mixed hash, for rendezvous hashing and digests. The order of the arguments
/// matters.
[[nodiscard]] constexpr std::uint64_t MixHash(std::uint64_t left, std::uint64_t right) noexcept {
  std::uint64_t mixed = left ^ (right + 0x9E3779B97F4A7C15ULL + (left << 6U) + (left >> 2U));
  mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
  return mixed ^ (mixed >> 31U);
}

}  // namespace fighatch

#endif  // FIGHATCH_HASH_H_
