#ifndef FIGHATCH_CONTROL_CONTROL_METRICS_H_
#define FIGHATCH_CONTROL_CONTROL_METRICS_H_

#include <memory>
#include <string>

#include "control/ticket_backend.h"

namespace fighatch::daemon {

/// The Prometheus metrics of a control host: tickets, requests for state by balancers and the replicated log.
class ControlMetrics {
 public:
  ControlMetrics();
  ~ControlMetrics();
  ControlMetrics(const ControlMetrics&) = delete;
  ControlMetrics& operator=(const ControlMetrics&) = delete;

  /// Counts one answer to a ticket under its error code.
  void CountTicket(ErrorCode code);
  /// Counts one answer to a request for deltas and its size; 0 bytes mean that the balancer was up to date.
  void CountDelta(bool is_snapshot, std::size_t bytes);
  /// Records the seconds from a submitted ticket's arrival to its answer, accepted or not.
  void ObserveTicketSeconds(double seconds);

  /// Returns all metrics in the Prometheus text format, after the gauges are set from the arguments. `balancer_count`
  /// is the number of balancers that have asked for state.
  [[nodiscard]] std::string Serialize(const ReplicaStatus& status, std::size_t balancer_count) const;

 private:
  struct Families;
  std::unique_ptr<Families> m_families;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_CONTROL_CONTROL_METRICS_H_
