#include "balancer/steering_balancer.h"

namespace fighatch::daemon {

void SteeringBalancer::AddMetrics() {
  const auto counter = [this](const char* name, const char* help, const std::uint64_t& count) {
    m_metrics.AddCounter(name, help, {}, [&count] { return static_cast<double>(count); });
  };
  counter("fighatch_steering_packets_total", "Packets received.", m_counters.m_packets);
  counter("fighatch_steering_forwarded_total", "Packets sent to targets.", m_counters.m_forwarded);
  counter("fighatch_steering_placed_total", "Opening packets placed.", m_counters.m_placed);
  counter("fighatch_steering_resets_total", "Resets sent to clients.", m_counters.m_resets);
  counter("fighatch_steering_dropped_total", "Packets dropped.", m_counters.m_dropped);
  counter("fighatch_steering_malformed_total", "Packets that could not be read.", m_counters.m_malformed);
  counter("fighatch_steering_waited_total", "Opening packets that had to wait.", m_counters.m_waited);
  counter("fighatch_steering_refused_waiting_total", "Waiting packets refused because too many wait.",
          m_counters.m_refused_waiting);
  counter("fighatch_steering_load_summaries_sent_total", "Summaries of load sent to other data centres.",
          m_counters.m_summaries_sent);
  counter("fighatch_steering_load_summaries_received_total", "Summaries of load received from other data centres.",
          m_counters.m_summaries_received);
  counter("fighatch_steering_state_updates_refused_total", "Updates refused since they do not fit the state held.",
          m_counters.m_updates_refused);
  m_metrics.AddGauge("fighatch_steering_open_flows", "Flows open through this balancer.", {},
                     [this] { return static_cast<double>(m_steering.OpenFlows()); });
  m_metrics.AddGauge("fighatch_steering_state_index", "Index of the published state in force.", {},
                     [this] { return static_cast<double>(m_steering.State().m_index); });
  m_metrics.AddGauge("fighatch_steering_state_digest", "Digest of that state, equal on all hosts with this index.", {},
                     [this] { return observe::DigestValue(m_steering.State().m_digest); });
  m_metrics.AddGauge("fighatch_steering_ready", "1 while the balancer should get packets.", {},
                     [this] { return IsReady() ? 1.0 : 0.0; });
  const auto histogram = [this](const char* name, const char* help, const observe::LatencyHistogram& latencies) {
    m_metrics.AddHistogram(name, help, {}, &latencies);
  };
  histogram("fighatch_steering_batch_seconds", "Handling of packets that were read together.", m_latencies.m_batch);
  histogram("fighatch_steering_open_seconds", "From placing a flow to the packet that shows that its target took it.",
            m_latencies.m_open);
  histogram("fighatch_steering_flow_seconds", "From placing a flow to the client's last packet.", m_latencies.m_flow);
  histogram("fighatch_steering_wait_seconds", "Waiting of opening packets.", m_latencies.m_wait);
  if (m_settings.m_placement == config::Placement::kRemainingWork) {
    histogram("fighatch_steering_expected_seconds", "Expected time to finish of a placed request.",
              m_latencies.m_expected);
    m_metrics.AddCounter("fighatch_steering_work_samples_total", "Requests whose work was learned.", {},
                         [this] { return static_cast<double>(m_steering.WorkSamples()); });
  }
  const io::PlainMessageCounters& messages = m_message_socket->Counters();
  counter("fighatch_steering_messages_sent_total", "Messages sent to other hosts.", messages.m_sent);
  counter("fighatch_steering_message_bytes_sent_total", "Bytes of messages sent.", messages.m_sent_bytes);
  counter("fighatch_steering_messages_received_total", "Messages received from other hosts.", messages.m_received);
  counter("fighatch_steering_message_bytes_received_total", "Bytes of messages received.", messages.m_received_bytes);
  if (m_egress) AddEgressMetrics();
}

}  // namespace fighatch::daemon
