#ifndef FIGHATCH_RAFT_MESSAGE_H_
#define FIGHATCH_RAFT_MESSAGE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/result.h"

namespace fighatch {

/// A position in the replicated log; the first entry has index 1.
using LogIndex = std::uint64_t;
/// A Raft term. Each election starts a new one; a leader's entries carry its term.
using Term = std::uint64_t;
/// The identity of a data folder. An empty folder gets a new one, so that a host that lost its data cannot vote a
/// second time in a term under the identity that has voted in it already.
using DiskId = StrongId<struct DiskIdTag, std::uint64_t>;

/// The disk id of all initial members. It is fixed, since the initial configuration is written before any of them
/// starts.
inline constexpr DiskId kFoundingDiskId{1};

/// A voting identity: a control host together with its data folder.
struct RaftPeer {
  HostId m_host;
  DiskId m_disk;

  friend auto operator<=>(const RaftPeer&, const RaftPeer&) = default;  // NOLINT(modernize-use-nullptr)

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_host, m_disk);
  }
};

/// A member of the Raft group. A member that is not a voter is a learner: it receives entries, but does not vote and
/// does not count towards a majority.
struct RaftMember {
  RaftPeer m_peer;
  bool m_voter = true;

  friend bool operator==(const RaftMember&, const RaftMember&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_peer, m_voter);
  }
};

/// The membership of the group, in effect from one log index on.
struct RaftConfiguration {
  std::vector<RaftMember> m_members;
  /// Identities that were replaced. They cannot become members again, even if a copy of such a disk reappears.
  std::vector<RaftPeer> m_retired;

  [[nodiscard]] bool IsRetired(const RaftPeer& peer) const noexcept;
  [[nodiscard]] bool HasMember(const RaftPeer& peer) const noexcept;
  [[nodiscard]] bool HasVoter(const RaftPeer& peer) const noexcept;
  [[nodiscard]] std::size_t VoterCount() const noexcept;

  friend bool operator==(const RaftConfiguration&, const RaftConfiguration&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_members, m_retired);
  }
};

/// The kind of content of a log entry.
enum class EntryKind : std::uint8_t {
  /// No content: a new leader appends such an entry, since it learns the commit index only by committing an entry of
  /// its own term.
  kEmpty = 0,
  /// An opaque payload from the caller of `RaftNode::Propose`.
  kPayload = 1,
  /// An encoded `RaftConfiguration`, in effect from this entry on.
  kConfiguration = 2,
};

/// Largest payload of a log entry. `RaftNode::Propose` refuses a larger one; everything that stores or carries entries
/// has a higher limit.
inline constexpr std::size_t kMaxEntryPayloadBytes = (4 << 20) + (64 << 10);

/// An entry of the replicated log.
struct LogEntry {
  LogIndex m_index = 0;
  Term m_term = 0;
  EntryKind m_kind = EntryKind::kEmpty;
  std::string m_payload;

  friend bool operator==(const LogEntry&, const LogEntry&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_index, m_term, m_kind, m_payload);
  }
};

/// The state after the entry at `m_index` was applied; it replaces all entries up to and including that one.
struct RaftSnapshot {
  LogIndex m_index = 0;
  Term m_term = 0;
  RaftConfiguration m_configuration;
  /// The caller's state, opaque to Raft.
  std::string m_data;

  friend bool operator==(const RaftSnapshot&, const RaftSnapshot&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_index, m_term, m_configuration, m_data);
  }
};

/// Asks for a vote. A pre-vote only asks whether the vote would be granted; its message carries the term that the
/// election would have, the sender's term plus one.
struct VoteRequest {
  bool m_pre_vote = false;
  /// The leader itself requested this election (`TimeoutNow`), so its lease does not forbid the vote.
  bool m_leadership_transfer = false;
  LogIndex m_last_index = 0;
  Term m_last_term = 0;

  friend bool operator==(const VoteRequest&, const VoteRequest&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_pre_vote, m_leadership_transfer, m_last_index, m_last_term);
  }
};

/// The reply to a `VoteRequest`.
struct VoteReply {
  bool m_pre_vote = false;
  bool m_granted = false;
  /// The term of the request.
  Term m_request_term = 0;

  friend bool operator==(const VoteReply&, const VoteReply&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_pre_vote, m_granted, m_request_term);
  }
};

/// Raft's AppendEntries: entries that follow the previous index and term. Without entries it is a heartbeat.
struct AppendRequest {
  LogIndex m_previous_index = 0;
  Term m_previous_term = 0;
  LogIndex m_commit_index = 0;
  /// The leader's clock at sending, in nanoseconds. The receiver returns it unchanged in the reply; only the leader
  /// interprets it.
  std::int64_t m_sent_ns = 0;
  std::vector<LogEntry> m_entries;

  friend bool operator==(const AppendRequest&, const AppendRequest&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_previous_index, m_previous_term, m_commit_index, m_sent_ns, m_entries);
  }
};

/// The reply to an `AppendRequest`.
struct AppendReply {
  bool m_success = false;
  /// On success the highest index up to which the logs are known to match and the receiver has persisted its log;
  /// otherwise the previous index that the leader should try next.
  LogIndex m_index = 0;
  /// The value from the latest request; 0 if the receiver did not accept the sender as leader.
  std::int64_t m_sent_ns = 0;

  friend bool operator==(const AppendReply&, const AppendReply&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_success, m_index, m_sent_ns);
  }
};

/// A consecutive part of a snapshot; the reply names the offset of the part expected next.
struct SnapshotChunk {
  LogIndex m_index = 0;
  Term m_snapshot_term = 0;
  RaftConfiguration m_configuration;
  /// Position of `m_bytes` in the snapshot data.
  std::uint64_t m_offset = 0;
  std::uint64_t m_total_bytes = 0;
  /// XXH3 hash of the complete snapshot data.
  std::uint64_t m_digest = 0;
  /// See `AppendRequest`.
  std::int64_t m_sent_ns = 0;
  std::string m_bytes;

  friend bool operator==(const SnapshotChunk&, const SnapshotChunk&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_index, m_snapshot_term, m_configuration, m_offset, m_total_bytes, m_digest, m_sent_ns, m_bytes);
  }
};

/// The reply to a `SnapshotChunk`.
struct SnapshotReply {
  LogIndex m_index = 0;
  /// The offset expected next while the transfer is in progress; 0 otherwise.
  std::uint64_t m_next_offset = 0;
  /// The receiver's state includes the snapshot, because it was installed or because it was not needed.
  bool m_installed = false;
  std::int64_t m_sent_ns = 0;

  friend bool operator==(const SnapshotReply&, const SnapshotReply&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_index, m_next_offset, m_installed, m_sent_ns);
  }
};

/// Asks to be added to the group. Sent by a host that is not a member of it, or that may have been removed without
/// learning of it.
struct JoinRequest {
  friend bool operator==(const JoinRequest&, const JoinRequest&) = default;

  template <typename Archive>
  void serialize(Archive& /*archive*/) {}
};

/// Leadership transfer: asks the receiver to start an election without waiting for its election timeout.
struct TimeoutNow {
  friend bool operator==(const TimeoutNow&, const TimeoutNow&) = default;

  template <typename Archive>
  void serialize(Archive& /*archive*/) {}
};

/// Tells the leader that the sender's process is about to end. The leader treats it like a silent voter at once.
struct StopNotice {
  /// The voters that were silent when the sender handed over its leadership, since the new leader has not observed them
  /// for long enough; empty if the sender did not lead.
  std::vector<RaftPeer> m_silent;

  friend bool operator==(const StopNotice&, const StopNotice&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_silent);
  }
};

/// Asks a host that left the group, for example because it was silent for too long, to join again if it still runs. Its
/// settings may name no host that still exists.
struct Invitation {
  friend bool operator==(const Invitation&, const Invitation&) = default;

  template <typename Archive>
  void serialize(Archive& /*archive*/) {}
};

/// Tells the leader that the entries of an `AppendRequest` have arrived and are not persisted yet. It proves contact
/// and lets the leader send what follows; an `AppendReply` vouches for the entries once they are persisted.
struct AppendReceipt {
  /// The highest index up to which the logs are known to match, in memory.
  LogIndex m_index = 0;
  /// The value from the request.
  std::int64_t m_sent_ns = 0;

  friend bool operator==(const AppendReceipt&, const AppendReceipt&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_index, m_sent_ns);
  }
};

/// A message between control hosts.
struct RaftMessage {
  RaftPeer m_from;
  /// Disk 0 addresses the host whatever its disk; used by `JoinRequest` and `Invitation`.
  RaftPeer m_to;
  /// The sender's term; the next term in a pre-vote request, 0 in a `JoinRequest`.
  Term m_term = 0;
  std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply, JoinRequest,
               TimeoutNow, StopNotice, Invitation, AppendReceipt>
      m_body;

  friend bool operator==(const RaftMessage&, const RaftMessage&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_from, m_to, m_term, m_body);
  }
};

/// Encodes a message in cereal's portable binary format. Messages must stay below the 64 KiB that the transport
/// carries; the limits in `RaftOptions` are set accordingly.
[[nodiscard]] std::vector<std::byte> EncodeRaftMessage(const RaftMessage& message);

/// Decodes the output of `EncodeRaftMessage`. Errors: `kMessageMalformed`.
[[nodiscard]] Result<RaftMessage> DecodeRaftMessage(std::span<const std::byte> bytes);

}  // namespace fighatch

#endif  // FIGHATCH_RAFT_MESSAGE_H_
