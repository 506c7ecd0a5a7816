#include "fighatch/placed_flow_table.h"

#include <utility>

#include "fighatch/hash.h"

std::size_t std::hash<fighatch::FlowEndpoints>::operator()(const fighatch::FlowEndpoints& endpoints) const noexcept {
  const auto hash_endpoint = [](const fighatch::Endpoint& endpoint, std::uint64_t seed) {
    return fighatch::HashBytes(std::as_bytes(std::span(endpoint.m_address.m_bytes)), seed + endpoint.m_port);
  };
  return hash_endpoint(endpoints.m_service, hash_endpoint(endpoints.m_client, 0));
}

namespace fighatch {

PlacedFlow* PlacedFlowTable::Find(const FlowEndpoints& endpoints) {
  const auto found = m_flows.find(endpoints);
  return found == m_flows.end() ? nullptr : &found->second;
}

bool PlacedFlowTable::Put(const FlowEndpoints& endpoints, const PlacedFlow& flow) {
  if (m_flows.size() >= kMaxFlows && !m_flows.contains(endpoints)) return false;
  m_flows.insert_or_assign(endpoints, flow);
  return true;
}

std::optional<PlacedFlow> PlacedFlowTable::Take(const FlowEndpoints& endpoints) {
  const auto found = m_flows.find(endpoints);
  if (found == m_flows.end()) return std::nullopt;
  const PlacedFlow flow = found->second;
  m_flows.erase(found);
  return flow;
}

std::vector<PlacedFlow> PlacedFlowTable::RemoveIdle(TimePoint now, Duration idle) {
  std::vector<PlacedFlow> taken;
  std::erase_if(m_flows, [&](const auto& entry) {
    if (now - entry.second.m_last_packet <= idle) return false;
    taken.push_back(entry.second);
    return true;
  });
  return taken;
}

}  // namespace fighatch
