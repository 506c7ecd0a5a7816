#include <cstdint>
#include <string>
#include <string_view>

#include "platform/document.h"
#include "platform/target_format.h"

// Parses arbitrary text as a document, an announcement, a target id and a deregistration. An accepted document must
// parse to the same state again and must have a service in every route.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const fighatch::platform::DocumentFormat format;
  const fighatch::Result<fighatch::RoutingState> first = format.Read(text);
  if (fighatch::IsOk(first)) {
    const fighatch::Result<fighatch::RoutingState> second = format.Read(text);
    if (!fighatch::IsOk(second) || !(fighatch::ValueOf(first) == fighatch::ValueOf(second))) __builtin_trap();
    for (const auto& [address, route] : fighatch::ValueOf(first).m_routes) {
      if (route.m_services.empty()) __builtin_trap();
    }
  }
  (void)fighatch::platform::ReadAnnouncement("i-7f3a91c2", text);
  (void)fighatch::platform::ReadTargetId(text);
  (void)fighatch::platform::ReadStartUnixMs(text);
  return 0;
}
