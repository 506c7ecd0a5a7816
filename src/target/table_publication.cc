#include "fighatch/table_publication.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace fighatch {

bool ResendTracker::IsDue(HostId host, Version version, TimePoint now) {
  const auto [sent, inserted] = m_sent.try_emplace(host, Sent{version, now});
  if (inserted) return true;
  if (sent->second.m_version == version && now - sent->second.m_at < kUpdateResend) return false;
  sent->second = {version, now};
  return true;
}

void TablePublication::SetTargets(std::vector<TargetInfo> targets) {
  if (targets == m_targets) return;
  m_targets = std::move(targets);
  m_transition.RaiseVersion();
}

void TablePublication::Collect(const std::set<HostId>& receivers, TimePoint now, std::vector<TableSend>* out) {
  for (const HostId host : receivers) {
    // A host that was unreachable may have applied a table from another coordinator in the meantime.
    if (!m_receivers.contains(host)) m_transition.ForgetAck(host);
  }
  m_receivers = receivers;
  for (const HostId host : receivers) {
    if (m_transition.HasAcknowledged(host) || !m_resend.IsDue(host, m_transition.Table().m_version, now)) continue;
    out->push_back({host, {m_transition.Table(), m_targets}});
  }
}

void TableRelay::OnUpdate(const TableUpdate& update, HostId from, TimePoint /*now*/) {
  RelayedTable& relayed = m_relayed[{update.m_table.m_service, update.m_table.m_data_centre}];
  relayed.m_ack_due = true;
  if (update.m_table.m_version <= relayed.m_update.m_table.m_version) return;
  relayed.m_update = update;
  relayed.m_from = from;
  relayed.m_idle_s.clear();
  if (relayed.m_newer <= update.m_table.m_version) relayed.m_newer.reset();
}

bool TableRelay::OnAck(const TableAck& ack) {
  const auto relayed = m_relayed.find({ack.m_service, ack.m_data_centre});
  if (relayed == m_relayed.end()) return false;
  const Version version = relayed->second.m_update.m_table.m_version;
  if (ack.m_version > version)
    relayed->second.m_newer = std::max(relayed->second.m_newer, std::optional(ack.m_version));
  if (ack.m_version != version) {
    relayed->second.m_idle_s.erase(ack.m_host);
    return false;
  }
  std::uint32_t& idle_s = relayed->second.m_idle_s[ack.m_host];
  // A changed idle time is reported to the coordinator too.
  if (idle_s != ack.m_base_idle_s) relayed->second.m_ack_due = true;
  idle_s = ack.m_base_idle_s;
  return true;
}

void TableRelay::ForgetAcks(HostId host) {
  for (auto& [key, relayed] : m_relayed) relayed.m_idle_s.erase(host);
}

void TableRelay::Collect(HostId self, const std::set<HostId>& receivers, TimePoint now, std::vector<TableSend>* updates,
                         std::vector<AckSend>* acks) {
  for (const HostId host : receivers) {
    if (!m_receivers.contains(host)) ForgetAcks(host);
  }
  m_receivers = receivers;
  for (auto& [key, relayed] : m_relayed) {
    const Version version = relayed.m_update.m_table.m_version;
    std::uint32_t idle_s = std::numeric_limits<std::uint32_t>::max();
    bool complete = true;
    for (const HostId host : receivers) {
      const auto acknowledged = relayed.m_idle_s.find(host);
      if (acknowledged != relayed.m_idle_s.end()) {
        idle_s = std::min(idle_s, acknowledged->second);
        continue;
      }
      complete = false;
      // This host applied the update when it arrived, so it is not sent to itself.
      if (host != self && relayed.m_resend.IsDue(host, version, now)) updates->push_back({host, relayed.m_update});
    }
    if (relayed.m_newer) {
      const Version newer = *std::exchange(relayed.m_newer, std::nullopt);
      acks->push_back({relayed.m_from, {self, key.first, key.second, newer, 0}});
    }
    if (!complete || !relayed.m_ack_due) continue;
    relayed.m_ack_due = false;
    acks->push_back({relayed.m_from, {self, key.first, key.second, version, idle_s}});
  }
}

}  // namespace fighatch
