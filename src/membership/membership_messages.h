#ifndef FIGHATCH_MEMBERSHIP_MEMBERSHIP_MESSAGES_H_
#define FIGHATCH_MEMBERSHIP_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <span>
#include <tuple>
#include <vector>

#include "fighatch/member.h"
#include "fighatch/result.h"

namespace fighatch::membership {

/// Updates that fit a datagram beside the other fields.
inline constexpr std::size_t kMaxUpdatesPerMessage = 16;
/// Data centres of a region whose digests a message carries.
inline constexpr std::size_t kMaxDigests = 8;

/// A member as its sender knows it. Updates are ordered by (incarnation, revision, state), and the highest one holds.
struct MemberUpdate {
  Member m_member;
  /// Raised by the member itself when it refutes a suspicion or changes.
  std::uint32_t m_revision = 0;
  /// For a suspected member: how long the suspicion has lasted.
  std::uint16_t m_suspicion_age_ms = 0;

  /// The order in which updates replace each other.
  [[nodiscard]] std::tuple<std::uint64_t, std::uint32_t, MemberState> Rank() const noexcept {
    return {m_member.m_incarnation.m_value, m_revision, m_member.m_state};
  }

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_member, m_revision, m_suspicion_age_ms);
  }
};

/// A digest over the live members of a data centre.
struct ListDigest {
  DataCentreId m_data_centre;
  std::uint64_t m_digest = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_data_centre, m_digest);
  }
};

/// What rides on every message.
struct Piggyback {
  std::vector<ListDigest> m_digests;
  std::vector<MemberUpdate> m_updates;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_digests, m_updates);
  }
};

/// Asks for a `ProbeAck` with the same number.
struct ProbeMessage {
  std::uint32_t m_sequence_number = 0;
  /// True while the sender knows no other member: it is answered with whole lists.
  bool m_is_joining = false;
  Piggyback m_piggyback;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_sequence_number, m_is_joining, m_piggyback);
  }
};

struct ProbeAckMessage {
  std::uint32_t m_sequence_number = 0;
  Piggyback m_piggyback;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_sequence_number, m_piggyback);
  }
};

/// Asks the receiver to probe the target and to pass its answer on under the number.
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

/// Carries changes, and asks for whole lists.
struct MemberListMessage {
  /// The sender's data centre; digests from another data centre than the receiver's are compared at once.
  DataCentreId m_sender_data_centre;
  std::vector<DataCentreId> m_requested_lists;
  Piggyback m_piggyback;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_sender_data_centre, m_requested_lists, m_piggyback);
  }
};

/// Decode functions refuse values outside their ranges. Errors: `kMessageMalformed`.
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
