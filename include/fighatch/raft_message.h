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
/// The number of an election; a leader's entries carry its term.
using Term = std::uint64_t;
/// The identity of a data folder. An empty folder gets a new one, so that a host that lost its memory does not vote
/// under the identity that had given its votes.
using DiskId = StrongId<struct DiskIdTag, std::uint64_t>;

/// The disk id of the founding members, which are written down before any of them starts.
inline constexpr DiskId kFoundingDiskId{1};

/// A control host together with its disk: what takes part in votes.
struct RaftPeer {
  HostId m_host;
  DiskId m_disk;

  friend auto operator<=>(const RaftPeer&, const RaftPeer&) = default;  // NOLINT(modernize-use-nullptr)

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_host, m_disk);
  }
};

/// A member of the group; a learner gets entries but does not count for a majority.
struct RaftMember {
  RaftPeer m_peer;
  bool m_voter = true;

  friend bool operator==(const RaftMember&, const RaftMember&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_peer, m_voter);
  }
};

/// The members of the group from one log index on.
struct RaftConfiguration {
  std::vector<RaftMember> m_members;
  /// Disks that were replaced. They do not become members again, also if a copy of such a disk comes back.
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

/// What an entry holds.
enum class EntryKind : std::uint8_t {
  /// Nothing: a new leader commits one to learn what is committed.
  kEmpty = 0,
  kPayload = 1,
  /// An encoded `RaftConfiguration`, in effect from this entry on.
  kConfiguration = 2,
};

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

/// The state after an entry, which replaces all entries up to it.
struct RaftSnapshot {
  LogIndex m_index = 0;
  Term m_term = 0;
  RaftConfiguration m_configuration;
  std::string m_data;

  friend bool operator==(const RaftSnapshot&, const RaftSnapshot&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_index, m_term, m_configuration, m_data);
  }
};

/// Asks for a vote, or whether a vote would be given (pre-vote; then the message's term is the next one).
struct VoteRequest {
  bool m_pre_vote = false;
  /// The leader asked for this election, so its lease does not forbid the vote.
  bool m_leadership_transfer = false;
  LogIndex m_last_index = 0;
  Term m_last_term = 0;

  friend bool operator==(const VoteRequest&, const VoteRequest&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_pre_vote, m_leadership_transfer, m_last_index, m_last_term);
  }
};

/// The answer to a `VoteRequest`.
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

/// Entries that follow a known one; without entries it is a heartbeat.
struct AppendRequest {
  LogIndex m_previous_index = 0;
  Term m_previous_term = 0;
  LogIndex m_commit_index = 0;
  /// The leader's clock in nanoseconds; the reply returns it, only the leader reads it.
  std::int64_t m_sent_ns = 0;
  std::vector<LogEntry> m_entries;

  friend bool operator==(const AppendRequest&, const AppendRequest&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_previous_index, m_previous_term, m_commit_index, m_sent_ns, m_entries);
  }
};

/// The answer to an `AppendRequest`.
struct AppendReply {
  bool m_success = false;
  /// Success: the last entry known to be equal to the leader's. Otherwise: where the leader should try next.
  LogIndex m_index = 0;
  std::int64_t m_sent_ns = 0;

  friend bool operator==(const AppendReply&, const AppendReply&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_success, m_index, m_sent_ns);
  }
};

/// A part of a snapshot.
struct SnapshotChunk {
  LogIndex m_index = 0;
  Term m_snapshot_term = 0;
  RaftConfiguration m_configuration;
  std::uint64_t m_offset = 0;
  std::uint64_t m_total_bytes = 0;
  /// XXH3 of the whole data.
  std::uint64_t m_digest = 0;
  std::int64_t m_sent_ns = 0;
  std::string m_bytes;

  friend bool operator==(const SnapshotChunk&, const SnapshotChunk&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_index, m_snapshot_term, m_configuration, m_offset, m_total_bytes, m_digest, m_sent_ns, m_bytes);
  }
};

/// The answer to a `SnapshotChunk`.
struct SnapshotReply {
  LogIndex m_index = 0;
  /// The offset that is expected next; the total once the snapshot is installed or not needed.
  std::uint64_t m_next_offset = 0;
  bool m_installed = false;
  std::int64_t m_sent_ns = 0;

  friend bool operator==(const SnapshotReply&, const SnapshotReply&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_index, m_next_offset, m_installed, m_sent_ns);
  }
};

/// Sent by a host whose disk is not a member.
struct JoinRequest {
  friend bool operator==(const JoinRequest&, const JoinRequest&) = default;

  template <typename Archive>
  void serialize(Archive& /*archive*/) {}
};

/// Asks the receiver to start an election at once.
struct TimeoutNow {
  friend bool operator==(const TimeoutNow&, const TimeoutNow&) = default;

  template <typename Archive>
  void serialize(Archive& /*archive*/) {}
};

/// A message between control hosts.
struct RaftMessage {
  RaftPeer m_from;
  /// Disk 0 means: whichever disk the host has; used by `JoinRequest`.
  RaftPeer m_to;
  Term m_term = 0;
  std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply, JoinRequest,
               TimeoutNow>
      m_body;

  friend bool operator==(const RaftMessage&, const RaftMessage&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_from, m_to, m_term, m_body);
  }
};

/// Encodes a message in cereal's portable binary form; at most 64 KiB.
[[nodiscard]] std::vector<std::byte> EncodeRaftMessage(const RaftMessage& message);

/// Decodes what `EncodeRaftMessage` wrote. Errors: `kMessageMalformed`.
[[nodiscard]] Result<RaftMessage> DecodeRaftMessage(std::span<const std::byte> bytes);

}  // namespace fighatch

#endif  // FIGHATCH_RAFT_MESSAGE_H_
