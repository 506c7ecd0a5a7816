#ifndef FIGHATCH_TABLE_PUBLICATION_H_
#define FIGHATCH_TABLE_PUBLICATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "fighatch/owner_transition.h"

namespace fighatch {

/// An unacknowledged update is sent again after this time.
inline constexpr Duration kUpdateResend = std::chrono::milliseconds(300);

/// An update to send.
struct TableSend {
  HostId m_to;
  TableUpdate m_update;
};

/// An acknowledgement to send.
struct AckSend {
  HostId m_to;
  TableAck m_ack;
};

/// Tracks which version was sent to which host and when, so that an update is repeated until it is acknowledged.
class ResendTracker {
 public:
  /// Returns true if the version is due for the host, and then records it as sent.
  bool IsDue(HostId host, Version version, TimePoint now);

 private:
  struct Sent {
    Version m_version;
    TimePoint m_at;
  };
  std::map<HostId, Sent> m_sent;
};

/// Publishes one owner table, with the targets that it names, to its receivers until each has acknowledged the current
/// version.
class TablePublication {
 public:
  explicit TablePublication(OwnerTransition transition, std::vector<TargetInfo> targets = {})
      : m_transition(std::move(transition)), m_targets(std::move(targets)) {}

  /// Sets the targets that the table names; raises the version if they differ from the current ones.
  void SetTargets(std::vector<TargetInfo> targets);

  /// Appends the updates that are due for these hosts.
  void Collect(const std::set<HostId>& receivers, TimePoint now, std::vector<TableSend>* out);

  [[nodiscard]] OwnerTransition& Transition() noexcept { return m_transition; }
  [[nodiscard]] const OwnerTransition& Transition() const noexcept { return m_transition; }
  [[nodiscard]] const std::vector<TargetInfo>& Targets() const noexcept { return m_targets; }

 private:
  OwnerTransition m_transition;
  std::vector<TargetInfo> m_targets;
  std::set<HostId> m_receivers;
  ResendTracker m_resend;
};

/// Relays table updates of other data centres to the balancers of this one, and acknowledges them on behalf of all.
class TableRelay {
 public:
  /// Stores an update from its coordinator; one that is not newer is only acknowledged again.
  void OnUpdate(const TableUpdate& update, HostId from, TimePoint now);

  /// Records the acknowledgement of a balancer of this data centre; returns true if it is for the relayed version. A
  /// newer version is reported to the coordinator, which may not learn of it from any other host.
  bool OnAck(const TableAck& ack);

  /// Drops a host's acknowledgements after it has restarted.
  void ForgetAcks(HostId host);

  /// Appends the updates that are due for these hosts, and one acknowledgement for each update that all of them have
  /// acknowledged. The acknowledgement is repeated each time the coordinator repeats the update (`kUpdateResend`).
  void Collect(HostId self, const std::set<HostId>& receivers, TimePoint now, std::vector<TableSend>* updates,
               std::vector<AckSend>* acks);

 private:
  struct RelayedTable {
    TableUpdate m_update;
    HostId m_from;
    std::map<HostId, std::uint32_t> m_idle_s;
    ResendTracker m_resend;
    bool m_ack_due = true;
    /// The newest version above the relayed one that a balancer has acknowledged, until it is reported.
    std::optional<Version> m_newer;
  };
  std::map<std::pair<ServiceId, DataCentreId>, RelayedTable> m_relayed;
  std::set<HostId> m_receivers;
};

}  // namespace fighatch

#endif  // FIGHATCH_TABLE_PUBLICATION_H_
