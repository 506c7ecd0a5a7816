#include "fighatch/sync_message.h"

#include "wire/codec.h"

namespace fighatch {

std::vector<std::byte> EncodeSyncRequest(const SyncRequest& request) { return wire::Encode(request); }
std::vector<std::byte> EncodeSyncReply(const SyncReply& reply) { return wire::Encode(reply); }
std::vector<std::byte> EncodeLoadReport(const LoadReport& report) { return wire::Encode(report); }

Result<SyncRequest> DecodeSyncRequest(std::span<const std::byte> bytes) { return wire::Decode<SyncRequest>(bytes); }
Result<SyncReply> DecodeSyncReply(std::span<const std::byte> bytes) { return wire::Decode<SyncReply>(bytes); }
Result<LoadReport> DecodeLoadReport(std::span<const std::byte> bytes) { return wire::Decode<LoadReport>(bytes); }

}  // namespace fighatch
