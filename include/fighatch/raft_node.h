#ifndef FIGHATCH_RAFT_NODE_H_
#define FIGHATCH_RAFT_NODE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fighatch/log_storage.h"
#include "fighatch/raft_log.h"
#include "fighatch/raft_message.h"
#include "fighatch/random.h"
#include "fighatch/time.h"

namespace fighatch {

/// What a host does in the group.
enum class RaftRole : std::uint8_t { kFollower = 0, kPreCandidate = 1, kCandidate = 2, kLeader = 3 };

/// "follower", "pre_candidate", "candidate" or "leader".
[[nodiscard]] std::string_view RaftRoleName(RaftRole role) noexcept;

/// Timings and limits of a `RaftNode`.
struct RaftOptions {
  Duration m_heartbeat = std::chrono::milliseconds(60);
  /// A follower waits this long, up to twice as long, before it starts an election.
  Duration m_election_timeout = std::chrono::milliseconds(300);
  /// Payload bytes of one message: with its envelope it stays below 64 KiB.
  std::size_t m_max_append_bytes = 58 * 1024;
  std::size_t m_snapshot_chunk_bytes = 48 * 1024;
  /// Entries kept before the snapshot, so that a follower that is a little behind needs no snapshot.
  std::uint64_t m_trailing_entries = 1024;
  /// The hosts that may be members, from the settings; a host outside is not added. With open admission: the hosts
  /// that are asked to let this one join.
  std::set<HostId> m_hosts;
  /// Any host may join, and the group replaces members by itself. For deployments whose hosts come and go at addresses
  /// that nobody lists; without it membership follows the settings.
  bool m_open_admission = false;
  /// With open admission: hosts beyond this number stay learners.
  std::size_t m_max_voters = 9;
  /// With open admission: a voter that was not heard for this long may give way to another host.
  Duration m_replace_silent_after = std::chrono::milliseconds(2000);
};

/// What the caller does after a step, in this order: persist (`Persist`), send, apply.
struct RaftOutput {
  std::optional<RaftVote> m_vote;
  /// Replaces log and state; it comes before `m_entries` and `m_committed`.
  std::optional<RaftSnapshot> m_snapshot;
  /// Entries to store; each replaces what is stored at its index and above.
  std::vector<LogEntry> m_entries;
  std::vector<RaftMessage> m_messages;
  /// Entries to apply in this order; every host gets the same.
  std::vector<LogEntry> m_committed;
  /// Read barriers that passed: reads at the applied state up to the index are up to date.
  std::vector<std::pair<std::uint64_t, LogIndex>> m_passed_read_barriers;
};

/// One member of a replicated log: Raft with pre-vote, leader lease, learners and snapshots. It does no I/O and reads
/// no clock.
///
/// The caller feeds it inputs, then takes the output, persists it, and only then sends and applies it:
///
/// \code
/// node.Receive(now, message);
/// RaftOutput output = node.TakeOutput();
/// if (!IsOk(Persist(output, storage))) Stop();
/// for (const RaftMessage& message : output.m_messages) Send(message);
/// for (const LogEntry& entry : output.m_committed) Apply(entry);
/// \endcode
///
/// Several inputs may go in before one `TakeOutput`; then one sync serves all of them.
class RaftNode {
 public:
  /// Starts from what was stored. It gives no vote for one election timeout, since before the stop it may have
  /// confirmed a leader's lease.
  RaftNode(const RaftOptions& options, StoredLog stored, TimePoint now, Random random);

  /// Lets time pass; call it at `NextDeadline` at the latest.
  void Tick(TimePoint now);

  void Receive(TimePoint now, const RaftMessage& message);

  /// Adds a payload on the leader; it is accepted once an entry with this index and term is among `m_committed`.
  /// Errors: `kTicketNotLeader`.
  [[nodiscard]] Result<std::pair<LogIndex, Term>> Propose(TimePoint now, std::string payload);

  /// Asks the most advanced follower to take over; no proposals are taken until it did or an election timeout passed.
  void TransferLeadership(TimePoint now);

  /// Starts a read barrier on the leader; its id appears in `m_passed_read_barriers` when it has passed, never if
  /// leadership is lost first. Errors: `kTicketNotLeader`.
  [[nodiscard]] Result<std::uint64_t> StartReadBarrier(TimePoint now);

  /// True while no other host can be leader, provided that clocks drift by less than a quarter.
  [[nodiscard]] bool HasLease(TimePoint now) const;

  /// Replaces the log up to an applied entry by a snapshot of the caller's state. Returns what to store with
  /// `LogStorage::SaveSnapshot` (from the second of the pair on, entries are kept); null if the entry is not applied
  /// or already in a snapshot.
  [[nodiscard]] std::pair<std::shared_ptr<const RaftSnapshot>, LogIndex> Compact(LogIndex index, std::string data);

  /// Replaces the hosts that are asked to let this one join; the members of the configuration are asked as well.
  void SetContacts(std::set<HostId> hosts) { m_options.m_hosts = std::move(hosts); }

  /// True if this host leads with a lease, or has heard the leader within the last election timeout.
  [[nodiscard]] bool IsInContact(TimePoint now) const;

  /// Collects what the inputs since the last call lead to.
  [[nodiscard]] RaftOutput TakeOutput();

  [[nodiscard]] TimePoint NextDeadline() const noexcept;
  [[nodiscard]] RaftRole Role() const noexcept { return m_role; }
  [[nodiscard]] Term CurrentTerm() const noexcept { return m_vote.m_term; }
  /// The leader of the current term, if known.
  [[nodiscard]] std::optional<RaftPeer> Leader() const noexcept { return m_leader; }
  [[nodiscard]] LogIndex CommitIndex() const noexcept { return m_commit_index; }
  [[nodiscard]] const RaftLog& Log() const noexcept { return m_log; }
  [[nodiscard]] const RaftPeer& Self() const noexcept { return m_self; }
  /// The newest configuration in the log, in effect whether committed or not.
  [[nodiscard]] const RaftConfiguration& Configuration() const noexcept { return m_configurations.back().second; }
  /// True while a leadership transfer that this host started is in progress.
  [[nodiscard]] bool IsTransferring() const noexcept { return m_transfer_deadline.has_value(); }

 private:
  // What the leader knows of a member.
  struct Progress {
    LogIndex m_match_index = 0;
    LogIndex m_next_index = 1;
    // A request is on its way; the next one goes out with the reply or the heartbeat.
    bool m_request_in_flight = false;
    // The commit index of the last request.
    LogIndex m_sent_commit_index = 0;
    // The newest leader time that the member has returned.
    TimePoint m_last_acked_send_time;
    // The snapshot being sent and how much of it has arrived.
    std::shared_ptr<const RaftSnapshot> m_snapshot;
    std::uint64_t m_offset = 0;
  };
  struct IncomingSnapshot {
    LogIndex m_index = 0;
    Term m_term = 0;
    std::uint64_t m_digest = 0;
    std::string m_data;
  };
  struct PendingReadBarrier {
    std::uint64_t m_id = 0;
    LogIndex m_index = 0;
    TimePoint m_started;
  };

  void Handle(const RaftMessage& message, const VoteRequest& request);
  void Handle(const RaftMessage& message, const VoteReply& reply);
  void Handle(const RaftMessage& message, const AppendRequest& request);
  void Handle(const RaftMessage& message, const AppendReply& reply);
  void Handle(const RaftMessage& message, const SnapshotChunk& chunk);
  void Handle(const RaftMessage& message, const SnapshotReply& reply);
  void Handle(const RaftMessage& message, const JoinRequest& request);
  void Handle(const RaftMessage& message, const TimeoutNow& request);

  // Elections (raft_election.cc).
  void BecomeFollower(Term term, std::optional<RaftPeer> leader);
  void StartPreVote();
  void StartElection(bool transfer);
  void CountVotes();
  void BecomeLeader();
  void ResetElectionDeadline();
  [[nodiscard]] bool HeardLeaderRecently() const;
  [[nodiscard]] bool IsUpToDate(const VoteRequest& request) const;
  void SendVoteRequests(Term term, bool pre_vote, bool transfer);
  void SendVoteReply(const RaftMessage& message, const VoteRequest& request, bool granted);
  void SaveVote(Term term, RaftPeer voted_for);

  // Replication on the leader (raft_leader.cc).
  void LeaderTick();
  void SendTo(const RaftPeer& peer, Progress& progress);
  void SendChunk(const RaftPeer& peer, Progress& progress);
  void Broadcast();
  void AppendAsLeader(EntryKind kind, std::string payload);
  void AdvanceCommit();
  [[nodiscard]] TimePoint QuorumAckedSendTime() const;
  [[nodiscard]] Progress* ProgressForReply(const RaftMessage& message);
  void RecordAck(Progress* progress, std::int64_t sent_ns);
  void CompleteReadBarriers();
  void ContinueTransfer();
  // Membership on the leader (raft_membership.cc).
  void AdvanceMembership();
  [[nodiscard]] bool PromoteLearner();
  void RemoveSilentVoter();
  void RemoveMember(const RaftPeer& peer);
  [[nodiscard]] const RaftMember* FindSilentVoter() const;
  [[nodiscard]] bool NeedsToJoin() const;
  [[nodiscard]] bool MayChangeMembership() const;
  void ProposeConfiguration(const RaftConfiguration& configuration);
  void AddLearner(const RaftPeer& peer);
  void MatchProgressToMembers();
  void RequestJoin();

  // Replication on followers (raft_follower.cc).
  [[nodiscard]] bool AcceptLeader(const RaftMessage& message);
  void AppendFromLeader(const LogEntry& entry);
  void CommitUpTo(LogIndex index);
  void InstallSnapshot(const SnapshotChunk& chunk);
  void AddConfiguration(LogIndex index, const std::string& payload);

  void Send(const RaftPeer& to, Term term, decltype(RaftMessage::m_body) body);
  void AdvanceClock(TimePoint now) { m_now = std::max(m_now, now); }

  RaftOptions m_options;
  RaftPeer m_self;
  Random m_random;
  TimePoint m_now;

  RaftVote m_vote;
  RaftLog m_log;
  std::shared_ptr<const RaftSnapshot> m_snapshot;
  // Configurations by the index of their entry, ascending; the first one is that of the base.
  std::vector<std::pair<LogIndex, RaftConfiguration>> m_configurations;
  LogIndex m_commit_index = 0;

  RaftRole m_role = RaftRole::kFollower;
  std::optional<RaftPeer> m_leader;
  TimePoint m_last_leader_contact;
  TimePoint m_election_deadline;
  // Elections in a row that led to no leader; later ones are spread over more time.
  std::uint64_t m_failed_elections = 0;
  TimePoint m_join_deadline;
  std::set<RaftPeer> m_votes;
  std::optional<IncomingSnapshot> m_incoming_snapshot;

  std::map<RaftPeer, Progress> m_progress;
  TimePoint m_heartbeat_deadline;
  LogIndex m_term_start_index = 0;
  std::optional<TimePoint> m_transfer_deadline;
  bool m_timeout_now_sent = false;
  // A host that was asked to take over may win an election in spite of the lease.
  bool m_lease_relinquished = false;
  std::vector<PendingReadBarrier> m_pending_read_barriers;
  std::uint64_t m_last_read_barrier_id = 0;

  RaftOutput m_output;
};

}  // namespace fighatch

#endif  // FIGHATCH_RAFT_NODE_H_
