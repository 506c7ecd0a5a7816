#include <cstdint>
#include <span>

#include "fighatch/routing_log.h"
#include "fighatch/sync_message.h"

// Decodes arbitrary bytes as each message that steering hosts exchange; a decoded sync message or load report must
// decode again after it has been encoded.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::span<const std::byte> bytes(reinterpret_cast<const std::byte*>(data), size);
  if (const auto request = fighatch::DecodeSyncRequest(bytes); fighatch::IsOk(request)) {
    if (!fighatch::IsOk(fighatch::DecodeSyncRequest(EncodeSyncRequest(fighatch::ValueOf(request))))) __builtin_trap();
  }
  if (const auto reply = fighatch::DecodeSyncReply(bytes); fighatch::IsOk(reply)) {
    if (!fighatch::IsOk(fighatch::DecodeSyncReply(EncodeSyncReply(fighatch::ValueOf(reply))))) __builtin_trap();
    fighatch::PublishedState state;
    if (fighatch::ValueOf(reply).m_update) (void)ApplyUpdate(*fighatch::ValueOf(reply).m_update, &state);
  }
  if (const auto report = fighatch::DecodeLoadReport(bytes); fighatch::IsOk(report)) {
    if (!fighatch::IsOk(fighatch::DecodeLoadReport(EncodeLoadReport(fighatch::ValueOf(report))))) __builtin_trap();
  }
  (void)fighatch::DecodeRoutingCommand(std::string_view(reinterpret_cast<const char*>(data), size));
  return 0;
}
