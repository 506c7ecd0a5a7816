#ifndef FIGHATCH_BALANCER_PACKET_RECEIVER_H_
#define FIGHATCH_BALANCER_PACKET_RECEIVER_H_

#include <cstddef>
#include <utility>
#include <vector>

#include "balancer/data_plane.h"
#include "fighatch/gue.h"

namespace fighatch::daemon {

/// The most datagrams that one receive call returns.
inline constexpr std::size_t kReceiveBatch = 64;
/// Buffer size for a GUE datagram, enough for a request of 16 KiB with its headers.
inline constexpr std::size_t kMaxGueDatagramBytes = 17 * 1024;

/// The receive loop of one thread of the data plane, with its socket and the buffers that it reuses for each batch.
class DataPlane::Receiver {
 public:
  Receiver(DataPlane* plane, io::UdpSocket socket) : m_plane(plane), m_socket(std::move(socket)) {}

  /// Receives and forwards batches until the data plane stops.
  void Run();

  /// Encapsulates an inner packet and sends it to the fabric. Thread-safe.
  void SendToFabric(std::span<const std::byte> inner);

 private:
  struct ParsedPacket {
    Packet m_packet;
    GueHeader m_header;
    /// The inner packet within the receive buffer.
    std::span<std::byte> m_inner_bytes;
    InnerPacket m_inner_packet;
    std::uint32_t m_shard = 0;
    Decision m_decision;
  };

  /// Parses the datagrams into `m_packets`, and counts those that it drops.
  void Parse(std::span<const io::IncomingDatagram> datagrams, const BalancerEndpoints& balancers);
  [[nodiscard]] ErrorCode ParseOne(const io::IncomingDatagram& datagram, const BalancerEndpoints& balancers);
  /// Decides on all packets of the batch, and locks each shard once at most.
  void Decide();
  void ApplyDecision(const ParsedPacket& parsed, const BalancerEndpoints& balancers);
  /// Passes a request datagram to the sink, or forwards it to a fallback balancer.
  void DeliverRequest(const ParsedPacket& parsed, const BalancerEndpoints& balancers);
  void Forward(const ParsedPacket& parsed, const GueHeader& header, const Endpoint& destination);

  DataPlane* m_plane;
  io::UdpSocket m_socket;
  std::vector<ParsedPacket> m_packets;
  std::vector<io::OutgoingDatagram> m_outgoing;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_BALANCER_PACKET_RECEIVER_H_
