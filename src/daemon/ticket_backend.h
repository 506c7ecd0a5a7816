#ifndef FIGHATCH_DAEMON_TICKET_BACKEND_H_
#define FIGHATCH_DAEMON_TICKET_BACKEND_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/ticket.h"
#include "fighatch/ticket_processor.h"
#include "io/reactor.h"

namespace fighatch::daemon {

/// A control host as the replicated log knows it.
struct ReplicaMember {
  HostId m_host;
  std::uint64_t m_disk = 0;
  bool m_voter = false;
};

/// How a control host stands in the replicated log.
struct ReplicaStatus {
  std::string m_role;
  /// The leader that is known; 0 if there is none.
  HostId m_leader;
  std::uint64_t m_term = 0;
  std::uint64_t m_commit_index = 0;
  std::uint64_t m_applied_index = 0;
  std::uint64_t m_last_index = 0;
  std::vector<ReplicaMember> m_members;
};

/// What the HTTP interface needs from the replicated log. All calls come from fibers of one thread.
class TicketBackend {
 public:
  virtual ~TicketBackend() = default;

  /// Brings the ticket to a majority and applies it; suspends the fiber. After `kTicketNotLeader` and
  /// `kTicketNoQuorum` the ticket was not proposed here; after `kTicketOutcomeUnknown` it may still be accepted.
  [[nodiscard]] virtual TicketAnswer Submit(const Ticket& ticket) = 0;

  /// The state machine at the newest entry that was applied here.
  [[nodiscard]] virtual const TicketProcessor& Processor() const = 0;

  /// Suspends the fiber until the state is newer than `version` or the deadline passes.
  virtual void WaitForNewer(Version version, io::Deadline deadline) = 0;

  [[nodiscard]] virtual ReplicaStatus GetStatus() const = 0;

  /// True if the state here is up to date: this host is the leader and holds a lease.
  [[nodiscard]] virtual bool CanServeLinearizableReads() const = 0;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_TICKET_BACKEND_H_
