#include "control/steering_control.h"

namespace fighatch::daemon {

void SteeringControl::AddMetrics() {
  const auto counter = [this](const char* name, const char* help, const std::uint64_t& count) {
    m_metrics.AddCounter(name, help, {}, [&count] { return static_cast<double>(count); });
  };
  counter("fighatch_control_orders_total", "Orders submitted.", m_counters.m_commands);
  counter("fighatch_control_orders_refused_total", "Orders not accepted.", m_counters.m_commands_refused);
  counter("fighatch_control_announcements_total", "Announcements of targets.", m_counters.m_announcements);
  counter("fighatch_control_announcements_refused_total", "Announcements not confirmed.",
          m_counters.m_announcements_refused);
  counter("fighatch_control_announcements_ignored_total",
          "Announcements that are older than what is known, or of targets that count as ended.",
          m_counters.m_announcements_ignored);
  counter("fighatch_control_withdrawals_outdated_total",
          "Deregistrations that name no start and may come from one before the latest.",
          m_counters.m_withdrawals_outdated);
  m_metrics.AddHistogram("fighatch_control_order_seconds", "From submitting an order to its outcome.", {},
                         &m_command_latency);
  m_metrics.AddHistogram("fighatch_control_confirmation_seconds",
                         "From an announcement to its confirmation by a majority.", {}, &m_confirmation_latency);
  m_metrics.AddHistogram("fighatch_control_persist_seconds", "Writes to the log, syncs included.", {},
                         &m_log_replica->PersistLatency());
  m_metrics.AddGauge("fighatch_control_is_leader", "1 on the leader of the log.", {},
                     [this] { return m_log_replica->Node().Role() == RaftRole::kLeader ? 1.0 : 0.0; });
  m_metrics.AddGauge("fighatch_control_commit_index", "Index of the last accepted entry.", {},
                     [this] { return static_cast<double>(m_log_replica->Node().CommitIndex()); });
  m_metrics.AddGauge("fighatch_control_state_index", "Index of the published state.", {},
                     [this] { return static_cast<double>(m_state_machine.Log().Published()->m_index); });
  m_metrics.AddGauge("fighatch_control_state_digest", "Digest of that state, equal on all hosts with this index.", {},
                     [this] { return observe::DigestValue(m_state_machine.Log().Published()->m_digest); });
  m_metrics.AddGauge("fighatch_control_divergent_followers",
                     "Balancers that hold another state under the index of the published one.", {},
                     [this] { return static_cast<double>(m_sync_server.CountDivergent()); });
  m_metrics.AddGauge("fighatch_control_targets", "Targets known.", {},
                     [this] { return static_cast<double>(m_target_directory.Size()); });
  m_metrics.AddGauge("fighatch_control_followers", "Balancers and control hosts that follow this host.", {},
                     [this] { return static_cast<double>(m_sync_server.FollowerCount()); });
}

}  // namespace fighatch::daemon
