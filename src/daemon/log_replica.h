#ifndef FIGHATCH_DAEMON_LOG_REPLICA_H_
#define FIGHATCH_DAEMON_LOG_REPLICA_H_

#include <any>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "daemon/blocking_worker.h"
#include "daemon/message_transport.h"
#include "daemon/replicated_state_machine.h"
#include "fighatch/log_storage.h"
#include "fighatch/raft_node.h"
#include "io/reactor.h"
#include "observe/latency_histogram.h"

namespace fighatch::daemon {

/// Settings of a `LogReplica`.
struct LogReplicaOptions {
  RaftOptions m_raft;
  /// How long a submitter waits for a majority.
  std::chrono::milliseconds m_submit_timeout{1000};
  /// Entries after which a snapshot is taken.
  std::uint64_t m_snapshot_entries = 4096;
};

/// Runs a `RaftNode` and the `ReplicatedStateMachine` behind it: one fiber owns both, takes all inputs that wait,
/// stores the outcome with one sync on a worker thread, and then sends and applies it. The process ends on a storage
/// error.
class LogReplica {
 public:
  /// Called after a step that applied entries or restored a snapshot.
  using ChangeObserver = std::function<void()>;

  LogReplica(const LogReplicaOptions& options, LogStorage* storage, StoredLog stored, ReplicatedStateMachine* machine,
             MessageTransport* transport);
  ~LogReplica();
  LogReplica(const LogReplica&) = delete;
  LogReplica& operator=(const LogReplica&) = delete;

  void Start(ChangeObserver observer);

  /// Hands leadership to another host and waits until that has happened or `deadline` has passed.
  void TransferLeadership(io::Deadline deadline);

  /// Ends the owner fiber and the transport.
  void Stop();

  /// Has a payload accepted by a majority and applied here. Returns what `ReplicatedStateMachine::Apply` returned.
  /// Errors: `kTicketNotLeader`, `kTicketNoQuorum` (not accepted, may be sent again), `kTicketOutcomeUnknown`.
  [[nodiscard]] Result<std::any> Submit(std::string payload);

  /// True while no newer state can have been accepted elsewhere and the state here is complete.
  [[nodiscard]] bool ConfirmsReads() const;
  /// True if this host leads with a lease or follows a leader that it heard just now.
  [[nodiscard]] bool IsInContact() const { return m_node.IsInContact(Now()); }

  /// The hosts to ask for membership, see `RaftNode::SetContacts`.
  void SetContacts(std::set<HostId> hosts);

  [[nodiscard]] const RaftNode& Node() const noexcept { return m_node; }
  [[nodiscard]] LogIndex AppliedIndex() const noexcept { return m_applied; }

  /// How long writes to the storage took, syncs included.
  [[nodiscard]] const observe::LatencyHistogram& PersistLatency() const noexcept { return m_persist_latency; }

  /// The clock of the log's leases: it goes on while the host is suspended, so that a host that wakes up finds its
  /// lease ended.
  [[nodiscard]] static TimePoint Now();

 private:
  using Input = std::function<void(TimePoint now)>;
  using ProposalId = std::pair<LogIndex, Term>;
  // A payload whose submitter waits.
  struct PendingProposal {
    std::optional<Result<std::any>> m_result;
  };

  void Enqueue(Input input);
  void ReceiveMessage(const std::vector<std::byte>& bytes);
  void Loop();
  void WaitForInput();
  void Replay();
  void Step();
  void PersistOrExit(const std::function<Status()>& write);
  void Restore(const RaftSnapshot& snapshot);
  void Apply(const LogEntry& entry);
  void CompletePending(const LogEntry& entry, const std::any& result);
  void MaybeCompact();
  void LogRoleChange();
  void Propose(std::string payload, const std::shared_ptr<PendingProposal>& pending, TimePoint now);
  [[nodiscard]] Error NotLeaderError() const;

  LogReplicaOptions m_options;
  LogStorage* m_storage;
  ReplicatedStateMachine* m_state_machine;
  MessageTransport* m_transport;
  ChangeObserver m_observer;
  BlockingWorker m_worker;
  RaftNode m_node;
  observe::LatencyHistogram m_persist_latency;
  LogIndex m_applied = 0;
  LogIndex m_snapshot_index = 0;
  std::size_t m_bytes_since_snapshot = 0;

  std::deque<Input> m_inputs;
  std::map<ProposalId, std::shared_ptr<PendingProposal>> m_pending;
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_input_added;
  boost::fibers::condition_variable m_step_completed;
  boost::fibers::fiber m_fiber;
  RaftRole m_logged_role = RaftRole::kFollower;
  Term m_logged_term = 0;
  bool m_stopping = false;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_DAEMON_LOG_REPLICA_H_
