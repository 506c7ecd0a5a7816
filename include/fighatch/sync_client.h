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

/// Identity of a `SyncClient`'s host, and how many control hosts it follows.
struct SyncClientOptions {
  HostId m_self;
  SyncRole m_role = SyncRole::kBalancer;
  std::string m_data_centre;
  /// Number of control hosts polled in each interval. More than one, since a single one may be partitioned from the
  /// others.
  std::size_t m_polled_control_hosts = 3;
};

/// Follower side of the protocol that distributes state from control hosts: discovers control hosts from seeds, polls
/// several of them, and switches to others when one is silent or has lost contact with a majority. Balancers use it to
/// follow control hosts, and control hosts to follow each other. It only makes requests and evaluates replies; the
/// caller transmits them.
class SyncClient {
 public:
  /// A control host counts as silent this long after its last reply.
  static constexpr Duration kReplyTimeout = std::chrono::milliseconds(1300);

  explicit SyncClient(SyncClientOptions options) : m_options(std::move(options)) {}

  /// Sets the control hosts from the settings. They are polled in addition to those learned from replies.
  void SetSeeds(std::set<HostId> seeds) { m_seeds = std::move(seeds); }

  /// The requests to send now; call it once an interval. `state` is the published state that the host holds.
  [[nodiscard]] std::vector<std::pair<HostId, SyncRequest>> Tick(TimePoint now, const StatePosition& state);

  /// Processes a reply; the caller merges the targets and the update that it holds. Returns true if the reply continued
  /// the sequence of target changes with at least one change, which a control host confirms at once.
  bool Receive(TimePoint now, const SyncReply& reply);

  /// A request to one host, which also confirms the changes received from it.
  [[nodiscard]] SyncRequest RequestTo(HostId host, const StatePosition& state) const;

  /// True if a control host in contact with a majority has replied within `kReplyTimeout`.
  [[nodiscard]] bool IsCurrent(TimePoint now) const;
  /// True if any control host has replied within `kReplyTimeout`.
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
    // Digest of the control host's lists of hosts, and the balancers that follow it.
    std::uint64_t m_hosts_digest = 0;
    std::vector<BalancerPeer> m_balancers;
  };

  void MergeBalancers();
  [[nodiscard]] bool RepliedRecently(TimePoint now, const Link& link) const;

  SyncClientOptions m_options;
  std::set<HostId> m_seeds;
  std::set<HostId> m_control_hosts;
  // Union of the balancers over all links, in ascending order.
  std::vector<BalancerPeer> m_balancers;
  std::map<HostId, Link> m_links;
  // Round-robin index over the control hosts that are silent or without a majority.
  std::size_t m_next_retry = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_SYNC_CLIENT_H_
