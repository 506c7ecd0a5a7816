#include "fighatch/routing_state.h"

namespace fighatch {
namespace {

template <typename Key, typename Value>
void Diff(const std::map<Key, Value>& base, const std::map<Key, Value>& next, std::vector<Value>* changed,
          std::vector<Key>* removed) {
  for (const auto& [key, value] : next) {
    const auto found = base.find(key);
    if (found == base.end() || !(found->second == value)) changed->push_back(value);
  }
  for (const auto& [key, value] : base) {
    if (!next.contains(key)) removed->push_back(key);
  }
}

}  // namespace

std::set<std::string> ServiceNames(const RoutingState& state) {
  std::set<std::string> names;
  for (const auto& [name, policy] : state.m_services) names.insert(name);
  return names;
}

RoutingUpdate MakeUpdate(const PublishedState& base, const PublishedState& next) {
  RoutingUpdate update;
  update.m_base_index = base.m_index;
  update.m_index = next.m_index;
  update.m_version = next.m_routing.m_version;
  Diff(base.m_routing.m_routes, next.m_routing.m_routes, &update.m_changed_routes, &update.m_removed_routes);
  Diff(base.m_routing.m_services, next.m_routing.m_services, &update.m_changed_services, &update.m_removed_services);
  update.m_data_centres_out.assign(next.m_data_centres_out.begin(), next.m_data_centres_out.end());
  return update;
}

bool ApplyUpdate(const RoutingUpdate& update, PublishedState* state) {
  if (update.m_index <= state->m_index) return false;
  if (update.m_base_index != 0 && update.m_base_index != state->m_index) return false;
  if (update.m_base_index == 0) state->m_routing = {};
  for (const Route& route : update.m_changed_routes) state->m_routing.m_routes[route.m_address] = route;
  for (const Endpoint& address : update.m_removed_routes) state->m_routing.m_routes.erase(address);
  for (const ServicePolicy& policy : update.m_changed_services) state->m_routing.m_services[policy.m_name] = policy;
  for (const std::string& name : update.m_removed_services) state->m_routing.m_services.erase(name);
  state->m_data_centres_out = {update.m_data_centres_out.begin(), update.m_data_centres_out.end()};
  state->m_routing.m_version = update.m_version;
  state->m_index = update.m_index;
  return true;
}

}  // namespace fighatch
