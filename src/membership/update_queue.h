#ifndef FIGHATCH_MEMBERSHIP_UPDATE_QUEUE_H_
#define FIGHATCH_MEMBERSHIP_UPDATE_QUEUE_H_

#include <cstddef>
#include <vector>

#include "fighatch/ids.h"

namespace fighatch::membership {

/// The members whose updates are being disseminated. Updates that were sent least often go first, and each is sent a
/// number of times that grows with the logarithm of the number of members.
class UpdateQueue {
 public:
  /// Queues the update of a member; resets its send count if it is queued already.
  void Add(HostId host);

  /// Members whose updates go into the next message, at most `max_count`. Each counts as sent once. `member_count` sets
  /// how often an update is sent.
  [[nodiscard]] std::vector<HostId> Take(std::size_t max_count, std::size_t member_count);

  /// Drops all queued updates.
  void Clear() noexcept { m_entries.clear(); }

 private:
  struct Entry {
    HostId m_host;
    std::size_t m_send_count = 0;
  };

  std::vector<Entry> m_entries;
};

}  // namespace fighatch::membership

#endif  // FIGHATCH_MEMBERSHIP_UPDATE_QUEUE_H_
