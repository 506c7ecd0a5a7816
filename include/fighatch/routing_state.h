#ifndef FIGHATCH_ROUTING_STATE_H_
#define FIGHATCH_ROUTING_STATE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fighatch/address.h"

namespace fighatch {

/// A service that takes a share of a route's new flows.
struct WeightedService {
  std::string m_service;
  std::uint32_t m_weight = 1;

  friend bool operator==(const WeightedService&, const WeightedService&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_service, m_weight);
  }
};

/// Where new flows to one public address and port go.
struct Route {
  Endpoint m_address;
  std::vector<WeightedService> m_services;
  /// Priority of the route's flows when not all flows can be served; 0 is the highest.
  std::uint32_t m_priority = 0;
  /// Latency objective in milliseconds: a slower answer is of less use to the caller. 0 if there is none.
  std::uint32_t m_objective_ms = 0;

  friend bool operator==(const Route&, const Route&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_address, m_services, m_priority, m_objective_ms);
  }
};

/// Settings of a service that balancers need, apart from its targets.
struct ServicePolicy {
  std::string m_name;
  /// Maximum rate of new flows to a cold target, in flows per second summed over all balancers; 0 sets no limit.
  double m_cold_flows_per_second = 0;

  friend bool operator==(const ServicePolicy&, const ServicePolicy&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_name, m_cold_flows_per_second);
  }
};

/// The routes and services that one operator document describes.
struct RoutingState {
  /// The operator's version number; the highest one is in force.
  std::uint64_t m_version = 0;
  std::map<Endpoint, Route> m_routes;
  std::map<std::string, ServicePolicy> m_services;

  friend bool operator==(const RoutingState&, const RoutingState&) = default;
};

/// The names of the services that a routing state has.
[[nodiscard]] std::set<std::string> ServiceNames(const RoutingState& state);

/// The state that control hosts publish to balancers: the routing state and the data centres that are out of service.
struct PublishedState {
  /// Index of the last log entry that changed the state; a higher one is newer.
  std::uint64_t m_index = 0;
  RoutingState m_routing;
  std::set<std::string> m_data_centres_out;
};

/// The difference between two published states, as it is sent to balancers.
struct RoutingUpdate {
  /// The state that the update applies to; 0 if it holds the whole state.
  std::uint64_t m_base_index = 0;
  std::uint64_t m_index = 0;
  std::uint64_t m_version = 0;
  std::vector<Route> m_changed_routes;
  std::vector<Endpoint> m_removed_routes;
  std::vector<ServicePolicy> m_changed_services;
  std::vector<std::string> m_removed_services;
  /// Always the whole list.
  std::vector<std::string> m_data_centres_out;

  friend bool operator==(const RoutingUpdate&, const RoutingUpdate&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_base_index, m_index, m_version, m_changed_routes, m_removed_routes, m_changed_services,
            m_removed_services, m_data_centres_out);
  }
};

/// The update that turns `base` into `next`; pass a default-constructed base for the whole state.
[[nodiscard]] RoutingUpdate MakeUpdate(const PublishedState& base, const PublishedState& next);

/// Applies an update. Returns false and changes nothing if it is not newer than the state or applies to another base.
bool ApplyUpdate(const RoutingUpdate& update, PublishedState* state);

}  // namespace fighatch

#endif  // FIGHATCH_ROUTING_STATE_H_
