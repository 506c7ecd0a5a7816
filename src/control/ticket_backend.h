#ifndef FIGHATCH_CONTROL_TICKET_BACKEND_H_
#define FIGHATCH_CONTROL_TICKET_BACKEND_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/ticket.h"
#include "fighatch/ticket_processor.h"
#include "io/reactor.h"

namespace fighatch::daemon {

/// A member of the replicated log's configuration.
struct ReplicaMember {
  HostId m_host;
  std::uint64_t m_disk = 0;
  bool m_voter = false;
};

/// The state of the replicated log on this host, for operators and metrics.
struct ReplicaStatus {
  std::string m_role;
  /// The leader, as far as it is known here; 0 if unknown.
  HostId m_leader;
  std::uint64_t m_term = 0;
  std::uint64_t m_commit_index = 0;
  std::uint64_t m_applied_index = 0;
  std::uint64_t m_last_index = 0;
  std::vector<ReplicaMember> m_members;
};

/// The replicated ticket log as the HTTP interface of a control host uses it. All calls come from fibers of one thread.
class TicketBackend {
 public:
  virtual ~TicketBackend() = default;

  /// Replicates the ticket to a majority and applies it; suspends the fiber until then. After `kTicketNotLeader` and
  /// `kTicketNoQuorum` the ticket was not proposed here; after `kTicketOutcomeUnknown` it may still be accepted.
  [[nodiscard]] virtual TicketAnswer Submit(const Ticket& ticket) = 0;

  /// The processor that holds the state after the last entry applied on this host.
  [[nodiscard]] virtual const TicketProcessor& Processor() const = 0;

  /// Suspends the fiber until the version of the state is higher than `version` or the deadline passes.
  virtual void WaitForNewer(Version version, io::Deadline deadline) = 0;

  [[nodiscard]] virtual ReplicaStatus GetStatus() const = 0;

  /// True if the state here is up to date: this host is the leader, holds a lease and has applied all committed
  /// entries.
  [[nodiscard]] virtual bool CanServeLinearizableReads() const = 0;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_CONTROL_TICKET_BACKEND_H_
