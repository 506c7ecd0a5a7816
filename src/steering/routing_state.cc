#include "fighatch/routing_state.h"

#include <bit>

#include "fighatch/hash.h"

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

// Seeds of the hashes below, so that equal bytes in different places of the state do not add up to the same digest.
enum class DigestPart : std::uint64_t { kVersion = 1, kRoute = 2, kService = 3, kDataCentre = 4 };

std::uint64_t SeedOf(DigestPart part) { return static_cast<std::uint64_t>(part); }

std::uint64_t DigestOfVersion(std::uint64_t version) { return MixHash(SeedOf(DigestPart::kVersion), version); }

std::uint64_t DigestOf(const Route& route) {
  std::uint64_t digest =
      HashBytes(std::as_bytes(std::span(route.m_address.m_address.m_bytes)), SeedOf(DigestPart::kRoute));
  digest = MixHash(digest, route.m_address.m_port);
  for (const WeightedService& service : route.m_services) {
    digest = MixHash(HashText(service.m_service, digest), service.m_weight);
  }
  return MixHash(MixHash(digest, route.m_priority), route.m_objective_ms);
}

std::uint64_t DigestOf(const ServicePolicy& policy) {
  return MixHash(HashText(policy.m_name, SeedOf(DigestPart::kService)),
                 std::bit_cast<std::uint64_t>(policy.m_cold_flows_per_second));
}

std::uint64_t DigestOfDataCentre(const std::string& name) { return HashText(name, SeedOf(DigestPart::kDataCentre)); }

template <typename Names>
std::uint64_t DigestOfDataCentres(const Names& names) {
  std::uint64_t digest = 0;
  for (const std::string& name : names) digest += DigestOfDataCentre(name);
  return digest;
}

// The digest of the element with this key; 0 if there is none.
template <typename Key, typename Value>
std::uint64_t DigestOfHeld(const std::map<Key, Value>& held, const Key& key) {
  const auto found = held.find(key);
  return found == held.end() ? 0 : DigestOf(found->second);
}

// The digest of the state that a difference leads to.
std::uint64_t DigestAfter(const RoutingUpdate& update, const PublishedState& state) {
  std::uint64_t digest = state.m_digest;
  for (const Route& route : update.m_changed_routes) {
    digest += DigestOf(route) - DigestOfHeld(state.m_routing.m_routes, route.m_address);
  }
  for (const Endpoint& address : update.m_removed_routes) digest -= DigestOfHeld(state.m_routing.m_routes, address);
  for (const ServicePolicy& policy : update.m_changed_services) {
    digest += DigestOf(policy) - DigestOfHeld(state.m_routing.m_services, policy.m_name);
  }
  for (const std::string& name : update.m_removed_services) digest -= DigestOfHeld(state.m_routing.m_services, name);
  digest += DigestOfDataCentres(update.m_data_centres_out) - DigestOfDataCentres(state.m_data_centres_out);
  return digest + DigestOfVersion(update.m_version) - DigestOfVersion(state.m_routing.m_version);
}

void Apply(const RoutingUpdate& update, PublishedState* state) {
  for (const Route& route : update.m_changed_routes) state->m_routing.m_routes[route.m_address] = route;
  for (const Endpoint& address : update.m_removed_routes) state->m_routing.m_routes.erase(address);
  for (const ServicePolicy& policy : update.m_changed_services) state->m_routing.m_services[policy.m_name] = policy;
  for (const std::string& name : update.m_removed_services) state->m_routing.m_services.erase(name);
  state->m_data_centres_out = {update.m_data_centres_out.begin(), update.m_data_centres_out.end()};
  state->m_routing.m_version = update.m_version;
  state->m_index = update.m_position.m_index;
  state->m_digest = update.m_position.m_digest;
}

}  // namespace

std::uint64_t StateDigest(const PublishedState& state) {
  std::uint64_t digest = DigestOfVersion(state.m_routing.m_version) + DigestOfDataCentres(state.m_data_centres_out);
  for (const auto& [address, route] : state.m_routing.m_routes) digest += DigestOf(route);
  for (const auto& [name, policy] : state.m_routing.m_services) digest += DigestOf(policy);
  return digest;
}

std::set<std::string> ServiceNames(const RoutingState& state) {
  std::set<std::string> names;
  for (const auto& [name, policy] : state.m_services) names.insert(name);
  return names;
}

RoutingUpdate MakeUpdate(const PublishedState& base, const PublishedState& next) {
  RoutingUpdate update;
  update.m_base = base.Position();
  update.m_position = next.Position();
  update.m_version = next.m_routing.m_version;
  Diff(base.m_routing.m_routes, next.m_routing.m_routes, &update.m_changed_routes, &update.m_removed_routes);
  Diff(base.m_routing.m_services, next.m_routing.m_services, &update.m_changed_services, &update.m_removed_services);
  update.m_data_centres_out.assign(next.m_data_centres_out.begin(), next.m_data_centres_out.end());
  return update;
}

UpdateOutcome ApplyUpdate(const RoutingUpdate& update, PublishedState* state) {
  if (update.m_position.m_index <= state->m_index) return UpdateOutcome::kNotNewer;
  if (update.m_base.m_index == 0) {
    state->m_routing = {};
  } else if (update.m_base.m_index != state->m_index) {
    return UpdateOutcome::kOtherBase;
  } else if (update.m_base != state->Position() || update.m_position.m_digest != DigestAfter(update, *state)) {
    return UpdateOutcome::kDigestMismatch;
  }
  Apply(update, state);
  return UpdateOutcome::kApplied;
}

}  // namespace fighatch
