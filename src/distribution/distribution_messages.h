#ifndef FIGHATCH_DISTRIBUTION_DISTRIBUTION_MESSAGES_H_
#define FIGHATCH_DISTRIBUTION_DISTRIBUTION_MESSAGES_H_

#include <cstdint>
#include <span>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/result.h"

namespace fighatch::distribution {

/// Content bytes in one chunk, which travels in one datagram.
inline constexpr std::size_t kChunkBytes = 1000;
/// Most chunks of one transfer, which limits its content to 32 MB.
inline constexpr std::uint32_t kMaxChunks = 32768;
/// Most lagging hosts that a report lists.
inline constexpr std::size_t kMaxLaggingHostsListed = 32;
/// The age that stands for a version that no control host has confirmed.
inline constexpr std::uint32_t kNeverConfirmedMs = 0xFFFFFFFF;

/// Announces the version that a host has, and how long ago a control host confirmed it.
struct DigestMessage {
  Version m_version;
  std::uint64_t m_digest = 0;
  std::uint32_t m_age_ms = kNeverConfirmedMs;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_version, m_digest, m_age_ms);
  }
};

/// Requests the deltas after `m_held_version` or a snapshot. It is answered with a digest and with chunks.
struct RequestMessage {
  Version m_held_version;
  /// True to get a snapshot even if there is a delta, as after a digest that did not match.
  bool m_wants_snapshot = false;
  /// The end version of the transfer that is resumed, and its first missing chunk.
  Version m_transfer_version;
  std::uint32_t m_first_chunk = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_held_version, m_wants_snapshot, m_transfer_version, m_first_chunk);
  }
};

/// One part of a delta or, with `m_from` (0, 0), of a snapshot.
struct ChunkMessage {
  Version m_from;
  Version m_to;
  /// Digest of the state at `m_to`.
  std::uint64_t m_state_digest = 0;
  /// XXH3 of the whole content.
  std::uint64_t m_content_hash = 0;
  /// How long ago a control host confirmed the sender's version.
  std::uint32_t m_age_ms = kNeverConfirmedMs;
  std::uint32_t m_index = 0;
  std::uint32_t m_count = 0;
  std::vector<std::uint8_t> m_bytes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_from, m_to, m_state_digest, m_content_hash, m_age_ms, m_index, m_count, m_bytes);
  }
};

/// A lagging host and its last reported version.
struct LaggingHostVersion {
  HostId m_host;
  Version m_version;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_host, m_version);
  }
};

/// Tells the parent which version is in force in the subtree of the sender.
struct ReportMessage {
  /// In force at the sender.
  Version m_version;
  /// Hosts in the subtree, the sender included.
  std::uint32_t m_hosts = 1;
  /// Hosts that have not reported `m_version`, and a list of up to `kMaxLaggingHostsListed` of them.
  std::uint32_t m_lagging_count = 0;
  std::vector<LaggingHostVersion> m_lagging_hosts;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_version, m_hosts, m_lagging_count, m_lagging_hosts);
  }
};

/// Decode functions refuse values outside their ranges. Errors: `kMessageMalformed`.
[[nodiscard]] Result<DigestMessage> DecodeDigest(std::span<const std::byte> payload);
[[nodiscard]] Result<RequestMessage> DecodeRequest(std::span<const std::byte> payload);
[[nodiscard]] Result<ChunkMessage> DecodeChunk(std::span<const std::byte> payload);
[[nodiscard]] Result<ReportMessage> DecodeReport(std::span<const std::byte> payload);

[[nodiscard]] std::vector<std::byte> Encode(const DigestMessage& message);
[[nodiscard]] std::vector<std::byte> Encode(const RequestMessage& message);
[[nodiscard]] std::vector<std::byte> Encode(const ChunkMessage& message);
[[nodiscard]] std::vector<std::byte> Encode(const ReportMessage& message);

}  // namespace fighatch::distribution

#endif  // FIGHATCH_DISTRIBUTION_DISTRIBUTION_MESSAGES_H_
