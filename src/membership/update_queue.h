#ifndef FIGHATCH_MEMBERSHIP_UPDATE_QUEUE_H_
#define FIGHATCH_MEMBERSHIP_UPDATE_QUEUE_H_

#include <cstddef>
#include <vector>

#include "fighatch/ids.h"

namespace fighatch::membership {

/// Chooses the changes that ride on the next message: those that were sent least often first, each at most a bounded
/// number of times.
class UpdateQueue {
 public:
  /// Starts sending the news of a member, from the beginning if it was being sent.
  void Add(HostId host);

  /// Members whose news go on the next message. Each counts as sent once.
  [[nodiscard]] std::vector<HostId> Take(std::size_t max_count, std::size_t member_count);

  /// Stops sending all news.
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
