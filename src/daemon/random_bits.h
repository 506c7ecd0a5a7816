#ifndef FIGHATCH_DAEMON_RANDOM_BITS_H_
#define FIGHATCH_DAEMON_RANDOM_BITS_H_

#include <sodium.h>

#include <cstdint>

namespace fighatch::daemon {

/// Returns 64 cryptographically random bits, for seeds of random number generators and incarnation numbers.
[[nodiscard]] inline std::uint64_t RandomBits() {
  std::uint64_t bits = 0;
  randombytes_buf(&bits, sizeof(bits));
  return bits;
}

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_RANDOM_BITS_H_
