#ifndef FIGHATCH_LEASE_MESSAGE_H_
#define FIGHATCH_LEASE_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "fighatch/compact_archive.h"
#include "fighatch/ids.h"

namespace fighatch {

/// Upper limits that decoders enforce.
inline constexpr std::size_t kMaxLeaseTargets = 4096;
inline constexpr std::size_t kMaxTokensPerTarget = 4096;
inline constexpr std::size_t kMaxLeaseMembers = 4096;

/// A token of a target by its number, and whether a request of the holder is using it.
struct TokenUse {
  std::uint16_t m_token = 0;
  bool m_in_use = false;

  friend bool operator==(const TokenUse&, const TokenUse&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    std::uint32_t packed = std::uint32_t{m_token} * 2U + (m_in_use ? 1U : 0U);
    SerializeVarint(archive, packed);
    m_token = static_cast<std::uint16_t>(packed / 2U);
    m_in_use = packed % 2U == 1U;
  }
};

/// A holder's report on one target: its tokens, and the outcomes of requests since the last report.
struct TargetUse {
  TargetId m_target;
  /// Tokens held, including those whose lease has expired but which no other holder can have been granted yet.
  std::vector<TokenUse> m_tokens;
  std::uint32_t m_sheds = 0;
  /// Requests that have ended since the last report, and their mean latency.
  std::uint32_t m_ended = 0;
  std::uint32_t m_latency_us = 0;

  friend bool operator==(const TargetUse&, const TargetUse&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_target);
    SerializeList(archive, m_tokens, kMaxTokensPerTarget);
    SerializeVarint(archive, m_sheds);
    SerializeVarint(archive, m_ended);
    SerializeVarint(archive, m_latency_us);
  }
};

/// Requests of a service that wait for a token on the holder.
struct TokenDemand {
  ServiceId m_service;
  std::uint32_t m_waiting = 0;

  friend bool operator==(const TokenDemand&, const TokenDemand&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    SerializeVarint(archive, m_service.m_value);
    SerializeVarint(archive, m_waiting);
  }
};

/// Requests tokens from a coordinator, reports their use, and confirms that the holder follows this coordinator alone.
struct LeaseRequest {
  HostId m_holder;
  /// Incarnation of the holder's process.
  Incarnation m_incarnation;
  HostId m_grantor;
  /// The grantor's epoch as the holder knows it; 0 if it does not.
  std::uint64_t m_epoch = 0;
  /// Counts the holder's changes of grantor.
  std::uint32_t m_binding = 0;
  std::uint64_t m_sequence = 0;
  /// Sequence number of the request whose grant was applied last; 0 if none was.
  std::uint64_t m_applied_sequence = 0;
  /// `LeaseGrant::m_time_ms` of that grant.
  std::uint64_t m_echoed_time_ms = 0;
  /// Digest of the members that the holder knows.
  std::uint32_t m_members_digest = 0;
  /// Members that the holder considers dead.
  std::vector<HostId> m_missing;
  std::vector<TargetUse> m_uses;
  std::vector<TokenDemand> m_demands;

  friend bool operator==(const LeaseRequest&, const LeaseRequest&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    SerializeVarint(archive, m_holder.m_value);
    SerializeVarint(archive, m_incarnation.m_value);
    SerializeVarint(archive, m_grantor.m_value);
    SerializeVarint(archive, m_epoch);
    SerializeVarint(archive, m_binding);
    SerializeVarint(archive, m_sequence);
    SerializeVarint(archive, m_applied_sequence);
    SerializeVarint(archive, m_echoed_time_ms);
    archive(m_members_digest);
    SerializeList(archive, m_missing, kMaxLeaseMembers);
    SerializeList(archive, m_uses, kMaxLeaseTargets);
    SerializeList(archive, m_demands, kMaxLeaseTargets);
  }
};

/// The tokens of one target that a holder may use.
struct TokenGrant {
  TargetId m_target;
  Incarnation m_incarnation;
  std::vector<std::uint16_t> m_tokens;

  friend bool operator==(const TokenGrant&, const TokenGrant&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_target);
    SerializeVarint(archive, m_incarnation.m_value);
    SerializeList(archive, m_tokens, kMaxTokensPerTarget,
                  [](Archive& items, std::uint16_t& token) { SerializeVarint(items, token); });
  }
};

/// The answer to a lease request: the complete set of tokens that the holder may use for one lease term, counted from
/// when it sent the request.
struct LeaseGrant {
  HostId m_grantor;
  std::uint64_t m_epoch = 0;
  HostId m_holder;
  Incarnation m_incarnation;
  /// Sequence number of the request that is answered.
  std::uint64_t m_sequence = 0;
  /// The grantor's clock when it answered.
  std::uint64_t m_time_ms = 0;
  /// False if the grantor cannot decide yet: the holder keeps its tokens and their leases are not extended.
  bool m_decided = false;
  std::vector<TokenGrant> m_grants;

  friend bool operator==(const LeaseGrant&, const LeaseGrant&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    SerializeVarint(archive, m_grantor.m_value);
    SerializeVarint(archive, m_epoch);
    SerializeVarint(archive, m_holder.m_value);
    SerializeVarint(archive, m_incarnation.m_value);
    SerializeVarint(archive, m_sequence);
    SerializeVarint(archive, m_time_ms);
    archive(m_decided);
    SerializeList(archive, m_grants, kMaxLeaseTargets);
  }
};

}  // namespace fighatch

#endif  // FIGHATCH_LEASE_MESSAGE_H_
