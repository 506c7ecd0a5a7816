#ifndef FIGHATCH_FLOW_RECORD_HOLDERS_H_
#define FIGHATCH_FLOW_RECORD_HOLDERS_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>

#include "fighatch/forwarding_table.h"

namespace fighatch {

/// The balancers that hold a flow record: the keepers of the flow, and those that become its keepers when joining
/// balancers are ready.
struct RecordHolders {
  std::array<HostId, 4> m_hosts{};
  std::size_t m_size = 0;

  [[nodiscard]] const HostId* begin() const noexcept { return m_hosts.data(); }
  [[nodiscard]] const HostId* end() const noexcept { return m_hosts.data() + m_size; }
  [[nodiscard]] bool Has(HostId host) const noexcept { return std::find(begin(), end(), host) != end(); }
  void Add(const BalancerEntry* balancer) noexcept {
    if (balancer != nullptr && !Has(balancer->m_host)) m_hosts[m_size++] = balancer->m_host;
  }
};

/// The holders of a flow's record among the balancers of a data centre. `with_joining` adds the prospective keepers,
/// which include balancers that are not ready yet.
inline RecordHolders RecordHoldersIn(const KeeperRanks& ranks, DataCentreId data_centre, std::uint64_t fingerprint,
                                     bool with_joining) noexcept {
  RecordHolders holders;
  const KeeperPair present = ranks.Find(data_centre, fingerprint);
  const KeeperPair prospective = ranks.FindProspective(data_centre, fingerprint);
  holders.Add(present.m_first);
  holders.Add(present.m_second);
  if (!with_joining) return holders;
  holders.Add(prospective.m_first);
  holders.Add(prospective.m_second);
  return holders;
}

}  // namespace fighatch

#endif  // FIGHATCH_FLOW_RECORD_HOLDERS_H_
