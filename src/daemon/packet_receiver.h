#ifndef FIGHATCH_DAEMON_PACKET_RECEIVER_H_
#define FIGHATCH_DAEMON_PACKET_RECEIVER_H_

#include <cstddef>
#include <utility>
#include <vector>

#include "daemon/data_plane.h"
#include "fighatch/gue.h"

namespace fighatch::daemon {

/// Datagrams taken by one receive call.
inline constexpr std::size_t kReceiveBatch = 64;
/// Room for a GUE datagram: a request of 16 KiB with its headers.
inline constexpr std::size_t kMaxGueDatagramBytes = 17 * 1024;

/// The receive loop of one thread, with the socket and the buffers that it reuses from batch to batch.
class DataPlane::Receiver {
 public:
  Receiver(DataPlane* plane, io::UdpSocket socket) : m_plane(plane), m_socket(std::move(socket)) {}

  /// Serves batches until the data plane stops.
  void Run();

  /// Wraps an inner packet and sends it to the fabric. Safe from other threads.
  void SendToFabric(std::span<const std::byte> inner);

 private:
  struct ParsedPacket {
    Packet m_packet;
    GueHeader m_header;
    std::span<std::byte> m_inner_bytes;
    InnerPacket m_inner_packet;
    std::uint32_t m_shard = 0;
    Decision m_decision;
  };

  void Parse(std::span<const io::IncomingDatagram> datagrams, const BalancerEndpoints& balancers);
  [[nodiscard]] ErrorCode ParseOne(const io::IncomingDatagram& datagram, const BalancerEndpoints& balancers);
  void Decide();
  void ApplyDecision(const ParsedPacket& parsed, const BalancerEndpoints& balancers);
  void DeliverRequest(const ParsedPacket& parsed, const BalancerEndpoints& balancers);
  void Forward(const ParsedPacket& parsed, const GueHeader& header, const Endpoint& destination);

  DataPlane* m_plane;
  io::UdpSocket m_socket;
  std::vector<ParsedPacket> m_packets;
  std::vector<io::OutgoingDatagram> m_outgoing;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_PACKET_RECEIVER_H_
