#ifndef FIGHATCH_TARGET_FACTS_H_
#define FIGHATCH_TARGET_FACTS_H_

#include <cstdint>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/table_update.h"

namespace fighatch {

/// The load that a target reported in its newest announcement.
struct TargetLoad {
  std::uint32_t m_requests_in_progress = 0;
  std::uint32_t m_open_connections = 0;
  std::uint64_t m_uptime_ms = 0;

  friend bool operator==(const TargetLoad&, const TargetLoad&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_requests_in_progress, m_open_connections, m_uptime_ms);
  }
};

/// The newest announcement of a target that a balancer received; ordered by (incarnation, sequence).
struct TargetFact {
  TargetInfo m_info;
  TargetLoad m_load;
  std::uint64_t m_sequence = 0;
  /// Milliseconds since the announcement arrived, by the sender's clock. An age is sent because the clocks of different
  /// hosts are not comparable.
  std::uint32_t m_age_ms = 0;
  /// True if the target has answered a health check since this incarnation began.
  bool m_healthy = false;

  friend bool operator==(const TargetFact&, const TargetFact&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_info, m_load, m_sequence, m_age_ms, m_healthy);
  }
};

/// Short form of a fact for a target of which only the sequence number, age and load have changed.
struct TargetRefresh {
  TargetId m_id;
  Incarnation m_incarnation;
  std::uint32_t m_sequence = 0;
  std::uint16_t m_age_ms = 0;
  std::uint16_t m_requests_in_progress = 0;

  friend bool operator==(const TargetRefresh&, const TargetRefresh&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_id, m_incarnation, m_sequence, m_age_ms, m_requests_in_progress);
  }
};

/// A target that was withdrawn because it refused connections; valid until a newer announcement is known.
struct TargetWithdrawal {
  TargetId m_id;
  Incarnation m_incarnation;
  std::uint64_t m_sequence = 0;

  friend bool operator==(const TargetWithdrawal&, const TargetWithdrawal&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_id, m_incarnation, m_sequence);
  }
};

/// Facts that a balancer collected from targets, sent to the coordinator of its data centre.
struct TargetFacts {
  HostId m_sender;
  std::vector<TargetFact> m_facts;
  std::vector<TargetRefresh> m_refreshes;
  std::vector<TargetWithdrawal> m_withdrawals;

  friend bool operator==(const TargetFacts&, const TargetFacts&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_sender, m_facts, m_refreshes, m_withdrawals);
  }
};

}  // namespace fighatch

#endif  // FIGHATCH_TARGET_FACTS_H_
