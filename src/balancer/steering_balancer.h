#ifndef FIGHATCH_BALANCER_STEERING_BALANCER_H_
#define FIGHATCH_BALANCER_STEERING_BALANCER_H_

#include <array>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "balancer/packet_codec.h"
#include "config/steering_balancer_settings.h"
#include "daemon/seed_reload.h"
#include "daemon/stop_signal.h"
#include "fighatch/admission_queue.h"
#include "fighatch/bulk_admission.h"
#include "fighatch/cookie_steering.h"
#include "fighatch/egress_scheduler.h"
#include "fighatch/sync_client.h"
#include "io/http_server.h"
#include "io/plain_message_socket.h"
#include "io/udp_socket.h"
#include "observe/latency_histogram.h"
#include "observe/log_rate_limiter.h"
#include "observe/metrics.h"

namespace fighatch::daemon {

/// Counters of a `SteeringBalancer` since its start, for the metrics.
struct SteeringCounters {
  std::uint64_t m_packets = 0;
  std::uint64_t m_forwarded = 0;
  std::uint64_t m_placed = 0;
  std::uint64_t m_resets = 0;
  std::uint64_t m_dropped = 0;
  std::uint64_t m_malformed = 0;
  std::uint64_t m_waited = 0;
  std::uint64_t m_refused_waiting = 0;
  std::uint64_t m_summaries_sent = 0;
  std::uint64_t m_summaries_received = 0;
  std::uint64_t m_updates_refused = 0;
};

/// Latency histograms of a `SteeringBalancer`, for the metrics.
struct SteeringLatencies {
  /// From receiving a batch of packets until the packets that result from it are sent.
  observe::LatencyHistogram m_batch;
  /// From placing a flow to the first packet that shows that its target accepted it.
  observe::LatencyHistogram m_open;
  /// From placing a flow to the client's last packet.
  observe::LatencyHistogram m_flow;
  /// Held opening packets: from the client's first transmission until the packet was forwarded or refused.
  observe::LatencyHistogram m_wait;
  /// For placement by remaining work: the expected time to finish that decided.
  observe::LatencyHistogram m_expected;
};

/// Scheduling of a balancer's uplink, for hosts whose link has a limit.
struct SteeringEgress {
  explicit SteeringEgress(double link_mbps) : m_scheduler(link_mbps) {}

  EgressScheduler m_scheduler;
  BulkAdmission m_bulk_admission;
  /// Time that datagrams wait in the queue, indexed by `EgressClass`; those that are sent at once are not counted.
  std::array<observe::LatencyHistogram, 2> m_queueing;
  /// The pacing fiber sleeps on `m_queue_filled` while the queue is empty.
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_queue_filled;
  bool m_saturated = false;
  /// The datagrams of the latest pacing interval; kept, so that their memory is used again.
  std::vector<EgressDatagram> m_taken;
  std::vector<io::OutgoingDatagram> m_outgoing;
};

/// The daemon around a `CookieSteering`: receives client packets and forwards them to targets, follows the state that
/// control hosts publish, and reports its load to the other balancers. All of it runs in fibers of the thread that
/// calls `Run`.
class SteeringBalancer {
 public:
  /// `codec` must outlive the balancer.
  SteeringBalancer(config::SteeringBalancerSettings settings, std::string settings_path, const PacketCodec* codec);

  /// Opens the sockets; `readiness` answers the readiness requests. Errors: `kIoSocket`.
  [[nodiscard]] Status Open(io::HttpHandler readiness);

  /// Serves until a signal requests a stop; then reports that it is not ready, and returns when no more packets arrive
  /// or the grace time is nearly over.
  void Run(StopSignal* stop);

  /// True while routers should send packets to this balancer: it has received the routes, its targets are not
  /// considered unreachable, and it is not stopping.
  [[nodiscard]] bool IsReady() const;

 private:
  // Receive timeout of the socket loops, which bounds the delay until they notice a stop.
  static constexpr std::chrono::milliseconds kStopCheckInterval{500};

  void ServePackets();
  void HandleBatch(std::span<const io::IncomingDatagram> batch);
  void HandlePacket(TimePoint now, const io::IncomingDatagram& datagram);
  // `objective` is that of `ObjectiveOf`, which forwarding needs.
  void ApplyDecision(TimePoint now, const CookiePacket& packet, Duration objective, std::span<std::byte> bytes,
                     const SteeringDecision& decision);
  void HoldPacket(TimePoint now, const CookiePacket& packet, std::span<const std::byte> bytes,
                  const SteeringDecision& decision);
  void ServeAdmissionQueue();
  void ReleaseWaitingPackets(TimePoint now);
  void RefuseExcessPackets(TimePoint now);
  void ApplyToWaitingPacket(TimePoint now, WaitingPacket* packet, const SteeringDecision& decision);
  void UpdateTargetReachability(TimePoint now);
  void LogDecision(const CookiePacket& packet, const SteeringDecision& decision);
  // True if the datagram is to be sent now; otherwise it waits in the queue of the uplink, or was dropped.
  [[nodiscard]] bool OfferToLink(TimePoint now, const CookiePacket& packet, Duration objective, const Endpoint& target,
                                 std::span<const std::byte> datagram);
  void AccountReset(TimePoint now, const CookiePacket& packet, std::size_t bytes);
  // The refusal of an opening packet whose flow would send more than the uplink can take in time; empty if there is
  // none.
  [[nodiscard]] std::optional<SteeringDecision> RefuseBulkFlow(TimePoint now, const CookiePacket& packet,
                                                               Duration objective);
  // The latency objective of an opening packet's route; 0 if it is unknown or not needed.
  [[nodiscard]] Duration ObjectiveOf(const CookiePacket& packet) const;
  void ServeEgress();
  void SendQueuedDatagrams(TimePoint now);
  void LogLinkSaturation(TimePoint now);
  void AddEgressMetrics();
  void ServeMessages();
  void HandleReply(TimePoint now, const SyncReply& reply);
  void HandleUpdate(TimePoint now, HostId from, const RoutingUpdate& update);
  void PollControlHosts();
  // Takes a load report, offered rates or a summary; logs a message that cannot be decoded. True if it was taken.
  template <typename Message>
  bool TakeLoad(TimePoint now, const Result<Message>& message);
  // Sends load reports and offered rates.
  void ReportLoad();
  // Sends the load of this data centre to the others.
  void SendSummaries();
  // Returns the number of messages that were sent.
  std::size_t SendToBalancers(const std::vector<HostId>& hosts, MessageType type,
                              const std::vector<std::byte>& payload);
  void AwaitStop(StopSignal* stop);
  void Drain();
  void LogContactAndReadiness(TimePoint now);
  // Logs changes of shortage, and adds the metrics of services and priorities that have none yet.
  void ReportShares();
  void AddMetrics();
  void AddShareMetrics(const std::string& service, std::uint32_t priority);
  // Returns true if the message was sent.
  bool SendTo(HostId host, std::uint16_t port, MessageType type, std::span<const std::byte> payload);

  config::SteeringBalancerSettings m_settings;
  const PacketCodec* m_codec;
  CookieSteering m_steering;
  SyncClient m_sync_client;
  SeedReload<config::SteeringBalancerSettings> m_seed_reload;
  std::optional<io::UdpSocket> m_packet_socket;
  std::optional<io::PlainMessageSocket> m_message_socket;
  std::unique_ptr<io::HttpServer> m_readiness_server;
  std::unique_ptr<io::HttpServer> m_metrics_server;
  observe::Metrics m_metrics;
  observe::LogRateLimiter m_log_line_budget;
  SteeringCounters m_counters;
  SteeringLatencies m_latencies;
  std::vector<io::OutgoingDatagram> m_outgoing;
  std::vector<std::vector<std::byte>> m_reset_packets;
  std::chrono::steady_clock::time_point m_last_packet_at;
  AdmissionQueue m_admission_queue;
  // Unset if the uplink needs no scheduling.
  std::optional<SteeringEgress> m_egress;
  // Set while no target answers: the balancer is then not ready, so that routers send packets to other balancers.
  bool m_targets_unreachable = false;
  TimePoint m_unreachable_since;
  // Services and priorities with metrics; those that are no longer published keep theirs.
  std::set<std::pair<std::string, std::uint32_t>> m_share_metrics;
  bool m_last_report_nonempty = false;
  bool m_had_control_contact = false;
  bool m_was_ready = false;
  bool m_stopping = false;
  bool m_done = false;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_BALANCER_STEERING_BALANCER_H_
