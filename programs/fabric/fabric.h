#ifndef FIGHATCH_PROGRAMS_FABRIC_FABRIC_H_
#define FIGHATCH_PROGRAMS_FABRIC_FABRIC_H_

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "fabric_settings.h"
#include "fighatch/http_message.h"
#include "fighatch/random.h"
#include "io/udp_socket.h"

namespace fighatch::fabric {

/// Counters of packets, served by `GET /metrics`.
struct FabricCounters {
  std::uint64_t m_to_balancers = 0;
  std::uint64_t m_to_callers = 0;
  std::uint64_t m_lost = 0;
  std::uint64_t m_duplicated = 0;
  /// Datagrams dropped because the GUE header does not parse.
  std::uint64_t m_malformed = 0;
  /// Packets dropped because no balancer is up.
  std::uint64_t m_no_balancer = 0;
};

/// Simulated network in front of the balancers, for tests and demonstrations. Sends each packet of a caller to a random
/// balancer, with the configured loss and duplication, and each packet that is addressed to a caller to the endpoint
/// configured for that caller's prefix. All packets are GUE datagrams on one UDP socket.
class Fabric {
 public:
  /// Binds the socket. Errors: `kIoSocket`.
  [[nodiscard]] static Result<Fabric> Create(const FabricSettings& settings);

  /// Receives and forwards one batch of packets; returns at the deadline if none arrives.
  void ForwardBatch(io::Deadline deadline);

  /// Serves `GET /metrics` and `GET /v1/health`, and `POST /v1/balancers/ENDPOINT/up` or `/down`, which adds a balancer
  /// to the ones that receive packets or removes it.
  [[nodiscard]] HttpResponse HandleHttp(const HttpRequest& request);

 private:
  Fabric(const FabricSettings& settings, io::UdpSocket socket);

  void Route(std::span<const std::byte> datagram);
  void RouteToBalancer(std::span<const std::byte> datagram);
  [[nodiscard]] const CallerRoute* FindCaller(const IpAddress& address) const;
  [[nodiscard]] HttpResponse SetBalancerState(const std::string& path);
  [[nodiscard]] std::string MetricsText() const;

  FabricSettings m_settings;
  io::UdpSocket m_socket;
  Random m_random;
  /// The balancers that are up and receive packets.
  std::vector<Endpoint> m_active_balancers;
  std::vector<io::OutgoingDatagram> m_batch;
  FabricCounters m_counters;
};

}  // namespace fighatch::fabric

#endif  // FIGHATCH_PROGRAMS_FABRIC_FABRIC_H_
