#ifndef FIGHATCH_SYNC_SERVER_H_
#define FIGHATCH_SYNC_SERVER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "fighatch/routing_log.h"
#include "fighatch/sync_message.h"
#include "fighatch/time.h"

namespace fighatch {

/// Control host side of the protocol that distributes state: tracks its followers (balancers and other control hosts),
/// answers their requests, and pushes changes to them. Changes lost in transit are sent again in the answer to the
/// follower's next request. It only makes messages; the caller transmits them.
class SyncServer {
 public:
  /// A follower without a request for this long is removed.
  static constexpr Duration kFollowerTimeout = std::chrono::milliseconds(2500);

  /// See `CountInContact`. Several times the interval at which control hosts poll each other.
  static constexpr Duration kContactTimeout = std::chrono::milliseconds(1300);

  /// Refreshes go to another control host at most this often. Each of them is confirmed at once, and the answer to that
  /// would carry the next ones: two hosts would exchange messages as fast as the network allows.
  static constexpr Duration kMinRefreshInterval = std::chrono::milliseconds(100);

  /// The directory and the log must outlive the server. `incarnation` differs from that of every earlier process.
  SyncServer(HostId self, std::uint64_t incarnation, const TargetDirectory* directory, const RoutingLog* log);

  [[nodiscard]] SyncReply Answer(TimePoint now, const SyncRequest& request, bool has_quorum);

  /// The messages for followers to which changes have not been sent yet.
  [[nodiscard]] std::vector<std::pair<HostId, SyncReply>> Push(TimePoint now, bool has_quorum);

  /// Sets the control hosts that followers are told of.
  void SetControlHosts(std::set<HostId> hosts);

  /// Notes that all messages from now on carry at least the directory's present sequence. Call it after
  /// `TargetDirectory::AdvanceSequence`, once an interval.
  void RecordSequence(TimePoint now);

  /// How many of these control hosts exchange messages with this one in both directions: each has sent a request within
  /// `kContactTimeout`, which confirms a message that this host sent no earlier than `kContactTimeout` before.
  [[nodiscard]] std::size_t CountInContact(TimePoint now, const std::set<HostId>& hosts) const;

  /// How many of these control hosts have confirmed that they hold the directory change `sequence`.
  [[nodiscard]] std::size_t CountConfirmedBy(std::uint64_t sequence, const std::set<HostId>& hosts) const;

  /// How many balancers stated in their last request that they hold another state than the published one under the same
  /// index. More than 0 means that a host holds a wrong state.
  [[nodiscard]] std::size_t CountDivergent() const;

  [[nodiscard]] std::size_t FollowerCount() const noexcept { return m_followers.size(); }

 private:
  struct Follower {
    SyncRole m_role = SyncRole::kBalancer;
    std::string m_data_centre;
    TimePoint m_last_request;
    // Newest directory change that the follower has confirmed.
    std::uint64_t m_confirmed = 0;
    // The directory change, the state and the digest that the follower holds if no message to it was lost.
    std::uint64_t m_sent_sequence = 0;
    StatePosition m_sent_state;
    std::uint64_t m_sent_digest = 0;
    // The state that it stated in its last request.
    StatePosition m_stated_state;
    // When refreshes were last sent to this control host.
    TimePoint m_refreshes_sent;
  };

  [[nodiscard]] SyncReply MakeReply(TimePoint now, bool has_quorum, Follower* follower) const;
  [[nodiscard]] const Follower* FindControlHost(HostId host) const;
  void RemoveSilentFollowers(TimePoint now);
  void UpdateHostsDigest();

  HostId m_self;
  std::uint64_t m_incarnation;
  const TargetDirectory* m_directory;
  const RoutingLog* m_log;
  std::set<HostId> m_control_hosts;
  std::map<HostId, Follower> m_followers;
  std::uint64_t m_hosts_digest = 0;
  // Times of `RecordSequence` and the sequence at each, oldest first; the first one lies at least `kContactTimeout`
  // back.
  std::deque<std::pair<TimePoint, std::uint64_t>> m_recorded_sequences;
};

}  // namespace fighatch

#endif  // FIGHATCH_SYNC_SERVER_H_
