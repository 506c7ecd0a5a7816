#ifndef FIGHATCH_KEEPER_RANKS_H_
#define FIGHATCH_KEEPER_RANKS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/ids.h"
#include "fighatch/member.h"

namespace fighatch {

/// The fields of a balancer that the data path needs.
struct BalancerEntry {
  HostId m_host;
  Endpoint m_data_endpoint;
  Endpoint m_control_endpoint;
  /// True if the balancer is suspect: packets for it go to the second keeper.
  bool m_suspect = false;
};

/// The keeper and the second keeper of a flow: the balancers that hold its record while its slot is in
/// transition. The keeper decides on the packets of the flow; the second keeper stands in for it. Null where there are
/// too few balancers.
struct KeeperPair {
  const BalancerEntry* m_first = nullptr;
  const BalancerEntry* m_second = nullptr;

  /// True if the host is one of the two.
  [[nodiscard]] bool Has(HostId host) const noexcept {
    return (m_first != nullptr && m_first->m_host == host) || (m_second != nullptr && m_second->m_host == host);
  }
};

/// Ranks the balancers of each data centre by rendezvous hashing. Flows share 4,096 buckets, so that a look-up costs
/// the same for 7 balancers and for 500.
class KeeperRanks {
 public:
  KeeperRanks() = default;
  /// Ranks the members that are balancers and alive or suspect.
  explicit KeeperRanks(std::span<const Member> members);

  /// The keepers among the ready balancers. If no balancer of the data centre is ready, all count as ready.
  [[nodiscard]] KeeperPair Find(DataCentreId data_centre, std::uint64_t flow_hash) const noexcept;
  /// The keepers as they will be when the joining balancers are ready.
  [[nodiscard]] KeeperPair FindProspective(DataCentreId data_centre, std::uint64_t flow_hash) const noexcept;
  /// The balancer if it is alive or suspect; null otherwise.
  [[nodiscard]] const BalancerEntry* FindBalancer(HostId host) const noexcept;
  /// The ready balancers of a data centre; all of them if none is ready.
  [[nodiscard]] std::vector<BalancerEntry> Ready(DataCentreId data_centre) const;
  /// The balancers of a data centre that are not ready: they still receive records. Empty if none is ready.
  [[nodiscard]] std::vector<BalancerEntry> Joining(DataCentreId data_centre) const;
  /// Digest of the ready balancers of a data centre.
  [[nodiscard]] std::uint64_t ReadyDigest(DataCentreId data_centre) const noexcept;
  /// Digest of the ready and joining balancers of all data centres. If it is equal, every flow has the same keepers,
  /// now and prospectively.
  [[nodiscard]] std::uint64_t Digest() const noexcept;
  [[nodiscard]] std::size_t Bytes() const noexcept;

 private:
  /// Indexes of the two highest-ranked balancers of a bucket.
  using RankedPair = std::array<std::uint16_t, 2>;
  /// The balancers of one data centre, as indexes into `m_balancers`.
  struct DataCentreRanks {
    DataCentreId m_data_centre;
    std::vector<std::uint16_t> m_ready_balancers;
    std::vector<std::uint16_t> m_joining_balancers;
    /// The keeper and the second keeper among the ready balancers, for each bucket.
    std::vector<RankedPair> m_ready;
    /// The same among all balancers; empty if equal to `m_ready`.
    std::vector<RankedPair> m_prospective;
  };

  [[nodiscard]] const DataCentreRanks* FindDataCentreRanks(DataCentreId data_centre) const noexcept;
  [[nodiscard]] std::vector<BalancerEntry> Select(const std::vector<std::uint16_t>& indexes) const;
  [[nodiscard]] std::uint64_t DigestOf(const std::vector<std::uint16_t>& indexes) const noexcept;
  [[nodiscard]] KeeperPair PairOf(const std::vector<RankedPair>& ranks, std::uint64_t flow_hash) const noexcept;
  [[nodiscard]] static std::vector<RankedPair> RankAll(std::span<const std::uint16_t> indexes,
                                                       const std::vector<BalancerEntry>& balancers);

  /// Ascending by host id.
  std::vector<BalancerEntry> m_balancers;
  std::vector<DataCentreRanks> m_data_centres;
};

}  // namespace fighatch

#endif  // FIGHATCH_KEEPER_RANKS_H_
