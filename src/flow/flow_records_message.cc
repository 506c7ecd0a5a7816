#include "fighatch/flow_records_message.h"

#include "wire/codec.h"

namespace fighatch {

std::vector<std::byte> EncodeFlowRecords(const FlowRecordsMessage& message) { return wire::Encode(message); }

Result<FlowRecordsMessage> DecodeFlowRecords(std::span<const std::byte> bytes) {
  // The version is the byte after the byte-order mark. It is checked first, since the fields after it may differ in
  // other versions.
  if (bytes.size() >= 2 && static_cast<std::uint8_t>(bytes[1]) != kFlowRecordsVersion) {
    return MakeError(ErrorCode::kMessageUnknownVersion);
  }
  Result<FlowRecordsMessage> decoded = wire::Decode<FlowRecordsMessage>(bytes);
  if (!IsOk(decoded)) return decoded;
  const FlowRecordsMessage& message = ValueOf(decoded);
  if (message.m_records.size() > kMaxRecordsInMessage) return MakeError(ErrorCode::kMessageOversized);
  if (message.m_shard >= message.m_shards) return MakeError(ErrorCode::kMessageMalformed, "shard");
  return decoded;
}

std::vector<std::byte> EncodeFlowRecordsAck(const FlowRecordsAck& ack) { return wire::Encode(ack); }

Result<FlowRecordsAck> DecodeFlowRecordsAck(std::span<const std::byte> bytes) {
  if (bytes.size() >= 2 && static_cast<std::uint8_t>(bytes[1]) != kFlowRecordsVersion) {
    return MakeError(ErrorCode::kMessageUnknownVersion);
  }
  return wire::Decode<FlowRecordsAck>(bytes);
}

}  // namespace fighatch
