#include "distribution/distribution_messages.h"

#include "wire/codec.h"

namespace fighatch::distribution {

Result<DigestMessage> DecodeDigest(std::span<const std::byte> payload) { return wire::Decode<DigestMessage>(payload); }

Result<RequestMessage> DecodeRequest(std::span<const std::byte> payload) {
  return wire::Decode<RequestMessage>(payload);
}

Result<ChunkMessage> DecodeChunk(std::span<const std::byte> payload) {
  Result<ChunkMessage> chunk = wire::Decode<ChunkMessage>(payload);
  if (!IsOk(chunk)) return chunk;
  const ChunkMessage& value = ValueOf(chunk);
  const bool is_valid = value.m_count > 0 && value.m_count <= kMaxChunks && value.m_index < value.m_count &&
                        value.m_bytes.size() <= kChunkBytes && value.m_from < value.m_to;
  if (!is_valid) return MakeError(ErrorCode::kMessageMalformed, "chunk");
  return chunk;
}

Result<ReportMessage> DecodeReport(std::span<const std::byte> payload) {
  Result<ReportMessage> report = wire::Decode<ReportMessage>(payload);
  if (IsOk(report) && ValueOf(report).m_lagging_hosts.size() > kMaxLaggingHostsListed)
    return MakeError(ErrorCode::kMessageMalformed, "report");
  return report;
}

std::vector<std::byte> Encode(const DigestMessage& message) { return wire::Encode(message); }
std::vector<std::byte> Encode(const RequestMessage& message) { return wire::Encode(message); }
std::vector<std::byte> Encode(const ChunkMessage& message) { return wire::Encode(message); }
std::vector<std::byte> Encode(const ReportMessage& message) { return wire::Encode(message); }

}  // namespace fighatch::distribution
