#ifndef FIGHATCH_DAEMON_CONTROL_METRICS_H_
#define FIGHATCH_DAEMON_CONTROL_METRICS_H_

#include <memory>
#include <string>

#include "daemon/ticket_backend.h"

namespace fighatch::daemon {

/// The metrics of a control host in the text form of Prometheus.
class ControlMetrics {
 public:
  ControlMetrics();
  ~ControlMetrics();
  ControlMetrics(const ControlMetrics&) = delete;
  ControlMetrics& operator=(const ControlMetrics&) = delete;

  /// Counts an answer to a ticket by its code.
  void CountTicket(ErrorCode code);
  /// Counts bytes and kind of an answer to a request for deltas.
  void CountDelta(bool is_snapshot, std::size_t bytes);
  /// Adds a sample of the time from a ticket's arrival to its acceptance.
  void ObserveTicketSeconds(double seconds);

  /// All metrics, with gauges taken from the status.
  [[nodiscard]] std::string Serialize(const ReplicaStatus& status, std::size_t balancer_count) const;

 private:
  struct Families;
  std::unique_ptr<Families> m_families;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_CONTROL_METRICS_H_
