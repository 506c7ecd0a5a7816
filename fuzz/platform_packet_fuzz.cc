#include <cstdint>
#include <span>
#include <vector>

#include "platform/packet_format.h"

// Parses arbitrary bytes as a packet. An accepted packet must yield a reset of one header, grow by the target id when
// it is encapsulated, and then parse again with the new cookie.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const fighatch::platform::PacketFormat format;
  std::vector<std::byte> buffer(fighatch::daemon::PacketCodec::kHeadroomBytes + size);
  const auto packet = std::span(buffer).subspan(fighatch::daemon::PacketCodec::kHeadroomBytes);
  for (std::size_t index = 0; index < size; ++index) packet[index] = static_cast<std::byte>(data[index]);
  const fighatch::Result<fighatch::CookiePacket> parsed = format.Parse(packet);
  if (!fighatch::IsOk(parsed)) return 0;
  if (format.MakeReset(packet).size() != fighatch::platform::PacketFormat::kHeaderBytes) __builtin_trap();
  if (format.Encapsulate(packet, fighatch::TargetId{1}, 2).size() != size + 8) __builtin_trap();
  const fighatch::Result<fighatch::CookiePacket> reparsed = format.Parse(packet);
  if (!fighatch::IsOk(reparsed) || fighatch::ValueOf(reparsed).m_cookie != 2) __builtin_trap();
  return 0;
}
