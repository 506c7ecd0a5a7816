// Opens arbitrary bytes as a sealed message: none may be accepted, and every refusal must carry a message error code
// (4001 to 4008).

#include <cstdint>
#include <cstdlib>

#include "fighatch/secure_channel.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace fighatch;  // NOLINT(google-build-using-namespace)
  static SecureChannel* channel = [] {
    KeyRing ring;
    KeyBytes key;
    key.fill(std::byte{7});
    if (!IsOk(ring.Add(KeyKind::kCluster, 1, key, true))) std::abort();
    return new SecureChannel({{2}, {1}, 22}, std::move(ring));
  }();
  const auto bytes = std::as_bytes(std::span(data, size));
  const OpenedMessage opened = channel->Open(bytes, kMaxUdpMessageBytes);
  if (opened.m_envelope || !opened.m_error) std::abort();
  const auto code = static_cast<int>(opened.m_error->m_code);
  if (code < 4001 || code > 4008) std::abort();
  return 0;
}
