#ifndef FIGHATCH_CONTROL_LOG_REPLICA_H_
#define FIGHATCH_CONTROL_LOG_REPLICA_H_

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

#include "control/log_writer.h"
#include "control/replicated_state_machine.h"
#include "daemon/clock.h"
#include "daemon/message_transport.h"
#include "fighatch/log_storage.h"
#include "fighatch/raft_node.h"
#include "io/reactor.h"
#include "observe/latency_histogram.h"

namespace fighatch::daemon {

/// Settings of a `LogReplica`.
struct LogReplicaOptions {
  RaftOptions m_raft;
  /// How long `LogReplica::Submit` waits for its payload to be accepted and applied.
  std::chrono::milliseconds m_submit_timeout{1000};
  /// A snapshot is taken after this many applied entries.
  std::uint64_t m_snapshot_entries = 4096;
};

/// Runs the `RaftNode` of a control host and the `ReplicatedStateMachine` behind it. One fiber owns both: it processes
/// all queued inputs, sends the messages, applies the committed entries, and leaves what is to be persisted to a
/// `LogWriter`, so that heartbeats and their replies do not wait for the disk. A storage error ends the process. While
/// the disk has no room the fiber does nothing: the host sends nothing, its leases end, and the others go on without
/// it.
class LogReplica {
 public:
  /// Called after the replay at the start, and after each step that applied entries or restored a snapshot.
  using ChangeObserver = std::function<void()>;

  LogReplica(const LogReplicaOptions& options, LogStorage* storage, StoredLog stored, ReplicatedStateMachine* machine,
             MessageTransport* transport);
  ~LogReplica();
  LogReplica(const LogReplica&) = delete;
  LogReplica& operator=(const LogReplica&) = delete;

  void Start(ChangeObserver observer);

  /// Announces that this process is about to end, see `RaftNode::AnnounceStop`. If this host leads, waits until another
  /// one does or `deadline` has passed; does not wait if this host is the only voter.
  void AnnounceStop(io::Deadline deadline);

  /// Ends the fiber that owns the node, and then the transport.
  void Stop();

  /// Proposes a payload and waits until a majority has accepted it and it is applied here. Returns the result of
  /// `ReplicatedStateMachine::Apply`. Errors: `kTicketNotLeader`, `kTicketNoQuorum` (not accepted, may be submitted
  /// again), `kTicketOutcomeUnknown`, `kTicketTooLarge` (never accepted).
  [[nodiscard]] Result<std::any> Submit(std::string payload);

  /// True if a read here returns the newest accepted state: this host is leader and holds the lease, and it has applied
  /// all committed entries.
  [[nodiscard]] bool ConfirmsReads() const;
  /// See `RaftNode::HasQuorum`.
  [[nodiscard]] bool HasQuorum() const { return m_node.HasQuorum(Now()); }

  /// Sets the hosts that get join requests, see `RaftNode::SetJoinRequestHosts`.
  void SetJoinRequestHosts(std::set<HostId> hosts);

  [[nodiscard]] const RaftNode& Node() const noexcept { return m_node; }
  [[nodiscard]] LogIndex AppliedIndex() const noexcept { return m_applied; }

  /// Durations of writes to the storage, syncs included.
  [[nodiscard]] const observe::LatencyHistogram& PersistLatency() const noexcept { return m_writer.Latency(); }

 private:
  using Input = std::function<void(TimePoint now)>;
  using ProposalId = std::pair<LogIndex, Term>;
  // A proposal whose submitter waits for the result.
  struct PendingProposal {
    std::optional<Result<std::any>> m_result;
  };

  void Enqueue(Input input);
  void ReceiveMessage(const std::vector<std::byte>& bytes);
  void Loop();
  void WaitForInput();
  void Replay();
  void Step();
  void Restore(const RaftSnapshot& snapshot);
  void Apply(const LogEntry& entry);
  void CompletePending(const LogEntry& entry, const std::any& result);
  void MaybeCompact();
  void LogRoleChange();
  void LogMembershipChange();
  void LogRefusedJoins(const RaftOutput& output);
  void Propose(std::string payload, const std::shared_ptr<PendingProposal>& pending, TimePoint now);
  [[nodiscard]] Error NotLeaderError() const;

  LogReplicaOptions m_options;
  ReplicatedStateMachine* m_state_machine;
  MessageTransport* m_transport;
  ChangeObserver m_observer;
  LogWriter m_writer;
  RaftNode m_node;
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
  RaftConfiguration m_logged_configuration;
  // The reason that was logged last for each host that asks to join; it asks several times a second.
  std::map<HostId, JoinRefusal> m_logged_refusals;
  bool m_stopping = false;
};

}  // namespace fighatch::daemon

#endif  // FIGHATCH_CONTROL_LOG_REPLICA_H_
