#ifndef FIGHATCH_MEMBERSHIP_MEMBERSHIP_MESSAGES_H_
#define FIGHATCH_MEMBERSHIP_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <span>
#include <tuple>
#include <vector>

#include "fighatch/member.h"
#include "fighatch/result.h"

namespace fighatch::membership {

/// The number of updates that fit into a datagram with the other fields.
inline constexpr std::size_t kMaxUpdatesPerMessage = 16;
/// The number of data centres of a region whose digests a message can carry.
inline constexpr std::size_t kMaxDigests = 8;

/// The state of a member as the sender knows it. Of two updates, the one with the higher (incarnation, revision, state)
/// wins.
struct MemberUpdate {
  Member m_member;
  /// Raised by the member itself when it refutes a suspicion or death, or changes.
  std::uint32_t m_revision = 0;
  /// For a suspected member: how long the suspicion has lasted.
  std::uint16_t m_suspicion_age_ms = 0;

  /// The precedence of the update; a higher rank replaces a lower one.
  [[nodiscard]] std::tuple<std::uint64_t, std::uint32_t, MemberState> Rank() const noexcept {
    return {m_member.m_incarnation.m_value, m_revision, m_member.m_state};
  }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_member, m_revision, m_suspicion_age_ms);
  }
};

/// A digest of the live members of a data centre.
struct ListDigest {
  DataCentreId m_data_centre;
  std::uint64_t m_digest = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_data_centre, m_digest);
  }
};

/// The digests and updates that every message carries besides its own fields.
struct Piggyback {
  std::vector<ListDigest> m_digests;
  std::vector<MemberUpdate> m_updates;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_digests, m_updates);
  }
};

/// Requests a `ProbeAckMessage` with the same sequence number.
struct ProbeMessage {
  std::uint32_t m_sequence_number = 0;
  /// True while the sender knows no other live member of its data centre; the receiver then sends whole lists.
  bool m_is_joining = false;
  Piggyback m_piggyback;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_sequence_number, m_is_joining, m_piggyback);
  }
};

/// Answers a `ProbeMessage`, or passes on the answer of the target of a `ProbeRequestMessage`.
struct ProbeAckMessage {
  std::uint32_t m_sequence_number = 0;
  Piggyback m_piggyback;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_sequence_number, m_piggyback);
  }
};

/// Asks the receiver to probe the target, and to pass the answer on with this message's sequence number.
struct ProbeRequestMessage {
  std::uint32_t m_sequence_number = 0;
  HostId m_target;
  Endpoint m_target_endpoint;
  Piggyback m_piggyback;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_sequence_number, m_target, m_target_endpoint, m_piggyback);
  }
};

/// Carries updates, and requests the whole member lists of data centres.
struct MemberListMessage {
  /// The sender's data centre. A receiver in another data centre compares the digests without waiting for its list to
  /// settle.
  DataCentreId m_sender_data_centre;
  std::vector<DataCentreId> m_requested_lists;
  Piggyback m_piggyback;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_sender_data_centre, m_requested_lists, m_piggyback);
  }
};

/// The decode functions reject values outside their ranges. Errors: `kMessageMalformed`.
[[nodiscard]] Result<ProbeMessage> DecodeProbe(std::span<const std::byte> payload);
[[nodiscard]] Result<ProbeAckMessage> DecodeProbeAck(std::span<const std::byte> payload);
[[nodiscard]] Result<ProbeRequestMessage> DecodeProbeRequest(std::span<const std::byte> payload);
[[nodiscard]] Result<MemberListMessage> DecodeMemberList(std::span<const std::byte> payload);

[[nodiscard]] std::vector<std::byte> Encode(const ProbeMessage& message);
[[nodiscard]] std::vector<std::byte> Encode(const ProbeAckMessage& message);
[[nodiscard]] std::vector<std::byte> Encode(const ProbeRequestMessage& message);
[[nodiscard]] std::vector<std::byte> Encode(const MemberListMessage& message);

}  // namespace fighatch::membership

#endif  // FIGHATCH_MEMBERSHIP_MEMBERSHIP_MESSAGES_H_
