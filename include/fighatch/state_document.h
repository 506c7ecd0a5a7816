#ifndef FIGHATCH_STATE_DOCUMENT_H_
#define FIGHATCH_STATE_DOCUMENT_H_

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/flow_key.h"
#include "fighatch/ids.h"

namespace fighatch {

/// How packets of a service are carried.
enum class ServiceMode : std::uint8_t {
  /// Packets are forwarded to the target, which answers the caller directly.
  kFlow = 0,
  /// Each datagram is an HTTP request that a balancer dispatches.
  kRequest = 1,
};

/// "flow" or "request".
[[nodiscard]] std::string_view ServiceModeName(ServiceMode mode) noexcept;

/// Whether a data centre is in service, as operators set it.
enum class DataCentreState : std::uint8_t { kIn = 0, kOut = 1 };

/// "in" or "out".
[[nodiscard]] std::string_view DataCentreStateName(DataCentreState state) noexcept;

/// An address at which callers reach a service.
struct ServiceAddress {
  Endpoint m_endpoint;
  Transport m_transport = Transport::kTcp;

  friend auto operator<=>(const ServiceAddress&, const ServiceAddress&) = default;  // NOLINT(modernize-use-nullptr)

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_endpoint, m_transport);
  }
};

/// Which targets may announce themselves for a service: those with addresses in a prefix, in one data centre.
struct AdmissionRule {
  Cidr m_prefix;
  /// Name of the data centre in which the rule holds.
  std::string m_data_centre;

  friend bool operator==(const AdmissionRule&, const AdmissionRule&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_prefix, m_data_centre);
  }
};

/// The share of a service's flows that a data centre takes, relative to the other weights.
struct DataCentreWeight {
  std::string m_data_centre;
  std::uint32_t m_weight = 1;

  friend bool operator==(const DataCentreWeight&, const DataCentreWeight&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_data_centre, m_weight);
  }
};

/// Size of a service's slot table unless its ticket sets another one.
inline constexpr std::uint32_t kDefaultHashSlots = 16384;

/// A service as operators describe it.
struct Service {
  std::string m_name;
  ServiceId m_id;
  ServiceMode m_mode = ServiceMode::kFlow;
  std::vector<ServiceAddress> m_addresses;
  std::vector<AdmissionRule> m_admission;
  std::vector<DataCentreWeight> m_weights;
  /// Size of the slot table, a power of two.
  std::uint32_t m_hash_slots = kDefaultHashSlots;
  /// Paths whose requests may run more than once although their method is not GET or HEAD.
  std::vector<std::string> m_idempotent_paths;
  /// True if a target's answer 503 proves that the request was not run.
  bool m_shed_means_not_run = true;
  /// The ticket that set this service last.
  TicketNumber m_ticket;

  friend bool operator==(const Service&, const Service&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_name, m_id, m_mode, m_addresses, m_admission, m_weights, m_hash_slots, m_idempotent_paths,
            m_shed_means_not_run, m_ticket);
  }
};

/// A data centre as operators describe it.
struct DataCentre {
  std::string m_name;
  DataCentreId m_id;
  DataCentreState m_state = DataCentreState::kIn;
  std::string m_region;
  /// The ticket that set this data centre last.
  TicketNumber m_ticket;

  friend bool operator==(const DataCentre&, const DataCentre&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_name, m_id, m_state, m_region, m_ticket);
  }
};

/// The whole replicated state that balancers follow: the result of all tickets accepted up to one version.
struct StateDocument {
  Version m_version;
  std::map<std::string, Service> m_services;
  std::map<std::string, DataCentre> m_data_centres;
  /// The highest service id and data centre id assigned so far; ids are not reused.
  std::uint32_t m_last_service_id = 0;
  std::uint16_t m_last_data_centre_id = 0;
  /// The highest numbers of tickets in force, ascending; see `kMaxRecentTickets`.
  std::vector<TicketNumber> m_recent_tickets;

  friend bool operator==(const StateDocument&, const StateDocument&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_version, m_services, m_data_centres, m_last_service_id, m_last_data_centre_id, m_recent_tickets);
  }
};

/// Encodes the document in cereal's portable binary form.
[[nodiscard]] std::vector<std::byte> EncodeState(const StateDocument& state);

/// Decodes what `EncodeState` wrote. Errors: `kMessageMalformed`.
[[nodiscard]] Result<StateDocument> DecodeState(std::span<const std::byte> bytes);

/// A digest of the content (XXH3 of the encoded form), equal on every host with equal state.
[[nodiscard]] std::uint64_t StateDigest(const StateDocument& state);

}  // namespace fighatch

#endif  // FIGHATCH_STATE_DOCUMENT_H_
