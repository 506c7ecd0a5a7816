#ifndef FIGHATCH_SEALER_H_
#define FIGHATCH_SEALER_H_

#include <cstddef>
#include <span>
#include <vector>

#include "fighatch/envelope.h"
#include "fighatch/key_ring.h"
#include "fighatch/result.h"

namespace fighatch {

/// Seals (encrypts and authenticates) and opens single messages with XChaCha20-Poly1305 under the cluster keys. It
/// keeps no state about senders: `SecureChannel` adds sequence numbers and refuses replays.
///
/// The nonce is (sender, incarnation, sequence, low half of the sender's token). The random token keeps nonces
/// distinct even if a host without a disk reuses an incarnation after its clock went back.
class Sealer {
 public:
  explicit Sealer(KeyRing keys);

  /// Seals the payload with the active key, whose id is filled into the header with the payload length. Errors:
  /// `kMessageOversized`, `kMessageUnknownKey`.
  [[nodiscard]] Result<std::vector<std::byte>> Seal(EnvelopeHeader header, std::span<const std::byte> payload,
                                                    std::size_t limit_bytes) const;

  /// Verifies the tag and decrypts the message. No byte of the payload is interpreted before the tag was verified.
  /// Errors: those of `DecodeEnvelopeHeader`, `kMessageUnknownKey`, and `kMessageForged` for an invalid tag.
  [[nodiscard]] Result<Envelope> Open(std::span<const std::byte> message, std::size_t limit_bytes) const;

  /// Replaces the keys after a reload.
  void SetKeys(KeyRing keys) { m_keys = std::move(keys); }
  [[nodiscard]] const KeyRing& Keys() const noexcept { return m_keys; }

 private:
  KeyRing m_keys;
};

}  // namespace fighatch

#endif  // FIGHATCH_SEALER_H_
