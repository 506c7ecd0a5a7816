#include "fighatch/sealer.h"

#include <sodium.h>

#include <algorithm>
#include <cstring>
#include <limits>

namespace fighatch {
namespace {

static_assert(kEnvelopeTagBytes == crypto_aead_xchacha20poly1305_ietf_ABYTES);
static_assert(kKeyBytes == crypto_aead_xchacha20poly1305_ietf_KEYBYTES);

using Nonce = std::array<unsigned char, crypto_aead_xchacha20poly1305_ietf_NPUBBYTES>;

Nonce NonceOf(const EnvelopeHeader& header) noexcept {
  Nonce nonce{};
  const auto token = static_cast<std::uint32_t>(header.m_sender_token);
  unsigned char* out = nonce.data();
  for (const auto field : {std::span<const std::byte>(std::as_bytes(std::span(&header.m_sender.m_value, 1))),
                           std::span<const std::byte>(std::as_bytes(std::span(&header.m_incarnation.m_value, 1))),
                           std::span<const std::byte>(std::as_bytes(std::span(&header.m_sequence, 1))),
                           std::span<const std::byte>(std::as_bytes(std::span(&token, 1)))}) {
    std::memcpy(out, field.data(), field.size());
    out += field.size();
  }
  return nonce;
}

const unsigned char* AsUnsignedChars(std::span<const std::byte> bytes) noexcept {
  return reinterpret_cast<const unsigned char*>(bytes.data());
}

unsigned char* AsUnsignedChars(std::span<std::byte> bytes) noexcept {
  return reinterpret_cast<unsigned char*>(bytes.data());
}

}  // namespace

Sealer::Sealer(KeyRing keys) : m_keys(std::move(keys)) {
  // Selects libsodium's fastest implementation for this processor; repeated calls do nothing. If that fails, the
  // key ring is emptied, so that messages are neither sealed nor opened.
  if (sodium_init() < 0) m_keys = KeyRing();
}

Result<std::vector<std::byte>> Sealer::Seal(EnvelopeHeader header, std::span<const std::byte> payload,
                                            std::size_t limit_bytes) const {
  const std::size_t size = kEnvelopeOverheadBytes + payload.size();
  if (size > limit_bytes || payload.size() > std::numeric_limits<std::uint16_t>::max())
    return MakeError(ErrorCode::kMessageOversized, std::to_string(size));
  Result<std::uint32_t> key_id = m_keys.ActiveId(KeyKind::kCluster);
  if (!IsOk(key_id)) return ErrorOf(key_id);
  header.m_key_id = ValueOf(key_id);
  header.m_payload_bytes = static_cast<std::uint16_t>(payload.size());
  const auto encoded_header = EncodeEnvelopeHeader(header);
  std::vector<std::byte> message(size);
  std::copy(encoded_header.begin(), encoded_header.end(), message.begin());
  const KeyBytes* key = m_keys.Find(KeyKind::kCluster, header.m_key_id);
  crypto_aead_xchacha20poly1305_ietf_encrypt(AsUnsignedChars(std::span(message).subspan(kEnvelopeHeaderBytes)), nullptr,
                                             AsUnsignedChars(payload), payload.size(), AsUnsignedChars(encoded_header),
                                             encoded_header.size(), nullptr, NonceOf(header).data(),
                                             AsUnsignedChars(*key));
  return message;
}

Result<Envelope> Sealer::Open(std::span<const std::byte> message, std::size_t limit_bytes) const {
  Result<EnvelopeHeader> header = DecodeEnvelopeHeader(message, limit_bytes);
  if (!IsOk(header)) return ErrorOf(header);
  const KeyBytes* key = m_keys.Find(KeyKind::kCluster, ValueOf(header).m_key_id);
  if (key == nullptr) return MakeError(ErrorCode::kMessageUnknownKey, std::to_string(ValueOf(header).m_key_id));
  Envelope envelope{ValueOf(header), std::vector<std::byte>(ValueOf(header).m_payload_bytes)};
  const auto ciphertext = message.subspan(kEnvelopeHeaderBytes);
  const int failed = crypto_aead_xchacha20poly1305_ietf_decrypt(
      AsUnsignedChars(std::span(envelope.m_payload)), nullptr, nullptr, AsUnsignedChars(ciphertext), ciphertext.size(),
      AsUnsignedChars(message), kEnvelopeHeaderBytes, NonceOf(envelope.m_header).data(), AsUnsignedChars(*key));
  if (failed != 0) return MakeError(ErrorCode::kMessageForged, "tag");
  return envelope;
}

}  // namespace fighatch
