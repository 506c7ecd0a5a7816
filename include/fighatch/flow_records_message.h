#ifndef FIGHATCH_FLOW_RECORDS_MESSAGE_H_
#define FIGHATCH_FLOW_RECORDS_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "fighatch/ids.h"
#include "fighatch/result.h"

namespace fighatch {

/// A flow record as balancers exchange it: 24 bytes. It carries the age of the last packet instead of the time, since
/// the clocks of two hosts are not compared.
struct WireFlowRecord {
  std::uint64_t m_fingerprint = 0;
  TargetId m_target;
  ServiceId m_service;
  /// Ticks (134 ms) since the last packet.
  std::uint32_t m_age = 0;

  friend bool operator==(const WireFlowRecord&, const WireFlowRecord&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_fingerprint, m_target, m_service, m_age);
  }
};

/// The most records in one message. 45 records of 24 bytes and 35 bytes of other fields fit `kMaxUdpPayloadBytes`; 46
/// records do not.
inline constexpr std::size_t kMaxRecordsInMessage = 45;

/// The version of `FlowRecordsMessage` and `FlowRecordsAck` that this program sends and accepts.
inline constexpr std::uint8_t kFlowRecordsVersion = 1;

/// A batch of flow records, which the sender resends until it is acknowledged.
struct FlowRecordsMessage {
  std::uint8_t m_version = kFlowRecordsVersion;
  HostId m_sender;
  /// The sender's shard and its number of shards. The receiver assigns records to its own shards by fingerprint.
  std::uint16_t m_shard = 0;
  std::uint16_t m_shards = 1;
  std::uint64_t m_sequence = 0;
  /// True for the last batch of a transfer to a joining balancer.
  bool m_final = false;
  /// With `m_final`: digest of the ready balancers that the sender knows. The transfer counts as finished only if the
  /// receiver knows the same ones: if a keeper has died in the meantime, its second keeper must send the records again.
  std::uint64_t m_keepers_digest = 0;
  std::vector<WireFlowRecord> m_records;

  friend bool operator==(const FlowRecordsMessage&, const FlowRecordsMessage&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_version, m_sender, m_shard, m_shards, m_sequence, m_final, m_keepers_digest, m_records);
  }
};

/// Acknowledges a batch to the shard that sent it. Sequence 0 acknowledges no batch: the receiver had no room for all
/// records.
struct FlowRecordsAck {
  std::uint8_t m_version = kFlowRecordsVersion;
  HostId m_sender;
  std::uint16_t m_shard = 0;
  std::uint64_t m_sequence = 0;

  friend bool operator==(const FlowRecordsAck&, const FlowRecordsAck&) = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_version, m_sender, m_shard, m_sequence);
  }
};

/// Encodes a batch in cereal's portable binary form.
[[nodiscard]] std::vector<std::byte> EncodeFlowRecords(const FlowRecordsMessage& message);
/// Decodes a batch. Errors: `kMessageMalformed`, `kMessageUnknownVersion`, `kMessageOversized`.
[[nodiscard]] Result<FlowRecordsMessage> DecodeFlowRecords(std::span<const std::byte> bytes);
/// \copydoc EncodeFlowRecords
[[nodiscard]] std::vector<std::byte> EncodeFlowRecordsAck(const FlowRecordsAck& ack);
/// Decodes an acknowledgement. Errors: `kMessageMalformed`, `kMessageUnknownVersion`.
[[nodiscard]] Result<FlowRecordsAck> DecodeFlowRecordsAck(std::span<const std::byte> bytes);

}  // namespace fighatch

#endif  // FIGHATCH_FLOW_RECORDS_MESSAGE_H_
