// Passes arbitrary payloads to `Membership`, as an authenticated member could send them. The first byte selects the
// message type.

#include <cstdint>
#include <cstdlib>

#include "fighatch/membership.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace fighatch;  // NOLINT(google-build-using-namespace)
  if (size == 0) return 0;
  MembershipSettings settings;
  settings.m_self.m_host = {1};
  settings.m_self.m_incarnation = {5};
  Membership membership(settings, Random(1));
  const auto type = static_cast<MessageType>(1 + data[0] % 4);
  const auto payload = std::as_bytes(std::span(data + 1, size - 1));
  TimePoint now{std::chrono::seconds(1)};
  (void)membership.Tick(now);
  for (int round = 0; round < 12; ++round) {
    const auto result = membership.Receive(now, {2}, {}, type, payload);
    if (!IsOk(result) && ErrorOf(result).m_code != ErrorCode::kMessageMalformed) std::abort();
    now += std::chrono::milliseconds(120);
    for (const OutgoingMessage& message : membership.Tick(now).m_messages)
      if (message.m_payload.size() > 1134) std::abort();
  }
  if (membership.LiveMembers().empty()) std::abort();
  return 0;
}
