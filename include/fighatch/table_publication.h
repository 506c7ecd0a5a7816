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

/// Remembers which version went to which host and when, so that an update is sent again until it is acknowledged.
class ResendTracker {
 public:
  /// True if the version is due for the host; counts it as sent.
  bool IsDue(HostId host, Version version, TimePoint now);

 private:
  struct Sent {
    Version m_version;
    TimePoint m_at;
  };
  std::map<HostId, Sent> m_sent;
};

/// One owner table, with the targets that it names, on its way to the hosts that follow it.
class TablePublication {
 public:
  explicit TablePublication(OwnerTransition transition, std::vector<TargetInfo> targets = {})
      : m_transition(std::move(transition)), m_targets(std::move(targets)) {}

  /// Sets the targets that the table names; raises the version if they differ from the present ones.
  void SetTargets(std::vector<TargetInfo> targets);

  /// Adds the updates that are due for these hosts.
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

/// Hands updates of other data centres on to the balancers of this one, and answers for all of them.
class TableRelay {
 public:
  /// Takes an update from its coordinator; one that is not newer changes nothing.
  void OnUpdate(const TableUpdate& update, HostId from, TimePoint now);

  /// Takes the acknowledgement of a balancer of this data centre; true if it is for a relayed table. A newer version
  /// is reported to the coordinator, which may know of it from nobody else.
  bool OnAck(const TableAck& ack);

  /// Drops a host's acknowledgements after it has restarted.
  void ForgetAcks(HostId host);

  /// Adds the updates that are due for these hosts, and one acknowledgement for each update that all of them have. The
  /// acknowledgement is sent again with `kUpdateResend` as long as the coordinator repeats the update.
  void Collect(HostId self, const std::set<HostId>& receivers, TimePoint now, std::vector<TableSend>* updates,
               std::vector<AckSend>* acks);

 private:
  struct RelayedTable {
    TableUpdate m_update;
    HostId m_from;
    std::map<HostId, std::uint32_t> m_idle_s;
    ResendTracker m_resend;
    bool m_ack_due = true;
    /// The newest version that a balancer has instead of the relayed one, until it is reported.
    std::optional<Version> m_newer;
  };
  std::map<std::pair<ServiceId, DataCentreId>, RelayedTable> m_relayed;
  std::set<HostId> m_receivers;
};

}  // namespace fighatch

#endif  // FIGHATCH_TABLE_PUBLICATION_H_
