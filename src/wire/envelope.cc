#include "fighatch/envelope.h"

namespace fighatch {
namespace {

constexpr std::byte kMagicFirst{'F'};
constexpr std::byte kMagicSecond{'H'};

class BigEndianWriter {
 public:
  explicit BigEndianWriter(std::byte* out) noexcept : m_out(out) {}

  template <typename T>
  void Write(T value) noexcept {
    for (std::size_t shift = sizeof(T) * 8; shift > 0; shift -= 8)
      *m_out++ = static_cast<std::byte>(static_cast<std::uint64_t>(value) >> (shift - 8));
  }

 private:
  std::byte* m_out;
};

class BigEndianReader {
 public:
  explicit BigEndianReader(const std::byte* in) noexcept : m_in(in) {}

  template <typename T>
  T Read() noexcept {
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < sizeof(T); ++index)
      value = value << 8U | std::to_integer<std::uint64_t>(*m_in++);
    return static_cast<T>(value);
  }

 private:
  const std::byte* m_in;
};

// Reads the header fields behind magic and version.
EnvelopeHeader ReadFields(const std::byte* bytes) noexcept {
  BigEndianReader reader(bytes);
  EnvelopeHeader header;
  header.m_type = static_cast<MessageType>(reader.Read<std::uint8_t>());
  header.m_key_id = reader.Read<std::uint32_t>();
  header.m_sender.m_value = reader.Read<std::uint32_t>();
  header.m_receiver.m_value = reader.Read<std::uint32_t>();
  header.m_incarnation.m_value = reader.Read<std::uint64_t>();
  header.m_sequence = reader.Read<std::uint64_t>();
  header.m_sender_token = reader.Read<std::uint64_t>();
  header.m_receiver_token = reader.Read<std::uint64_t>();
  header.m_payload_bytes = reader.Read<std::uint16_t>();
  return header;
}

}  // namespace

std::array<std::byte, kEnvelopeHeaderBytes> EncodeEnvelopeHeader(const EnvelopeHeader& header) noexcept {
  std::array<std::byte, kEnvelopeHeaderBytes> bytes;
  BigEndianWriter writer(bytes.data());
  writer.Write(std::to_integer<std::uint8_t>(kMagicFirst));
  writer.Write(std::to_integer<std::uint8_t>(kMagicSecond));
  writer.Write(kEnvelopeVersion);
  writer.Write(static_cast<std::uint8_t>(header.m_type));
  writer.Write(header.m_key_id);
  writer.Write(header.m_sender.m_value);
  writer.Write(header.m_receiver.m_value);
  writer.Write(header.m_incarnation.m_value);
  writer.Write(header.m_sequence);
  writer.Write(header.m_sender_token);
  writer.Write(header.m_receiver_token);
  writer.Write(header.m_payload_bytes);
  return bytes;
}

Result<EnvelopeHeader> DecodeEnvelopeHeader(std::span<const std::byte> message, std::size_t limit_bytes) {
  if (message.size() > limit_bytes) return MakeError(ErrorCode::kMessageOversized, std::to_string(message.size()));
  if (message.size() < kEnvelopeOverheadBytes) return MakeError(ErrorCode::kMessageTruncated, "header");
  if (message[0] != kMagicFirst || message[1] != kMagicSecond) return MakeError(ErrorCode::kMessageMalformed, "magic");
  const auto version = std::to_integer<std::uint8_t>(message[2]);
  if (version != kEnvelopeVersion) return MakeError(ErrorCode::kMessageUnknownVersion, std::to_string(version));
  const auto type = std::to_integer<std::uint8_t>(message[3]);
  if (!IsKnownMessageType(type)) return MakeError(ErrorCode::kMessageUnknownType, std::to_string(type));
  const EnvelopeHeader header = ReadFields(message.data() + 3);
  const std::size_t expected = kEnvelopeOverheadBytes + header.m_payload_bytes;
  if (message.size() < expected) return MakeError(ErrorCode::kMessageTruncated, "payload");
  if (message.size() > expected) return MakeError(ErrorCode::kMessageMalformed, "bytes after the message");
  return header;
}

}  // namespace fighatch
