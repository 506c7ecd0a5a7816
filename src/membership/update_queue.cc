#include "membership/update_queue.h"

#include <algorithm>
#include <bit>

namespace fighatch::membership {
namespace {

/// Sends of an update per doubling of the number of members; three reach all members with a probability near one.
constexpr std::size_t kSendsPerDoubling = 3;

}  // namespace

void UpdateQueue::Add(HostId host) {
  std::erase_if(m_entries, [host](const Entry& entry) { return entry.m_host == host; });
  m_entries.insert(m_entries.begin(), {host, 0});
}

std::vector<HostId> UpdateQueue::Take(std::size_t max_count, std::size_t member_count) {
  const std::size_t max_sends = kSendsPerDoubling * static_cast<std::size_t>(std::bit_width(member_count + 1));
  std::stable_sort(m_entries.begin(), m_entries.end(),
                   [](const Entry& left, const Entry& right) { return left.m_send_count < right.m_send_count; });
  std::vector<HostId> hosts;
  for (Entry& entry : m_entries) {
    if (hosts.size() >= max_count) break;
    hosts.push_back(entry.m_host);
    ++entry.m_send_count;
  }
  std::erase_if(m_entries, [max_sends](const Entry& entry) { return entry.m_send_count >= max_sends; });
  return hosts;
}

}  // namespace fighatch::membership
