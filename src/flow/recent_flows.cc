#include "fighatch/recent_flows.h"

namespace fighatch {

RecentFlows::RecentFlows(std::size_t size) : m_newest_ticks((size + kBlockSize - 1) / kBlockSize) {
  m_records.resize(m_newest_ticks.size() * kBlockSize);
}

std::size_t RecentFlows::Bytes() const noexcept {
  return m_records.size() * sizeof(FlowRecord) + m_newest_ticks.size() * sizeof(std::uint32_t);
}

}  // namespace fighatch
