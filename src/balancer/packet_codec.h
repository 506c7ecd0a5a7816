#ifndef FIGHATCH_BALANCER_PACKET_CODEC_H_
#define FIGHATCH_BALANCER_PACKET_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "fighatch/cookie_packet.h"
#include "fighatch/ids.h"
#include "fighatch/result.h"

namespace fighatch::daemon {

/// The packet format of a transport whose endpoints echo a cookie. It parses the packets of clients, encapsulates them
/// for targets and makes resets.
class PacketCodec {
 public:
  /// Bytes that `Encapsulate` needs in front of a packet.
  static constexpr std::size_t kHeadroomBytes = 64;

  virtual ~PacketCodec() = default;

  /// Parses a packet of a client. Errors: `kPacketTruncated`, `kPacketOversized`, and `kPacketLoop` for a packet that
  /// only a balancer sends.
  [[nodiscard]] virtual Result<CookiePacket> Parse(std::span<const std::byte> packet) const = 0;

  /// Writes the cookie into the packet and the target's id in front of it. `packet` has `kHeadroomBytes` writable bytes
  /// before its first one. Returns the datagram for the target.
  [[nodiscard]] virtual std::span<const std::byte> Encapsulate(std::span<std::byte> packet, TargetId target,
                                                               std::uint32_t cookie) const = 0;

  /// Makes the packet that resets a client's flow, in reply to one of its packets.
  [[nodiscard]] virtual std::vector<std::byte> MakeReset(std::span<const std::byte> packet) const = 0;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_BALANCER_PACKET_CODEC_H_
