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

/// Names a published state. The index alone would not do: if two hosts ever held different states under one index, a
/// difference from one of them would be applied to the other.
struct StatePosition {
  /// Index of the last log entry that changed the state; a higher one is newer. 0 if there is no state.
  std::uint64_t m_index = 0;
  /// See `StateDigest`.
  std::uint64_t m_digest = 0;

  friend bool operator==(const StatePosition&, const StatePosition&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_index, m_digest);
  }
};

/// The state that control hosts publish to balancers: the routing state and the data centres that are out of service.
struct PublishedState {
  /// Index of the last log entry that changed the state; a higher one is newer.
  std::uint64_t m_index = 0;
  RoutingState m_routing;
  std::set<std::string> m_data_centres_out;
  /// Digest of the content, set by whoever publishes the state.
  std::uint64_t m_digest = 0;

  [[nodiscard]] StatePosition Position() const noexcept { return {m_index, m_digest}; }
};

/// Digest of a state's content, the same on every host: the sum of the hashes of its routes, services, data centres and
/// version. An update changes it by what the update changes, so that a follower need not hash the whole state again.
[[nodiscard]] std::uint64_t StateDigest(const PublishedState& state);

/// The difference between two published states, as it is sent to balancers.
struct RoutingUpdate {
  /// The state that the update applies to; index 0 if it holds the whole state.
  StatePosition m_base;
  /// The state that it leads to.
  StatePosition m_position;
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
    archive(m_base, m_position, m_version, m_changed_routes, m_removed_routes, m_changed_services, m_removed_services,
            m_data_centres_out);
  }
};

/// The update that turns `base` into `next`; pass a default-constructed base for the whole state.
[[nodiscard]] RoutingUpdate MakeUpdate(const PublishedState& base, const PublishedState& next);

/// Effect of an update on a follower's state. Only `kApplied` changes it.
enum class UpdateOutcome : std::uint8_t {
  kApplied = 0,
  /// The state is as new or newer: the update was late, or another control host was first.
  kNotNewer = 1,
  /// The update applies to a state of another index, for example because a message was lost. The next one will fit,
  /// since followers state what they hold.
  kOtherBase = 2,
  /// The update applies to another state of the same index, or does not lead to the content that it names. Some host
  /// holds a wrong state, so the follower must ask for the whole state.
  kDigestMismatch = 3,
};

/// Applies an update. A whole state is taken as it is; a difference must start at this state and lead to the digest
/// that it names.
[[nodiscard]] UpdateOutcome ApplyUpdate(const RoutingUpdate& update, PublishedState* state);

}  // namespace fighatch

#endif  // FIGHATCH_ROUTING_STATE_H_
