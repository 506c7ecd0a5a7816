#ifndef FIGHATCH_ENVELOPE_H_
#define FIGHATCH_ENVELOPE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/messages.h"
#include "fighatch/result.h"

namespace fighatch {

/// Version of the envelope format; messages of any other version are refused.
inline constexpr std::uint8_t kEnvelopeVersion = 1;
/// Size of the header: magic, version, type, key id, sender, receiver, incarnation, sequence, two tokens and the
/// payload length.
inline constexpr std::size_t kEnvelopeHeaderBytes = 50;
/// Size of the authentication tag behind the payload.
inline constexpr std::size_t kEnvelopeTagBytes = 16;
inline constexpr std::size_t kEnvelopeOverheadBytes = kEnvelopeHeaderBytes + kEnvelopeTagBytes;
/// Largest payload of a message over UDP.
inline constexpr std::size_t kMaxUdpPayloadBytes = kMaxUdpMessageBytes - kEnvelopeOverheadBytes;
/// Largest payload of a message over TCP.
inline constexpr std::size_t kMaxTcpPayloadBytes = kMaxTcpMessageBytes - kEnvelopeOverheadBytes;

/// The header of a sealed message: authenticated but not encrypted, in network byte order on the wire.
struct EnvelopeHeader {
  MessageType m_type = MessageType::kProbe;
  std::uint32_t m_key_id = 0;
  HostId m_sender;
  HostId m_receiver;
  /// Identifies the start of the sender's process; a later start has a higher incarnation.
  Incarnation m_incarnation;
  /// Increases by one with each message that the sender seals in this incarnation.
  std::uint64_t m_sequence = 0;
  /// The session token that messages to the sender must carry; see `SecureChannel`.
  std::uint64_t m_sender_token = 0;
  /// The receiver's session token as the sender knows it; 0 if it knows none.
  std::uint64_t m_receiver_token = 0;
  std::uint16_t m_payload_bytes = 0;

  friend bool operator==(const EnvelopeHeader&, const EnvelopeHeader&) = default;
};

/// A decrypted message whose authentication tag was valid.
struct Envelope {
  EnvelopeHeader m_header;
  std::vector<std::byte> m_payload;
};

/// Encodes the header in its wire format.
[[nodiscard]] std::array<std::byte, kEnvelopeHeaderBytes> EncodeEnvelopeHeader(const EnvelopeHeader& header) noexcept;

/// Decodes the header and checks the size of the message against it; the tag is not checked. Errors:
/// `kMessageTruncated`, `kMessageOversized`, `kMessageUnknownVersion`, `kMessageUnknownType`, `kMessageMalformed`
/// (wrong magic, bytes after the message).
[[nodiscard]] Result<EnvelopeHeader> DecodeEnvelopeHeader(std::span<const std::byte> message, std::size_t limit_bytes);

}  // namespace fighatch

#endif  // FIGHATCH_ENVELOPE_H_
