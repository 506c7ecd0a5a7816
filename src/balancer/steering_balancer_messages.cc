// Messages of a balancer: to control hosts, whose state it follows, and to other balancers about load.
#include <glog/logging.h>

#include <algorithm>
#include <boost/fiber/operations.hpp>
#include <optional>
#include <utility>

#include "balancer/steering_balancer.h"
#include "daemon/clock.h"
#include "fighatch/host_address.h"

namespace fighatch::daemon {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

// Intervals between requests to control hosts: without contact to them or while targets are unreachable, and otherwise.
constexpr milliseconds kFastPollInterval{100};
constexpr milliseconds kRegularPollInterval{500};

Duration TimeSinceEpoch() { return std::chrono::system_clock::now().time_since_epoch(); }

}  // namespace

void SteeringBalancer::ServeMessages() {
  while (!m_done) {
    for (const io::PlainMessage& message : m_message_socket->Receive(steady_clock::now() + kStopCheckInterval)) {
      const TimePoint now = Now();
      if (message.m_type == MessageType::kSyncReply) {
        const Result<SyncReply> reply = DecodeSyncReply(message.m_payload);
        if (IsOk(reply)) HandleReply(now, ValueOf(reply));
        if (!IsOk(reply)) LOG(WARNING) << "event=message_refused " << ToString(ErrorOf(reply));
      } else if (message.m_type == MessageType::kLoadReport) {
        TakeLoad(now, DecodeLoadReport(message.m_payload));
      } else if (message.m_type == MessageType::kOfferedLoad) {
        TakeLoad(now, DecodeOfferedLoad(message.m_payload));
      } else if (message.m_type == MessageType::kLoadSummary) {
        if (TakeLoad(now, DecodeLoadSummary(message.m_payload))) ++m_counters.m_summaries_received;
      }
    }
  }
}

template <typename Message>
bool SteeringBalancer::TakeLoad(TimePoint now, const Result<Message>& message) {
  if (IsOk(message)) return m_steering.Receive(now, ValueOf(message));
  LOG(WARNING) << "event=message_refused " << ToString(ErrorOf(message));
  return false;
}

void SteeringBalancer::HandleReply(TimePoint now, const SyncReply& reply) {
  m_sync_client.Receive(now, reply);
  if (reply.m_update) HandleUpdate(now, reply.m_from, *reply.m_update);
  for (const TargetObservation& observation : reply.m_targets) {
    if (!m_steering.Merge(now, observation)) continue;
    const AnnouncedTarget& record = observation.m_record;
    LOG(INFO) << "event=target_followed target=" << std::hex << record.m_id.m_value << std::dec
              << " state=" << RecordStateName(record.m_state) << " service=" << record.m_service
              << " endpoint=" << ToString(record.m_endpoint) << " data_centre=" << record.m_data_centre
              << " born=" << record.m_start_unix_ms << " sequence=" << record.m_sequence
              << " cold_left_ms=" << record.m_cold_left_ms << " age_ms=" << observation.m_age_ms;
  }
  std::vector<HostId> balancers;
  for (const BalancerPeer& peer : m_sync_client.Balancers()) balancers.push_back(peer.m_host);
  m_steering.SetBalancers(std::move(balancers));
  m_steering.View().SetBalancers(now, m_sync_client.Balancers());
  LogContactAndReadiness(now);
}

void SteeringBalancer::HandleUpdate(TimePoint now, HostId from, const RoutingUpdate& update) {
  const UpdateOutcome outcome = m_steering.Update(now, update);
  if (outcome == UpdateOutcome::kApplied) {
    LOG(INFO) << "event=state_followed index=" << update.m_position.m_index << " digest=" << std::hex
              << update.m_position.m_digest << std::dec << " version=" << update.m_version
              << " routes=" << m_steering.State().m_routing.m_routes.size()
              << " data_centres_out=" << update.m_data_centres_out.size()
              << " from=" << ToString(IpAddress::FromV4(from.m_value));
  } else if (outcome == UpdateOutcome::kDigestMismatch) {
    ++m_counters.m_updates_refused;
    if (!m_log_line_budget.Allow()) return;
    LOG(ERROR) << "event=state_update_refused index=" << update.m_position.m_index << " base=" << update.m_base.m_index
               << std::hex << " base_digest=" << update.m_base.m_digest << " digest=" << m_steering.State().m_digest
               << std::dec << " from=" << ToString(IpAddress::FromV4(from.m_value))
               << " suppressed=" << m_log_line_budget.TakeSuppressed()
               << " next=\"keeps its state and asks for the whole one\"";
  }
}

void SteeringBalancer::PollControlHosts() {
  while (!m_done) {
    const TimePoint now = Now();
    for (const auto& [host, request] : m_sync_client.Tick(now, m_steering.HeldState())) {
      SendTo(host, m_settings.m_discovery.m_control_message_port, MessageType::kSyncRequest,
             EncodeSyncRequest(request));
    }
    m_steering.Tick(now);
    UpdateTargetReachability(now);
    LogContactAndReadiness(now);
    m_seed_reload.ReloadIfDue(m_sync_client.HasRecentReply(now));
    boost::this_fiber::sleep_for(m_sync_client.IsCurrent(now) && !m_targets_unreachable ? kRegularPollInterval
                                                                                        : kFastPollInterval);
  }
}

void SteeringBalancer::LogContactAndReadiness(TimePoint now) {
  const bool is_current = m_sync_client.IsCurrent(now);
  if (is_current != m_had_control_contact) {
    LOG(INFO) << (is_current ? "event=control_regained" : "event=control_lost")
              << " state=" << m_steering.State().m_index << " contacts=" << m_sync_client.Contacts().size();
  }
  m_had_control_contact = is_current;
  if (IsReady() != m_was_ready) {
    m_was_ready = IsReady();
    LOG(INFO) << "event=readiness ready=" << m_was_ready << " state=" << m_steering.State().m_index;
  }
}

void SteeringBalancer::ReportLoad() {
  while (!m_done) {
    const TimePoint now = Now();
    const std::vector<HostId> recipients = m_steering.View().ReportRecipients();
    const Duration interval = m_steering.View().ReportInterval();
    m_steering.RefreshLoadCounts(now);
    ReportShares();
    const LoadReport report = m_steering.MakeReport();
    // One empty report after one with load tells the other balancers that the load has ended.
    if (!report.m_loads.empty() || m_last_report_nonempty) {
      SendToBalancers(recipients, MessageType::kLoadReport, EncodeLoadReport(report));
    }
    m_last_report_nonempty = !report.m_loads.empty();
    const bool was_short = m_steering.View().WasRecentlyShort(now);
    if (LoadView::IsExchangeDue(LoadView::IntervalAt(TimeSinceEpoch(), interval).m_number, was_short)) {
      const OfferedLoad load = m_steering.MakeOfferedLoad(now);
      const bool has_load = !load.m_rates.empty() || was_short;
      if (has_load) SendToBalancers(recipients, MessageType::kOfferedLoad, EncodeOfferedLoad(load));
    }
    m_steering.SetReportLag(interval);
    boost::this_fiber::sleep_for(interval);
  }
}

void SteeringBalancer::SendSummaries() {
  std::optional<std::uint64_t> last_number;
  while (!m_done) {
    const auto [number, left] = LoadView::IntervalAt(TimeSinceEpoch(), m_steering.View().SummaryInterval());
    // At the end of an interval, when the messages of the same interval have arrived within the data centre.
    boost::this_fiber::sleep_for(left);
    // A time of day that is slowed down can lag behind the sleep.
    if (m_done || number == last_number) continue;
    last_number = number;
    const TimePoint now = Now();
    const std::vector<HostId> recipients = m_steering.View().SummaryRecipients(number);
    if (recipients.empty() || !m_steering.View().IsSummaryDue(now, number)) continue;
    const LoadSummary summary = m_steering.MakeSummary(now);
    if (!summary.m_has_flows && summary.m_rates.empty()) continue;
    m_counters.m_summaries_sent += SendToBalancers(recipients, MessageType::kLoadSummary, EncodeLoadSummary(summary));
  }
}

std::size_t SteeringBalancer::SendToBalancers(const std::vector<HostId>& hosts, MessageType type,
                                              const std::vector<std::byte>& payload) {
  return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [&](HostId host) {
    return SendTo(host, m_settings.m_discovery.m_balancer_message_port, type, payload);
  }));
}

bool SteeringBalancer::SendTo(HostId host, std::uint16_t port, MessageType type, std::span<const std::byte> payload) {
  const std::uint64_t bytes_before = m_message_socket->Counters().m_sent_bytes;
  // A failed send is not repeated: the next message of the same type replaces this one.
  const bool is_sent = IsOk(m_message_socket->Send(EndpointOf(host, port), type, payload));
  if (m_egress) m_egress->m_scheduler.Charge(Now(), m_message_socket->Counters().m_sent_bytes - bytes_before);
  return is_sent;
}

}  // namespace fighatch::daemon
