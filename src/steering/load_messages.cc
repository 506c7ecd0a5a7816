#include <string>

#include "fighatch/load_summary.h"
#include "fighatch/offered_load.h"
#include "wire/codec.h"

namespace fighatch {
namespace {

template <typename Message>
Result<Message> DecodeBounded(std::span<const std::byte> bytes, std::uint8_t version) {
  if (bytes.size() > Message::kMaxBytes) return MakeError(ErrorCode::kMessageOversized, std::to_string(bytes.size()));
  // The version is the byte after the byte-order mark. It is checked first, since the fields after it may differ in
  // other versions.
  if (bytes.size() >= 2 && std::to_integer<std::uint8_t>(bytes[1]) != version) {
    return MakeError(ErrorCode::kMessageUnknownVersion);
  }
  return wire::Decode<Message>(bytes);
}

}  // namespace

std::vector<std::byte> EncodeOfferedLoad(const OfferedLoad& load) { return wire::Encode(load); }
std::vector<std::byte> EncodeLoadSummary(const LoadSummary& summary) { return wire::Encode(summary); }

Result<OfferedLoad> DecodeOfferedLoad(std::span<const std::byte> bytes) {
  return DecodeBounded<OfferedLoad>(bytes, kOfferedLoadVersion);
}
Result<LoadSummary> DecodeLoadSummary(std::span<const std::byte> bytes) {
  return DecodeBounded<LoadSummary>(bytes, kLoadSummaryVersion);
}

}  // namespace fighatch
