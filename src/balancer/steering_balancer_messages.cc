// Messages of a balancer: to control hosts, whose state it follows, and load reports to other balancers.
#include <glog/logging.h>

#include <algorithm>
#include <boost/fiber/operations.hpp>
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
// Interval between load reports for each recipient, so that a host's message rate does not grow with the deployment.
constexpr milliseconds kReportIntervalPerRecipient{5};
constexpr milliseconds kMinReportInterval{20};
// With more balancers than this, load is reported within the data centre only.
constexpr std::size_t kMaxRecipientsAcrossDataCentres = 16;

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
        const Result<LoadReport> report = DecodeLoadReport(message.m_payload);
        if (IsOk(report)) m_steering.Receive(now, ValueOf(report));
        if (!IsOk(report)) LOG(WARNING) << "event=message_refused " << ToString(ErrorOf(report));
      }
    }
  }
}

void SteeringBalancer::HandleReply(TimePoint now, const SyncReply& reply) {
  m_sync_client.Receive(now, reply);
  if (reply.m_update && m_steering.Update(now, *reply.m_update)) {
    LOG(INFO) << "event=state_followed index=" << reply.m_update->m_index << " version=" << reply.m_update->m_version
              << " routes=" << m_steering.State().m_routing.m_routes.size()
              << " data_centres_out=" << reply.m_update->m_data_centres_out.size()
              << " from=" << ToString(IpAddress::FromV4(reply.m_from.m_value));
  }
  for (const TargetObservation& observation : reply.m_targets) {
    if (!m_steering.Merge(now, observation)) continue;
    const AnnouncedTarget& record = observation.m_record;
    LOG(INFO) << "event=target_followed target=" << std::hex << record.m_id.m_value << std::dec
              << " state=" << RecordStateName(record.m_state) << " service=" << record.m_service
              << " endpoint=" << ToString(record.m_endpoint) << " data_centre=" << record.m_data_centre
              << " born=" << record.m_start_unix_ms << " sequence=" << record.m_sequence
              << " age_ms=" << observation.m_age_ms;
  }
  std::vector<HostId> balancers;
  for (const BalancerPeer& peer : m_sync_client.Balancers()) balancers.push_back(peer.m_host);
  m_steering.SetBalancers(std::move(balancers));
  LogContactAndReadiness(now);
}

void SteeringBalancer::PollControlHosts() {
  while (!m_done) {
    const TimePoint now = Now();
    for (const auto& [host, request] : m_sync_client.Tick(now, m_steering.State().m_index)) {
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

std::vector<HostId> SteeringBalancer::LoadReportRecipients() const {
  const auto& balancers = m_sync_client.Balancers();
  const bool all_data_centres = balancers.size() <= kMaxRecipientsAcrossDataCentres;
  std::vector<HostId> recipients;
  for (const BalancerPeer& peer : balancers) {
    const bool in_scope = all_data_centres || peer.m_data_centre == m_settings.m_discovery.m_data_centre;
    if (in_scope && peer.m_host != m_settings.m_discovery.Self()) recipients.push_back(peer.m_host);
  }
  return recipients;
}

void SteeringBalancer::ReportLoad() {
  while (!m_done) {
    const std::vector<HostId> recipients = LoadReportRecipients();
    m_steering.RefreshLoadCounts(Now());
    ReportShares();
    const LoadReport report = m_steering.MakeReport();
    // One empty report after one with load tells the other balancers that the load has ended.
    if (!report.m_loads.empty() || m_last_report_nonempty) {
      const std::vector<std::byte> payload = EncodeLoadReport(report);
      for (const HostId host : recipients) {
        SendTo(host, m_settings.m_discovery.m_balancer_message_port, MessageType::kLoadReport, payload);
      }
    }
    m_last_report_nonempty = !report.m_loads.empty();
    const milliseconds scaled_interval = kReportIntervalPerRecipient * static_cast<std::int64_t>(recipients.size());
    const milliseconds interval = std::max(kMinReportInterval, scaled_interval);
    m_steering.SetReportLag(interval);
    boost::this_fiber::sleep_for(interval);
  }
}

void SteeringBalancer::SendTo(HostId host, std::uint16_t port, MessageType type, std::span<const std::byte> payload) {
  // A failed send is ignored: the next message of the same type replaces this one.
  (void)m_message_socket->Send(EndpointOf(host, port), type, payload);
}

}  // namespace fighatch::daemon
