#ifndef FIGHATCH_PROGRAMS_TARGET_FLOW_SERVER_H_
#define FIGHATCH_PROGRAMS_TARGET_FLOW_SERVER_H_

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "fighatch/inner_packet.h"
#include "io/udp_socket.h"
#include "target_settings.h"

namespace fighatch::target {

/// Counters of packets and connections, served by `GET /v1/stats`.
struct FlowCounters {
  std::uint64_t m_packets = 0;
  std::uint64_t m_opened = 0;
  std::uint64_t m_closed = 0;
  std::uint64_t m_resets = 0;
  /// Packets for an address that is not one of the service.
  std::uint64_t m_misdelivered = 0;
  std::uint64_t m_malformed = 0;
};

/// Simulates the kernel and the server program of a target in flow mode: decapsulates GUE, accepts TCP connections,
/// answers each data segment and UDP datagram with its own name, and resets segments of unknown connections. Replies
/// bypass the balancers: they go to the fabric.
class FlowServer {
 public:
  /// Binds the GUE socket. Errors: `kIoSocket`.
  [[nodiscard]] static Result<FlowServer> Create(const TargetSettings& settings);

  /// Receives and answers one batch of packets; returns at the deadline if none arrives.
  void ServeBatch(io::Deadline deadline);

  [[nodiscard]] const FlowCounters& Counters() const noexcept { return m_counters; }
  [[nodiscard]] std::size_t OpenConnections() const noexcept { return m_connections.size(); }
  /// Time of the last packet that parsed.
  [[nodiscard]] std::chrono::steady_clock::time_point LastPacket() const noexcept { return m_last_packet; }

 private:
  FlowServer(const TargetSettings& settings, io::UdpSocket socket);

  void Serve(std::span<const std::byte> datagram);
  void ServeTcp(const InnerPacket& packet);
  void ServeUdp(const InnerPacket& packet);
  void SendTcpReply(const InnerPacket& packet, const TcpFields& fields, std::string_view payload);
  void SendToFabric(const std::vector<std::byte>& inner);
  [[nodiscard]] bool IsOwnAddress(const Endpoint& destination) const;

  TargetSettings m_settings;
  io::UdpSocket m_socket;
  /// Service and GUE endpoint; sent in replies so that the load generator can identify the target.
  std::string m_name;
  /// Next sequence number that this side sends, by flow hash.
  std::unordered_map<std::uint64_t, std::uint32_t> m_connections;
  FlowCounters m_counters;
  std::chrono::steady_clock::time_point m_last_packet;
};

}  // namespace fighatch::target

#endif  // FIGHATCH_PROGRAMS_TARGET_FLOW_SERVER_H_
