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

/// The Raft role of a host. A pre-candidate asks whether it would win an election before it starts one.
enum class RaftRole : std::uint8_t { kFollower = 0, kPreCandidate = 1, kCandidate = 2, kLeader = 3 };

/// "follower", "pre_candidate", "candidate" or "leader".
[[nodiscard]] std::string_view RaftRoleName(RaftRole role) noexcept;

/// Why the leader does not add a host that asks to join.
enum class JoinRefusal : std::uint8_t {
  /// The last membership change, or the leader's first entry, is not committed yet, or leadership is being handed over.
  kChangeInProgress = 0,
  /// The group has no open admission and its settings do not list the host.
  kNotListed = 1,
  /// The disk was replaced by a new one, so its identity must not vote again.
  kRetired = 2,
};

/// "change_in_progress", "not_listed" or "retired".
[[nodiscard]] std::string_view JoinRefusalName(JoinRefusal reason) noexcept;

/// Timings, limits and admission rules of a `RaftNode`.
struct RaftOptions {
  /// Interval between heartbeats of the leader.
  Duration m_heartbeat = std::chrono::milliseconds(60);
  /// A follower that hears no leader starts an election after a random time between this and twice this. After failed
  /// elections the range is wider.
  Duration m_election_timeout = std::chrono::milliseconds(300);
  /// Entry bytes in one append request; with its envelope the message stays below 64 KiB.
  std::size_t m_max_append_bytes = 58 * 1024;
  /// Snapshot bytes in one `SnapshotChunk`.
  std::size_t m_snapshot_chunk_bytes = 48 * 1024;
  /// Entries before the snapshot that stay in the log, so that a follower that lags a little needs no snapshot.
  std::uint64_t m_trailing_entries = 1024;
  /// Upper limit of the bytes of these entries. It bounds the memory of the log, the time of a restart and how much a
  /// new host is sent before it catches up, whatever the size of an entry.
  std::size_t m_trailing_bytes = std::size_t{4} << 20U;
  /// The hosts that may be members, from the settings; a host that is not listed is not added. With open admission
  /// these are the hosts to which this one sends its join requests.
  std::set<HostId> m_hosts;
  /// Any host may join, and the leader replaces unreachable members automatically. Meant for deployments whose hosts
  /// change at addresses that are not listed in advance. Without it only the hosts in `m_hosts` may be members.
  bool m_open_admission = false;
  /// With open admission: the highest number of voters; hosts beyond it stay learners.
  std::size_t m_max_voters = 9;
  /// With open admission: a voter that has not acknowledged a request for this long may be removed or replaced by
  /// another host.
  Duration m_replace_silent_after = std::chrono::milliseconds(2000);
  /// Limit on the payload bytes that a member is sent beyond the entries that it has persisted. It bounds the memory of
  /// a member whose disk is slow.
  std::size_t m_max_unpersisted_bytes_of_member = std::size_t{4} << 20U;
  /// Limit on the payload bytes in the leader's log that it has not persisted; above it `RaftNode::Propose` refuses.
  /// Eight proposals of the largest size fit, since as many may come at the same time.
  std::size_t m_max_unpersisted_bytes_of_leader = std::size_t{32} << 20U;
  /// A host whose write has been running for this long takes no part in the group until it ends, so that another host
  /// leads and a successor may replace it. Writes of a disk that is only slow end well before.
  Duration m_stalled_write_after = std::chrono::seconds(10);
  /// With open admission: how many voters may lose their disks at a time. No removal of silent voters that may come
  /// back leaves fewer voters than outlast that.
  std::size_t m_tolerated_lost_disks = 1;
};

/// The effects of the inputs since the last `TakeOutput`. Messages may be sent and entries applied at once. What is to
/// be persisted may take as long as the disk needs; see `RaftNode::OnPersisted`.
struct RaftOutput {
  std::optional<RaftVote> m_vote;
  /// Replaces the log and the applied state; it is persisted before `m_entries` and applied before `m_committed`.
  std::optional<RaftSnapshot> m_snapshot;
  /// Entries to store with `LogStorage::Append`, which replaces stored entries at the same indexes and above.
  std::vector<LogEntry> m_entries;
  std::vector<RaftMessage> m_messages;
  /// Committed entries to apply in this order; it is the same on every host.
  std::vector<LogEntry> m_committed;
  /// Read barriers that passed, by id, each with a log index: a read is up to date once that index is applied.
  std::vector<std::pair<std::uint64_t, LogIndex>> m_passed_read_barriers;
  /// Join requests that this host refused as leader, for the log.
  std::vector<std::pair<RaftPeer, JoinRefusal>> m_refused_joins;

  /// True if there is something for `Persist`.
  [[nodiscard]] bool HasDataToPersist() const noexcept { return m_vote || m_snapshot || !m_entries.empty(); }
};

/// The Raft state machine of one control host, with pre-vote, leader lease, learners, snapshots, leadership transfer
/// and membership changes, one at a time. It does no I/O and reads no clock: the caller passes in the time and the
/// messages, takes the output, and reports when the output's data is persisted.
///
/// \code
/// node.Receive(now, message);
/// RaftOutput output = node.TakeOutput();
/// for (const RaftMessage& message : output.m_messages) Send(message);
/// if (output.m_snapshot) Restore(*output.m_snapshot);
/// for (const LogEntry& entry : output.m_committed) Apply(entry);
/// if (output.HasDataToPersist()) {
///   if (!IsOk(Persist(output, storage))) Stop();
///   node.OnPersisted(now);
/// }
/// \endcode
///
/// The caller may persist on another thread and go on with inputs and outputs meanwhile: heartbeats and their replies
/// do not wait for the disk. Votes, terms and entries are answered for, and counted, only after `OnPersisted`. What is
/// to be persisted while a write is in progress is part of the first output after it, so that one write covers all of
/// it.
class RaftNode {
 public:
  /// Starts from the persistent state. The node grants no vote for one election timeout, since it may have acknowledged
  /// a leader's lease just before it stopped; only an election that the leader itself requested is exempt.
  RaftNode(const RaftOptions& options, StoredLog stored, TimePoint now, Random random);

  /// Advances the time and acts on deadlines that have passed; call it at `NextDeadline` at the latest.
  void Tick(TimePoint now);

  /// Handles a message from another host. Messages for another host or disk are ignored.
  void Receive(TimePoint now, const RaftMessage& message);

  /// Appends a payload to the leader's log and returns its index and term. It is accepted once an entry with this index
  /// and term appears in `RaftOutput::m_committed`. Errors: `kTicketNotLeader`, `kTicketTooLarge` for a payload above
  /// `kMaxEntryPayloadBytes`, `kTicketNoQuorum` while too much waits for this host's disk.
  [[nodiscard]] Result<std::pair<LogIndex, Term>> Propose(TimePoint now, std::string payload);

  /// Hands leadership to a voter as soon as one has the complete log; of several, to the one heard from most recently.
  /// Proposals are refused until it has taken over or one election timeout has passed.
  void TransferLeadership(TimePoint now);

  /// Announces that this process is about to end: hands over leadership if this host has it, and from then on tells
  /// each leader, which may remove this host. The host asks to join again only after a restart.
  void AnnounceStop(TimePoint now);

  /// Starts a read barrier on the leader and returns its id. The id appears in `RaftOutput::m_passed_read_barriers`
  /// when the barrier has passed, and never if leadership is lost first. Errors: `kTicketNotLeader`.
  [[nodiscard]] Result<std::uint64_t> StartReadBarrier(TimePoint now);

  /// True while this host is leader and no other host can become leader, provided that clock rates differ by less than
  /// a quarter.
  [[nodiscard]] bool HasLease(TimePoint now) const;

  /// Replaces the log up to an applied entry by a snapshot of the caller's state, `data`. Returns the arguments for
  /// `LogStorage::SaveSnapshot`: the snapshot and the first index to keep. The snapshot is null if the entry is not
  /// committed or is covered by a snapshot already.
  [[nodiscard]] std::pair<std::shared_ptr<const RaftSnapshot>, LogIndex> Compact(LogIndex index, std::string data);

  /// Replaces `RaftOptions::m_hosts`: the hosts that get this host's join requests, in addition to the members of the
  /// configuration.
  void SetJoinRequestHosts(std::set<HostId> hosts) { m_options.m_hosts = std::move(hosts); }

  /// True if a majority of the voters appears to be in contact: this host is leader and holds the lease, or has heard
  /// from the leader within the last election timeout.
  [[nodiscard]] bool HasQuorum(TimePoint now) const;

  /// Returns and clears the effects of the inputs since the last call. While a write is in progress it leaves out what
  /// is to be persisted.
  [[nodiscard]] RaftOutput TakeOutput();

  /// Ends the write that began when `TakeOutput` returned data to persist: all of that data is persisted.
  void OnPersisted(TimePoint now);

  /// The time at which `Tick` must be called next.
  [[nodiscard]] TimePoint NextDeadline() const noexcept;
  [[nodiscard]] RaftRole Role() const noexcept { return m_role; }
  [[nodiscard]] Term CurrentTerm() const noexcept { return m_vote.m_term; }
  /// The leader of the current term, if known.
  [[nodiscard]] std::optional<RaftPeer> Leader() const noexcept { return m_leader; }
  [[nodiscard]] LogIndex CommitIndex() const noexcept { return m_commit_index; }
  [[nodiscard]] const RaftLog& Log() const noexcept { return m_log; }
  /// The index up to which this host has persisted its log. Committed entries may be ahead of it.
  [[nodiscard]] LogIndex PersistedIndex() const noexcept { return m_persisted_index; }
  [[nodiscard]] const RaftPeer& Self() const noexcept { return m_self; }
  /// The latest configuration in the log. It is in effect even before it is committed.
  [[nodiscard]] const RaftConfiguration& Configuration() const noexcept { return m_configurations.back().second; }
  /// On the leader: how long ago the request was sent that the member answered last. Empty for this host itself, for
  /// other hosts, and on hosts that do not lead.
  [[nodiscard]] std::optional<Duration> SilenceOf(const RaftPeer& peer) const;
  /// True while a leadership transfer that this host started is in progress.
  [[nodiscard]] bool IsTransferring() const noexcept { return m_transfer_deadline.has_value(); }

 private:
  // The leader's replication state for one member.
  struct Progress {
    // The highest index up to which the member's log is known to match.
    LogIndex m_match_index = 0;
    // The index of the next entry to send.
    LogIndex m_next_index = 1;
    // A request has not been answered yet; the next one is sent after the reply or with the next heartbeat.
    bool m_request_in_flight = false;
    // The commit index that the last request carried.
    LogIndex m_sent_commit_index = 0;
    // When the latest request that the member has replied to was sent, by the leader's clock; before the first reply,
    // when the member was added here.
    TimePoint m_last_acked_send_time;
    // Set by a `StopNotice`: until then the member counts as silent, although it may still reply.
    TimePoint m_noted_silent_until;
    // The snapshot being sent, and the offset of its next chunk.
    std::shared_ptr<const RaftSnapshot> m_snapshot;
    std::uint64_t m_offset = 0;
  };
  // The caller's write in progress.
  struct Write {
    TimePoint m_started;
    bool m_has_vote = false;
    // The log is persisted up to this index once the write ends.
    LogIndex m_last_index = 0;
  };
  // A snapshot that is being received in chunks.
  struct IncomingSnapshot {
    LogIndex m_index = 0;
    Term m_term = 0;
    std::uint64_t m_digest = 0;
    std::string m_data;
  };
  // A read barrier that passes once a majority has acknowledged a request that was sent after `m_started`, or at once
  // under the leader's lease.
  struct PendingReadBarrier {
    std::uint64_t m_id = 0;
    // The index that a read after the barrier must have applied.
    LogIndex m_index = 0;
    TimePoint m_started;
  };

  void Handle(const RaftMessage& message, const VoteRequest& request);
  void Handle(const RaftMessage& message, const VoteReply& reply);
  void Handle(const RaftMessage& message, const AppendRequest& request);
  void Handle(const RaftMessage& message, const AppendReply& reply);
  void Handle(const RaftMessage& message, const AppendReceipt& receipt);
  void Handle(const RaftMessage& message, const SnapshotChunk& chunk);
  void Handle(const RaftMessage& message, const SnapshotReply& reply);
  void Handle(const RaftMessage& message, const JoinRequest& request);
  void Handle(const RaftMessage& message, const TimeoutNow& request);
  void Handle(const RaftMessage& message, const StopNotice& notice);
  void Handle(const RaftMessage& message, const Invitation& invitation);

  // Elections (raft_election.cc).
  void BecomeFollower(Term term, std::optional<RaftPeer> leader);
  void StartPreVote();
  void StartElection(bool transfer);
  [[nodiscard]] bool IsMajority(const std::set<RaftPeer>& voters) const;
  void CountVotes();
  void BecomeLeader();
  void ResetElectionDeadline();
  [[nodiscard]] bool HeardLeaderRecently() const;
  [[nodiscard]] bool IsUpToDate(const VoteRequest& request) const;
  void SendVoteRequests(bool pre_vote, bool transfer);
  void SendVoteReply(const RaftMessage& message, const VoteRequest& request, bool granted);
  void SaveVote(Term term, RaftPeer voted_for);
  // True if the current term and vote are persisted.
  [[nodiscard]] bool IsVotePersisted() const { return !m_output.m_vote && !(m_write && m_write->m_has_vote); }
  void OnVotePersisted(Duration write_time);

  // True while the caller's write takes so long that this host takes no part in the group.
  [[nodiscard]] bool IsWriteStalled() const {
    return m_write && m_now - m_write->m_started > m_options.m_stalled_write_after;
  }
  // The log has changed from the index on, so that it is not persisted there, whatever is written.
  void ForgetPersistedFrom(LogIndex index);

  // Replication on the leader (raft_leader.cc).
  void LeaderTick();
  void SendTo(const RaftPeer& peer, Progress& progress);
  void SendChunk(const RaftPeer& peer, Progress& progress);
  [[nodiscard]] bool MaySendEntries(const Progress& progress) const;
  void Broadcast();
  void AppendAsLeader(EntryKind kind, std::string payload);
  void AdvanceCommit();
  // The latest time such that a majority has acknowledged a request that was sent at it or later.
  [[nodiscard]] TimePoint QuorumAckedSendTime() const;
  // Steps down if the message has a higher term. Returns null unless this host leads in the message's term and the
  // sender is a member.
  [[nodiscard]] Progress* ProgressForReply(const RaftMessage& message);
  void RecordAck(Progress* progress, std::int64_t sent_ns);
  void CompleteReadBarriers();
  void ContinueTransfer();

  // Membership on the leader (raft_membership.cc).
  void AdvanceMembership();
  // Each of the next three proposes at most one change, and returns whether it did.
  [[nodiscard]] bool ReplaceLostDisk();
  [[nodiscard]] bool RemoveSilentVoter();
  bool PromoteLearner();
  [[nodiscard]] bool IsSilent(const RaftPeer& peer) const;
  // The other voters that are silent, the one that was heard least recently first.
  [[nodiscard]] std::vector<RaftPeer> SilentVoters() const;
  // The learners that reply and have all committed entries.
  [[nodiscard]] std::vector<RaftPeer> CaughtUpLearners() const;
  [[nodiscard]] bool NeedsToJoin() const;
  [[nodiscard]] bool MayChangeMembership() const;
  [[nodiscard]] std::optional<JoinRefusal> ReasonToRefuse(const RaftPeer& peer) const;
  void ProposeConfiguration(const RaftConfiguration& configuration);
  void AddLearner(const RaftPeer& peer);
  void MatchProgressToMembers();
  void RequestJoin();
  // Remembers a host that a join request can be sent to, because it has sent a message to this one.
  void AddJoinContact(HostId host);
  // Updates the hosts that are invited to join again.
  void RecordFormerHosts(const RaftConfiguration& before, const RaftConfiguration& after);
  void InviteFormerHosts();

  // Replication on followers (raft_follower.cc).

  // Becomes a follower of the sender, unless its term is stale; returns whether it did.
  [[nodiscard]] bool AcceptLeader(const RaftMessage& message);
  void AppendFromLeader(const LogEntry& entry);
  void CommitUpTo(LogIndex index);
  void InstallSnapshot(const SnapshotChunk& chunk);
  void AddConfiguration(LogIndex index, const std::string& payload);

  // Replies to the leader, unless this host cannot answer for its term: then the leader counts it as silent.
  void ReplyToLeader(const RaftPeer& leader, decltype(RaftMessage::m_body) body);
  // Tells the leader up to where the logs match and this host has persisted its own.
  void ReplyWithPersisted(const RaftPeer& leader);
  // Replies to a chunk of a snapshot that this host does not need or has installed.
  void ReplyWithInstalled(const RaftPeer& leader, const SnapshotChunk& chunk);

  void Send(const RaftPeer& to, Term term, decltype(RaftMessage::m_body) body);
  // Sends a message once the current term and vote are persisted, unless another term or vote replaces them before.
  void SendOnceVotePersisted(const RaftPeer& to, decltype(RaftMessage::m_body) body);
  void AdvanceClock(TimePoint now) { m_now = std::max(m_now, now); }

  RaftOptions m_options;
  RaftPeer m_self;
  Random m_random;
  TimePoint m_now;

  RaftVote m_vote;
  RaftLog m_log;
  std::shared_ptr<const RaftSnapshot> m_snapshot;
  // Configurations by the index of their entry, ascending; the first one is in effect at the snapshot, or initially.
  std::vector<std::pair<LogIndex, RaftConfiguration>> m_configurations;
  LogIndex m_commit_index = 0;
  LogIndex m_persisted_index = 0;
  std::optional<Write> m_write;
  // See `SendOnceVotePersisted`.
  std::vector<RaftMessage> m_messages_after_vote;
  // On a follower: up to where the log is known to match that of the current term's leader, and the time in the latest
  // request.
  LogIndex m_matched_index = 0;
  std::int64_t m_request_sent_ns = 0;

  RaftRole m_role = RaftRole::kFollower;
  std::optional<RaftPeer> m_leader;
  TimePoint m_last_leader_contact;
  TimePoint m_election_deadline;
  // Consecutive elections that led to no leader; the more there are, the wider is the random range of the next
  // deadline.
  std::uint64_t m_failed_elections = 0;
  TimePoint m_join_deadline;
  // Hosts that have sent messages to this host while it was no member.
  std::set<HostId> m_join_contacts;
  // Hosts that are no members any more, and until when they are invited. All running members know them, so that
  // the next leader goes on.
  std::map<HostId, TimePoint> m_former_hosts;
  TimePoint m_invitation_deadline;
  // Who granted a pre-vote for the next term, and who granted a vote in the current one. A vote counts also if it comes
  // after the candidate's election timeout, since the voter may have had to wait for its disk.
  std::set<RaftPeer> m_pre_votes;
  std::set<RaftPeer> m_votes;
  std::optional<IncomingSnapshot> m_incoming_snapshot;

  std::map<RaftPeer, Progress> m_progress;
  TimePoint m_heartbeat_deadline;
  // The index of the empty entry that opened this leader's term.
  LogIndex m_term_start_index = 0;
  // Set by `AnnounceStop`; sent to each leader from then on.
  std::optional<StopNotice> m_stop_notice;
  // Set while a leadership transfer is in progress.
  std::optional<TimePoint> m_transfer_deadline;
  bool m_timeout_now_sent = false;
  // Set once a `TimeoutNow` was sent: its receiver may win an election in spite of the lease.
  bool m_lease_relinquished = false;
  std::vector<PendingReadBarrier> m_pending_read_barriers;
  std::uint64_t m_last_read_barrier_id = 0;

  RaftOutput m_output;
};

}  // namespace fighatch

#endif  // FIGHATCH_RAFT_NODE_H_
