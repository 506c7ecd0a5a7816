#ifndef FIGHATCH_TABLE_UPDATE_H_
#define FIGHATCH_TABLE_UPDATE_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "fighatch/address.h"
#include "fighatch/ids.h"

namespace fighatch {

/// State of a target: as it announced it, or `kSuspect` if its announcements have ceased.
enum class TargetState : std::uint8_t { kStarting = 0, kServing = 1, kDraining = 2, kStopped = 3, kSuspect = 4 };

/// "starting", "serving", "draining", "stopped" or "suspect".
[[nodiscard]] std::string_view TargetStateName(TargetState state) noexcept;

/// Description of a target: identity, endpoints, state and capacity.
struct TargetInfo {
  TargetId m_id;
  ServiceId m_service;
  DataCentreId m_data_centre;
  /// Where the target's kernel receives GUE; used by services in flow mode.
  Endpoint m_gue_endpoint;
  /// Where the target's HTTP server listens; used by services in request mode and for health checks.
  Endpoint m_http_endpoint;
  Incarnation m_incarnation;
  TargetState m_state = TargetState::kStarting;
  /// Maximum number of requests in progress when the target is warm.
  std::uint32_t m_slots = 0;
  /// Maximum number of open connections.
  std::uint32_t m_connections = 0;

  friend bool operator==(const TargetInfo&, const TargetInfo&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_id, m_service, m_data_centre, m_gue_endpoint, m_http_endpoint, m_incarnation, m_state, m_slots,
            m_connections);
  }
};

/// A possible owner of hash slots with its weight: a target (level 2) or a data centre (level 1).
struct OwnerEntry {
  /// Value of the `TargetId` or of the `DataCentreId`.
  std::uint64_t m_id = 0;
  /// Share of the slots relative to the other weights; 0 owns none.
  std::uint16_t m_weight = 0;

  friend bool operator==(const OwnerEntry&, const OwnerEntry&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_id, m_weight);
  }
};

/// Phase of a change of owners.
enum class TransitionPhase : std::uint8_t {
  /// `m_base` equals `m_current` and there is no next list.
  kSettled = 0,
  /// `m_next` is announced: packets of the slots that it changes go to the keepers of those slots, and new flows are
  /// still assigned by `m_current`.
  kLearning = 1,
  /// New flows are assigned by `m_current`; flows without a record belong to `m_base`.
  kMoving = 2,
};

/// "settled", "learning" or "moving".
[[nodiscard]] std::string_view TransitionPhaseName(TransitionPhase phase) noexcept;

/// The owners of one service's hash slots at one level, at one version. The owner of a slot by a list is a pure
/// function of the list (weighted rendezvous hashing), so no slots are sent.
struct OwnerTable {
  ServiceId m_service;
  /// The data centre whose targets the lists hold (level 2); 0 for the shares of data centres (level 1).
  DataCentreId m_data_centre;
  Version m_version;
  TransitionPhase m_phase = TransitionPhase::kSettled;
  /// Oldest owners that may hold flows.
  std::vector<OwnerEntry> m_base;
  /// Lists that were `m_current` between `m_base` and the present one, oldest first. A slot that moved away and back
  /// has the same owner in base and current, but may have flows at the owner in between.
  std::vector<std::vector<OwnerEntry>> m_past;
  /// Owners to which new flows are assigned.
  std::vector<OwnerEntry> m_current;
  /// The next value of `m_current`; used only in phase `kLearning`.
  std::vector<OwnerEntry> m_next;

  friend bool operator==(const OwnerTable&, const OwnerTable&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_service, m_data_centre, m_version, m_phase, m_base, m_past, m_current, m_next);
  }
};

/// A table with the targets that it names; sent by the coordinator, applied if the version is newer.
struct TableUpdate {
  OwnerTable m_table;
  std::vector<TargetInfo> m_targets;

  friend bool operator==(const TableUpdate&, const TableUpdate&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_table, m_targets);
  }
};

/// A balancer's answer to a table update.
struct TableAck {
  HostId m_host;
  ServiceId m_service;
  DataCentreId m_data_centre;
  Version m_version;
  /// Seconds since a packet last went to a target that is not the owner of its slot by `m_current`.
  std::uint32_t m_base_idle_s = 0;

  friend bool operator==(const TableAck&, const TableAck&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_host, m_service, m_data_centre, m_version, m_base_idle_s);
  }
};

}  // namespace fighatch

#endif  // FIGHATCH_TABLE_UPDATE_H_
