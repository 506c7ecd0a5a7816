#include "membership/update_queue.h"

#include <algorithm>
#include <bit>

namespace fighatch::membership {
namespace {

/// Messages for each doubling of the number of members; three reach all of them with a probability near one.
constexpr std::size_t kSendsPerDoubling = 3;

}  // namespace

void UpdateQueue::Add(HostId host) {
  std::erase_if(m_entries, [host](const Entry& entry) { return entry.m_host == host; });
  m_entries.insert(m_entries.begin(), {host, 0});
}

std::vector<HostId> UpdateQueue::Take(std::size_t count, std::size_t members) {
  const std::size_t limit = kSendsPerDoubling * static_cast<std::size_t>(std::bit_width(members + 1));
  std::stable_sort(m_entries.begin(), m_entries.end(),
                   [](const Entry& left, const Entry& right) { return left.m_sent < right.m_sent; });
  std::vector<HostId> hosts;
  for (Entry& entry : m_entries) {
    if (hosts.size() >= count) break;
    hosts.push_back(entry.m_host);
    ++entry.m_sent;
  }
  std::erase_if(m_entries, [limit](const Entry& entry) { return entry.m_sent >= limit; });
  return hosts;
}

}  // namespace fighatch::membership
