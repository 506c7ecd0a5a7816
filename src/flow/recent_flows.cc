#include "fighatch/recent_flows.h"

namespace fighatch {

RecentFlows::RecentFlows(std::size_t size) : m_newest((size + kBlock - 1) / kBlock) {
  m_records.resize(m_newest.size() * kBlock);
}

std::size_t RecentFlows::Bytes() const noexcept {
  return m_records.size() * sizeof(FlowRecord) + m_newest.size() * sizeof(std::uint32_t);
}

}  // namespace fighatch
