#ifndef FIGHATCH_DAEMON_HTTP_AUTHENTICATOR_H_
#define FIGHATCH_DAEMON_HTTP_AUTHENTICATOR_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "fighatch/key_ring.h"

namespace fighatch::daemon {

/// The header that carries the signature of an HTTP message between balancers and control hosts.
inline constexpr std::string_view kHttpSignatureHeader = "Fighatch-Seal";

/// Derives a 256-bit key for one purpose from a cluster key, so that one key is never used with two algorithms.
[[nodiscard]] std::array<std::uint8_t, 32> DeriveKey(const KeyBytes& cluster_key, std::string_view purpose);

/// Signs and verifies HTTP messages between balancers and control hosts with HMAC-SHA-512/256 under a key derived from
/// a cluster key. A request is signed over its path, which holds a random nonce, and the response over path and body,
/// so that a recorded response cannot be replayed for another request.
class HttpAuthenticator {
 public:
  explicit HttpAuthenticator(KeyRing keys) : m_keys(std::move(keys)) {}

  /// Returns the header value: the active key's id, a colon and the signature in hexadecimal digits. Errors:
  /// `kMessageUnknownKey`.
  [[nodiscard]] Result<std::string> Sign(std::string_view text) const;

  /// Verifies that `header` is a valid header value for `text`. Errors: `kMessageMalformed`, `kMessageUnknownKey`,
  /// `kMessageForged`.
  [[nodiscard]] Status Verify(std::string_view text, std::string_view header) const;

  /// Returns the text that the signature of a response covers.
  [[nodiscard]] static std::string SignedResponseText(std::string_view path, std::string_view body);

 private:
  KeyRing m_keys;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_HTTP_AUTHENTICATOR_H_
