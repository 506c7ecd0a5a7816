#ifndef FIGHATCH_SEALER_H_
#define FIGHATCH_SEALER_H_

#include <cstddef>
#include <span>
#include <vector>

#include "fighatch/envelope.h"
#include "fighatch/key_ring.h"
#include "fighatch/result.h"

namespace fighatch {

/// Seals and opens single messages with XChaCha20-Poly1305 under the cluster keys. It keeps no state about senders:
/// `SecureChannel` adds sequence numbers and refuses replays.
///
/// The nonce is (sender, incarnation, sequence, low half of the sender's token). The random token keeps nonces apart
/// even if a host without a disk repeats an incarnation after its clock went back.
class Sealer {
 public:
  explicit Sealer(KeyRing keys);

  /// Seals the payload; key id and payload length of the header are filled in. Errors: `kMessageOversized`,
  /// `kMessageUnknownKey`.
  [[nodiscard]] Result<std::vector<std::byte>> Seal(EnvelopeHeader header, std::span<const std::byte> payload,
                                                    std::size_t limit_bytes) const;

  /// Checks the tag and opens the message. Nothing of the payload is read before the tag was found right. Errors: those
  /// of `DecodeEnvelopeHeader`, `kMessageUnknownKey`, `kMessageForged`.
  [[nodiscard]] Result<Envelope> Open(std::span<const std::byte> message, std::size_t limit_bytes) const;

  /// Replaces the keys after a reload.
  void SetKeys(KeyRing keys) { m_keys = std::move(keys); }
  [[nodiscard]] const KeyRing& Keys() const noexcept { return m_keys; }

 private:
  KeyRing m_keys;
};

}  // namespace fighatch

#endif  // FIGHATCH_SEALER_H_
