#include "fighatch/load_view.h"

#include <algorithm>
#include <limits>

namespace fighatch {
namespace {

constexpr std::uint32_t kMaxFlowsInLoad = std::numeric_limits<std::uint16_t>::max();

void AddDemand(const std::vector<OfferedRate>& rates, const std::string& service, ServiceDemand* demand) {
  for (const OfferedRate& rate : rates) {
    if (rate.m_service == service) demand->m_flows_per_second[rate.m_priority] += rate.m_flows_per_second;
  }
}

// Sums flows by target and rates by service and priority, for a summary.
class SummaryBuilder {
 public:
  void Add(const std::vector<CookieLoad>& loads) {
    for (const CookieLoad& load : loads) m_flows[load.m_cookie] += load.m_flows;
  }
  void Add(const std::vector<OfferedRate>& rates) {
    for (const OfferedRate& rate : rates) {
      if (rate.m_service.size() > kMaxServiceNameBytes) continue;
      m_rates[{rate.m_service, rate.m_priority}] += rate.m_flows_per_second;
    }
  }
  // What exceeds the limits of the message is left out.
  void Fill(LoadSummary* summary) const {
    for (const auto& [cookie, flows] : m_flows) {
      if (summary->m_loads.size() == LoadSummary::kMaxLoads) break;
      summary->m_loads.push_back({cookie, static_cast<std::uint16_t>(std::min(flows, kMaxFlowsInLoad))});
    }
    for (const auto& [key, flows_per_second] : m_rates) {
      if (summary->m_rates.size() == kMaxOfferedRates) break;
      summary->m_rates.push_back({key.first, key.second, flows_per_second});
    }
  }

 private:
  std::map<std::uint32_t, std::uint32_t> m_flows;
  std::map<std::pair<std::string, std::uint32_t>, double> m_rates;
};

}  // namespace

void LoadView::SetBalancers(TimePoint now, const std::vector<BalancerPeer>& balancers) {
  if (!m_started && !balancers.empty()) m_started = now;
  m_data_centre_of.clear();
  for (const BalancerPeer& peer : balancers) m_data_centre_of[peer.m_host] = peer.m_data_centre;
  m_members.clear();
  for (const auto& [host, data_centre] : m_data_centre_of) m_members[data_centre].push_back(host);
}

template <typename Message>
bool LoadView::Take(TimePoint now, const Message& message, BySender<Message>* known) {
  if (message.m_from == m_options.m_self) return false;
  const auto found = known->find(message.m_from);
  if (found == known->end() && known->size() >= kMaxSenders) return false;
  if (found != known->end() &&
      IsLate(now, found->second.m_received, found->second.m_message.m_sequence, message.m_sequence)) {
    return false;
  }
  known->insert_or_assign(message.m_from, Received<Message>{now, message});
  return true;
}

bool LoadView::Receive(TimePoint now, const LoadReport& report) { return Take(now, report, &m_reports); }

bool LoadView::Receive(TimePoint now, const OfferedLoad& load) { return Take(now, load, &m_offered); }

bool LoadView::Receive(TimePoint now, const LoadSummary& summary) {
  // Balancers of this data centre report to each other directly.
  if (summary.m_from == m_options.m_self || summary.m_data_centre == m_options.m_data_centre) return false;
  const std::string* known_data_centre = DataCentreOf(summary.m_from);
  if (known_data_centre != nullptr &&
      known_data_centre->compare(0, LoadSummary::kMaxDataCentreBytes, summary.m_data_centre) != 0) {
    return false;
  }
  const auto mark = m_summary_marks.find(summary.m_from);
  if (mark == m_summary_marks.end() && m_summary_marks.size() >= kMaxSenders) return false;
  if (mark != m_summary_marks.end() &&
      IsLate(now, mark->second.m_received, mark->second.m_sequence, summary.m_sequence)) {
    return false;
  }
  const std::string& data_centre = summary.m_data_centre;
  const bool is_known = m_summed_flows.contains(data_centre) || m_summed_rates.contains(data_centre);
  if (!is_known && std::max(m_summed_flows.size(), m_summed_rates.size()) >= kMaxDataCentres) return false;
  m_summary_marks[summary.m_from] = {now, summary.m_sequence};
  if (summary.m_has_flows)
    m_summed_flows.insert_or_assign(data_centre, Received<std::vector<CookieLoad>>{now, summary.m_loads});
  const auto held = m_summed_rates.find(data_centre);
  if (held != m_summed_rates.end() && !IsExpired(now, held->second.m_received)) {
    const std::uint32_t balancers = held->second.m_message.m_balancers;
    if (summary.m_balancers < balancers - balancers / 2) return true;
  }
  m_summed_rates.insert_or_assign(data_centre, Received<SummedRates>{now, {summary.m_balancers, summary.m_rates}});
  return true;
}

bool LoadView::RemoveExpiredSummariesAndRates(TimePoint now) {
  const auto is_expired = [&](const auto& entry) { return IsExpired(now, entry.second.m_received); };
  std::erase_if(m_offered, is_expired);
  std::erase_if(m_summary_marks, is_expired);
  std::erase_if(m_summed_rates, is_expired);
  return std::erase_if(m_summed_flows, is_expired) > 0;
}

bool LoadView::RemoveExpired(TimePoint now) {
  const bool flows_changed = RemoveExpiredSummariesAndRates(now);
  const auto is_expired = [&](const auto& entry) { return IsExpired(now, entry.second.m_received); };
  return std::erase_if(m_reports, is_expired) > 0 || flows_changed;
}

const std::string* LoadView::DataCentreOf(HostId host) const {
  const auto found = m_data_centre_of.find(host);
  return found == m_data_centre_of.end() ? nullptr : &found->second;
}

bool LoadView::IsLocal(HostId host) const {
  const std::string* data_centre = DataCentreOf(host);
  return data_centre != nullptr && *data_centre == m_options.m_data_centre;
}

template <typename Content>
bool LoadView::CountsDirectly(HostId host, const ByDataCentre<Content>& summed) const {
  if (summed.empty()) return true;
  const std::string* data_centre = DataCentreOf(host);
  return data_centre == nullptr || !summed.contains(*data_centre);
}

std::unordered_map<std::uint32_t, std::uint32_t> LoadView::RemoteFlows() const {
  std::unordered_map<std::uint32_t, std::uint32_t> flows;
  for (const auto& [host, received] : m_reports) {
    if (!CountsDirectly(host, m_summed_flows)) continue;
    for (const CookieLoad& load : received.m_message.m_loads) flows[load.m_cookie] += load.m_flows;
  }
  for (const auto& [data_centre, received] : m_summed_flows) {
    for (const CookieLoad& load : received.m_message) flows[load.m_cookie] += load.m_flows;
  }
  return flows;
}

ServiceDemand LoadView::DemandOf(const std::string& service) const {
  ServiceDemand demand;
  for (const auto& [host, received] : m_offered) {
    if (!CountsDirectly(host, m_summed_rates)) continue;
    AddDemand(received.m_message.m_rates, service, &demand);
    ++demand.m_balancers;
  }
  for (const auto& [data_centre, received] : m_summed_rates) {
    AddDemand(received.m_message.m_rates, service, &demand);
    demand.m_balancers += received.m_message.m_balancers;
  }
  return demand;
}

LoadSummary LoadView::MakeSummary(TimePoint now, const std::vector<CookieLoad>& own_loads,
                                  const std::vector<OfferedRate>& own_rates) {
  LoadSummary summary;
  summary.m_from = m_options.m_self;
  summary.m_data_centre = m_options.m_data_centre.substr(0, LoadSummary::kMaxDataCentreBytes);
  summary.m_sequence = ++m_sequence;
  summary.m_balancers = 1;
  SummaryBuilder builder;
  builder.Add(own_rates);
  if (WasRecentlyShort(now)) {
    summary.m_has_flows = true;
    builder.Add(own_loads);
    for (const auto& [host, received] : m_reports) {
      if (IsLocal(host) && !IsExpired(now, received.m_received)) builder.Add(received.m_message.m_loads);
    }
  }
  for (const auto& [host, received] : m_offered) {
    if (!IsLocal(host) || IsExpired(now, received.m_received)) continue;
    builder.Add(received.m_message.m_rates);
    ++summary.m_balancers;
  }
  builder.Fill(&summary);
  return summary;
}

const std::vector<HostId>& LoadView::LocalBalancers() const {
  static const std::vector<HostId> kNone;
  const auto found = m_members.find(m_options.m_data_centre);
  return found == m_members.end() ? kNone : found->second;
}

std::vector<HostId> LoadView::ReportRecipients() const {
  const bool all_data_centres = m_data_centre_of.size() <= kMaxBalancersForDirectReports;
  std::vector<HostId> recipients;
  for (const auto& [host, data_centre] : m_data_centre_of) {
    const bool in_scope = all_data_centres || data_centre == m_options.m_data_centre;
    if (in_scope && host != m_options.m_self) recipients.push_back(host);
  }
  return recipients;
}

Duration LoadView::ReportInterval() const {
  return std::max(kMinReportInterval,
                  kReportIntervalPerRecipient * static_cast<std::int64_t>(ReportRecipients().size()));
}

std::vector<HostId> LoadView::SummaryRecipients(std::uint64_t interval) const {
  if (m_data_centre_of.size() <= kMaxBalancersForDirectReports) return {};
  const std::vector<HostId>& senders = LocalBalancers();
  const auto rank =
      static_cast<std::size_t>(std::lower_bound(senders.begin(), senders.end(), m_options.m_self) - senders.begin());
  const std::size_t step = std::max<std::size_t>(senders.size(), 1);
  const std::size_t first = static_cast<std::size_t>((rank + interval) % step);
  std::vector<HostId> recipients;
  for (const auto& [data_centre, members] : m_members) {
    if (data_centre == m_options.m_data_centre) continue;
    for (std::size_t index = first; index < members.size(); index += step) recipients.push_back(members[index]);
  }
  return recipients;
}

Duration LoadView::SummaryInterval() const {
  const std::size_t senders = std::max<std::size_t>(LocalBalancers().size(), 1);
  std::size_t recipients = 0;
  for (const auto& [data_centre, members] : m_members) {
    if (data_centre != m_options.m_data_centre) recipients += (members.size() + senders - 1) / senders;
  }
  const Duration interval =
      std::max(ReportInterval(), kReportIntervalPerRecipient * static_cast<std::int64_t>(recipients));
  return std::min(interval, m_options.m_lifetime - kSummaryMargin);
}

void LoadView::SetShortOfRoom(TimePoint now, bool is_short) {
  if (m_is_short && !is_short) m_short_until = now + kShortagePeriod;
  m_is_short = is_short;
}

bool LoadView::WasRecentlyShort(TimePoint now) const { return m_is_short || (m_short_until && now < *m_short_until); }

bool LoadView::IsSummaryDue(TimePoint now, std::uint64_t interval) const {
  return m_started && now - *m_started >= ReportInterval() && IsExchangeDue(interval, WasRecentlyShort(now));
}

}  // namespace fighatch
