#ifndef FIGHATCH_SYNC_CLIENT_H_
#define FIGHATCH_SYNC_CLIENT_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fighatch/sync_message.h"
#include "fighatch/time.h"

namespace fighatch {

/// Who a `SyncClient` is and how many control hosts it follows.
struct SyncClientOptions {
  HostId m_self;
  SyncRole m_role = SyncRole::kBalancer;
  std::string m_data_centre;
  /// Control hosts that are asked in each interval. More than one, since a single one may be cut off from the others.
  std::size_t m_polled_control_hosts = 3;
};

/// A follower's side of the distribution of state: finds control hosts from seeds, follows several of them, and turns
/// to others when one is silent or out of contact with the rest. Control hosts follow each other in the same way.
class SyncClient {
 public:
  /// A control host without a reply for this long is not counted on.
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(1300);

  explicit SyncClient(SyncClientOptions options) : m_options(std::move(options)) {}

  /// Control hosts from the settings. They are asked beside those that were learned.
  void SetSeeds(std::set<HostId> seeds) { m_seeds = std::move(seeds); }

  /// The requests to send now; call it once an interval.
  [[nodiscard]] std::vector<std::pair<HostId, SyncRequest>> Tick(TimePoint now, std::uint64_t state_index);

  /// Takes note of a reply; the caller merges the targets and the update that it holds. Returns true if the reply had
  /// target changes that fit, so that a control host confirms them at once.
  bool Receive(TimePoint now, const SyncReply& reply);

  /// A request to one host, which also confirms what was received from it.
  [[nodiscard]] SyncRequest RequestTo(HostId host, std::uint64_t state_index) const;

  /// True if a control host that is in contact with the others replied a short time ago.
  [[nodiscard]] bool IsCurrent(TimePoint now) const;
  /// True if any control host replied a short time ago.
  [[nodiscard]] bool HasRecentReply(TimePoint now) const;

  /// Seeds and learned control hosts without this host.
  [[nodiscard]] std::set<HostId> Contacts() const;
  [[nodiscard]] const std::vector<BalancerPeer>& Balancers() const noexcept { return m_balancers; }

 private:
  struct Link {
    SyncPosition m_position;
    TimePoint m_replied;
    bool m_has_replied = false;
    bool m_has_quorum = false;
    // The balancers that follow this control host, with the digest of its lists.
    std::uint64_t m_hosts_digest = 0;
    std::vector<BalancerPeer> m_balancers;
  };

  void MergeBalancers();
  [[nodiscard]] bool RepliedRecently(TimePoint now, const Link& link) const;

  SyncClientOptions m_options;
  std::set<HostId> m_seeds;
  std::set<HostId> m_control_hosts;
  // Union over all links, in ascending order.
  std::vector<BalancerPeer> m_balancers;
  std::map<HostId, Link> m_links;
  // Rotates over the hosts that do not reply.
  std::size_t m_next_retry = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_SYNC_CLIENT_H_
