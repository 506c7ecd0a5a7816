#ifndef FIGHATCH_SYNC_SERVER_H_
#define FIGHATCH_SYNC_SERVER_H_

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "fighatch/routing_log.h"
#include "fighatch/sync_message.h"
#include "fighatch/time.h"

namespace fighatch {

/// A control host's side of the distribution of state: remembers its followers, answers their requests, and tells them
/// of changes unasked. What a follower missed it gets with the answer to its next request.
class SyncServer {
 public:
  /// A follower that has not asked for this long is forgotten.
  static constexpr Duration kFollowerTimeout = std::chrono::milliseconds(2500);

  /// The directory and the log must outlive the server. `incarnation` differs from that of every earlier process.
  SyncServer(HostId self, std::uint64_t incarnation, const TargetDirectory* directory, const RoutingLog* log);

  [[nodiscard]] SyncReply Answer(TimePoint now, const SyncRequest& request, bool has_quorum);

  /// The messages that followers need because of changes since the last call.
  [[nodiscard]] std::vector<std::pair<HostId, SyncReply>> Push(TimePoint now, bool has_quorum);

  /// The control hosts to tell followers of.
  void SetControlHosts(std::set<HostId> hosts);

  /// How many of these hosts have confirmed the directory change.
  [[nodiscard]] std::size_t CountConfirmedBy(std::uint64_t sequence, const std::set<HostId>& hosts) const;

  [[nodiscard]] std::size_t FollowerCount() const noexcept { return m_followers.size(); }

 private:
  struct Follower {
    SyncRole m_role = SyncRole::kBalancer;
    std::string m_data_centre;
    TimePoint m_last_request;
    std::uint64_t m_confirmed = 0;
    std::uint64_t m_sent_sequence = 0;
    std::uint64_t m_sent_index = 0;
    std::uint64_t m_sent_digest = 0;
  };

  [[nodiscard]] SyncReply MakeReply(TimePoint now, bool has_quorum, Follower* follower) const;
  void RemoveSilentFollowers(TimePoint now);
  void UpdateHostsDigest();

  HostId m_self;
  std::uint64_t m_incarnation;
  const TargetDirectory* m_directory;
  const RoutingLog* m_log;
  std::set<HostId> m_control_hosts;
  std::map<HostId, Follower> m_followers;
  std::uint64_t m_hosts_digest = 0;
};

}  // namespace fighatch

#endif  // FIGHATCH_SYNC_SERVER_H_
