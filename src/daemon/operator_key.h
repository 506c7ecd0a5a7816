#ifndef FIGHATCH_DAEMON_OPERATOR_KEY_H_
#define FIGHATCH_DAEMON_OPERATOR_KEY_H_

#include <array>
#include <string>
#include <string_view>

#include "fighatch/result.h"

namespace fighatch::daemon {

/// The HTTP header that carries the operator's signature of a ticket.
inline constexpr std::string_view kTicketSignatureHeader = "Fighatch-Signature";

/// The 256-bit key with which operators sign tickets and control hosts verify them (HMAC-SHA-512/256).
class OperatorKey {
 public:
  /// Reads a file that holds 64 hexadecimal digits; trailing line ends and blanks are ignored. Errors:
  /// `kKeyUnreadable`.
  [[nodiscard]] static Result<OperatorKey> Load(const std::string& path);

  /// Returns the signature of a ticket's JSON text in hexadecimal digits.
  [[nodiscard]] std::string Sign(std::string_view text) const;

  /// True if the signature was made with this key over this text. The comparison takes constant time, so that its
  /// duration does not reveal how much of a wrong signature was right.
  [[nodiscard]] bool Verify(std::string_view text, std::string_view signature) const;

 private:
  OperatorKey() = default;

  std::array<unsigned char, 32> m_key{};
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_OPERATOR_KEY_H_
