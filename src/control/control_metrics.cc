#include "control/control_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace fighatch::daemon {
namespace {

using prometheus::Registry;

prometheus::Family<prometheus::Gauge>& GaugeFamily(Registry& registry, const char* name, const char* help) {
  return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Counter>& CounterFamily(Registry& registry, const char* name, const char* help) {
  return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

}  // namespace

struct ControlMetrics::Families {
  Registry m_registry;
  prometheus::Family<prometheus::Counter>& m_tickets =
      CounterFamily(m_registry, "fighatch_tickets_total", "Answers to tickets by code.");
  prometheus::Family<prometheus::Counter>& m_deltas =
      CounterFamily(m_registry, "fighatch_state_answers_total", "Answers to requests for state by kind.");
  prometheus::Family<prometheus::Counter>& m_delta_bytes =
      CounterFamily(m_registry, "fighatch_state_answer_bytes_total", "Bytes of answers to requests for state.");
  prometheus::Histogram& m_ticket_seconds =
      prometheus::BuildHistogram()
          .Name("fighatch_ticket_accept_seconds")
          .Help("Time from a ticket's arrival to its answer.")
          .Register(m_registry)
          .Add({}, prometheus::Histogram::BucketBoundaries{.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5});
  prometheus::Gauge& m_is_leader =
      GaugeFamily(m_registry, "fighatch_log_is_leader", "1 on the leader of the replicated log.").Add({});
  prometheus::Gauge& m_term = GaugeFamily(m_registry, "fighatch_log_term", "Term of the replicated log.").Add({});
  prometheus::Gauge& m_commit = GaugeFamily(m_registry, "fighatch_log_commit_index", "Committed entries.").Add({});
  prometheus::Gauge& m_applied = GaugeFamily(m_registry, "fighatch_log_applied_index", "Applied entries.").Add({});
  prometheus::Gauge& m_balancers =
      GaugeFamily(m_registry, "fighatch_state_followers", "Hosts that asked for state.").Add({});
};

ControlMetrics::ControlMetrics() : m_families(std::make_unique<Families>()) {}
ControlMetrics::~ControlMetrics() = default;

void ControlMetrics::CountTicket(ErrorCode code) {
  m_families->m_tickets.Add({{"code", std::to_string(static_cast<int>(code))}}).Increment();
}

void ControlMetrics::CountDelta(bool is_snapshot, std::size_t bytes) {
  const char* kind = bytes == 0 ? "none" : is_snapshot ? "snapshot" : "delta";
  m_families->m_deltas.Add({{"kind", kind}}).Increment();
  m_families->m_delta_bytes.Add({}).Increment(static_cast<double>(bytes));
}

void ControlMetrics::ObserveTicketSeconds(double seconds) { m_families->m_ticket_seconds.Observe(seconds); }

std::string ControlMetrics::Serialize(const ReplicaStatus& status, std::size_t balancer_count) const {
  m_families->m_is_leader.Set(status.m_role == "leader" ? 1 : 0);
  m_families->m_term.Set(static_cast<double>(status.m_term));
  m_families->m_commit.Set(static_cast<double>(status.m_commit_index));
  m_families->m_applied.Set(static_cast<double>(status.m_applied_index));
  m_families->m_balancers.Set(static_cast<double>(balancer_count));
  return prometheus::TextSerializer().Serialize(m_families->m_registry.Collect());
}

}  // namespace fighatch::daemon
