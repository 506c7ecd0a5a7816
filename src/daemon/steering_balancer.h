#ifndef FIGHATCH_DAEMON_STEERING_BALANCER_H_
#define FIGHATCH_DAEMON_STEERING_BALANCER_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/steering_balancer_settings.h"
#include "daemon/packet_codec.h"
#include "daemon/seed_reload.h"
#include "daemon/stop_signal.h"
#include "fighatch/admission_queue.h"
#include "fighatch/cookie_steering.h"
#include "fighatch/sync_client.h"
#include "io/http_server.h"
#include "io/plain_message_socket.h"
#include "io/udp_socket.h"
#include "observe/latency_histogram.h"
#include "observe/log_rate_limiter.h"
#include "observe/metrics.h"

namespace fighatch::daemon {

/// Counts of a balancer that steers by cookies.
struct SteeringCounters {
  std::uint64_t m_packets = 0;
  std::uint64_t m_forwarded = 0;
  std::uint64_t m_placed = 0;
  std::uint64_t m_resets = 0;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_malformed = 0;
  std::uint64_t m_waited = 0;
  std::uint64_t m_refused_waiting = 0;
};

/// Latencies of a balancer that steers by cookies.
struct SteeringLatencies {
  /// Decisions on the packets that were read together, until they are sent.
  observe::LatencyHistogram m_batch;
  /// From placing a flow to the packet that shows that its target took it.
  observe::LatencyHistogram m_open;
  /// From placing a flow to the client's last packet.
  observe::LatencyHistogram m_flow;
  /// Opening packets that waited, until they were placed or refused.
  observe::LatencyHistogram m_wait;
};

/// The daemon around a `CookieSteering`: takes packets, follows the control hosts, and tells the other balancers of its
/// load. All of it runs in fibers of the thread that calls `Run`.
class SteeringBalancer {
 public:
  /// `codec` must outlive the balancer.
  SteeringBalancer(config::SteeringBalancerSettings settings, std::string settings_path, const PacketCodec* codec);

  /// Opens the sockets. Errors: `kIoSocket`.
  [[nodiscard]] Status Open(io::HttpHandler readiness);

  /// Serves until a signal asks for a stop; then leaves the rotation and ends when no packets arrive any more.
  void Run(StopSignal* stop);

  /// True while this balancer should get packets: it knows the routes, targets answer, and it is not about to stop.
  [[nodiscard]] bool IsReady() const;

 private:
  void ServePackets();
  void HandleBatch(std::span<const io::IncomingDatagram> batch);
  void HandlePacket(TimePoint now, const io::IncomingDatagram& datagram);
  void Act(const CookiePacket& packet, std::span<std::byte> bytes, const SteeringDecision& decision);
  void Wait(TimePoint now, const CookiePacket& packet, std::span<const std::byte> bytes,
            const SteeringDecision& decision);
  void ServeWaiting();
  void ReleaseWaiting(TimePoint now);
  void RefuseBeyondLimit(TimePoint now);
  void NoteStranding(TimePoint now);
  void LogDecision(const CookiePacket& packet, const SteeringDecision& decision);
  void ServeMessages();
  void HandleReply(TimePoint now, const SyncReply& reply);
  void FollowControl();
  void ReportLoad();
  [[nodiscard]] std::vector<HostId> ReportReceivers() const;
  void AwaitStop(StopSignal* stop);
  void Drain();
  void LogContact(TimePoint now);
  void AddMetrics();
  void SendTo(HostId host, std::uint16_t port, MessageType type, std::span<const std::byte> payload);

  config::SteeringBalancerSettings m_settings;
  const PacketCodec* m_codec;
  CookieSteering m_steering;
  SyncClient m_sync;
  SeedReload<config::SteeringBalancerSettings> m_seeds;
  std::optional<io::UdpSocket> m_packets;
  std::optional<io::PlainMessageSocket> m_messages;
  std::unique_ptr<io::HttpServer> m_readiness;
  std::unique_ptr<io::HttpServer> m_metrics_server;
  observe::Metrics m_metrics;
  observe::LogRateLimiter m_lines;
  SteeringCounters m_counters;
  SteeringLatencies m_latencies;
  std::vector<io::OutgoingDatagram> m_outgoing;
  std::vector<std::vector<std::byte>> m_resets;
  std::chrono::steady_clock::time_point m_last_packet;
  AdmissionQueue m_waiting;
  // Set while no target answers; then other balancers should get the packets.
  bool m_stranded = false;
  TimePoint m_stranded_since;
  bool m_reported_load = false;
  bool m_was_current = false;
  bool m_was_ready = false;
  bool m_stopping = false;
  bool m_done = false;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_STEERING_BALANCER_H_
