// Reports of table versions that the publisher of a table may not know.

#include <algorithm>

#include "fighatch/coordinator.h"

namespace fighatch {
namespace {

/// Time during which the known versions are reported to a new publisher. It is longer than the delay of
/// acknowledgements that a host sent before it restarted.
constexpr Duration kReportDuration = std::chrono::seconds(3);
constexpr Duration kReportInterval = std::chrono::seconds(1);

}  // namespace

void Coordinator::RelinquishTables(const std::function<bool(DataCentreId)>& yields) {
  if (!m_active) return;
  std::erase_if(m_active->m_tables, [&](const auto& item) {
    if (!yields(item.first.second)) return false;
    m_relinquished[item.first] = {item.second.Transition().Table().m_version, {}};
    return true;
  });
}

std::optional<HostId> Coordinator::RegionCoordinator() const {
  std::optional<HostId> lowest;
  for (const DataCentre* data_centre : Region()) {
    const std::optional<HostId> host = LowestBalancer(data_centre->m_id);
    if (host && (!lowest || *host < *lowest)) lowest = host;
  }
  return lowest;
}

void Coordinator::ReportRelinquished(TimePoint now, std::vector<AckSend>* acks) {
  for (auto item = m_relinquished.begin(); item != m_relinquished.end();) {
    const auto& [service, data_centre] = item->first;
    RelinquishedTable& yielded = item->second;
    const TableUpdate* known = KnownTable(service, data_centre);
    const std::optional<HostId> publisher = data_centre == DataCentreId{} ? RegionCoordinator() : Elected();
    const bool replaced = known != nullptr && known->m_table.m_version > yielded.m_version;
    if (replaced || !publisher || *publisher == m_config.m_host) {
      item = m_relinquished.erase(item);
      continue;
    }
    if (yielded.m_resend.IsDue(*publisher, yielded.m_version, now))
      acks->push_back({*publisher, {m_config.m_host, service, data_centre, yielded.m_version, 0}});
    ++item;
  }
}

std::optional<HostId> Coordinator::TableSourceOf(DataCentreId data_centre) const {
  const HostId elected = Elected();
  if (elected != m_config.m_host || data_centre == m_config.m_data_centre) return elected;
  return data_centre == DataCentreId{} ? RegionCoordinator() : LowestBalancer(data_centre);
}

void Coordinator::ReportVersions(TimePoint now, std::vector<AckSend>* acks) {
  std::vector<DataCentreId> data_centres = {DataCentreId{}};
  for (const DataCentre* data_centre : Region()) data_centres.push_back(data_centre->m_id);
  for (const DataCentreId id : data_centres) {
    const HostId publisher = TableSourceOf(id).value_or(HostId{});
    VersionReport& report = m_reports[id];
    if (report.m_publisher != publisher) report = {publisher, now, now};
    const bool is_due = now >= report.m_next && now - report.m_since <= kReportDuration;
    if (!is_due || publisher == HostId{} || publisher == m_config.m_host) continue;
    report.m_next = now + kReportInterval;
    ReportVersionsOf(id, publisher, acks);
  }
}

void Coordinator::ReportVersionsOf(DataCentreId data_centre, HostId publisher, std::vector<AckSend>* acks) const {
  const bool relays = Elected() == m_config.m_host;
  for (const auto& [name, service] : m_state.m_services) {
    const TableUpdate* known = KnownTable(service.m_id, data_centre);
    // A relay acknowledges on behalf of all its balancers, so it requests the table with version 0 instead of
    // acknowledging it.
    const Version version = known == nullptr || relays ? Version{} : known->m_table.m_version;
    acks->push_back({publisher, {m_config.m_host, service.m_id, data_centre, version, 0}});
  }
}

}  // namespace fighatch
