// Feeds datagrams to the GUE decoder, and the inner packets that it decodes to their parser.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>

#include "fighatch/gue.h"
#include "fighatch/inner_packet.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const auto datagram = std::as_bytes(std::span(data, size));
  const auto outer = fighatch::DecodeGue(datagram);
  if (!IsOk(outer)) return 0;
  const auto inner = fighatch::ParseInnerPacket(ValueOf(outer).m_inner);
  if (!IsOk(inner)) return 0;
  // A reset that answers a valid packet must itself be valid.
  if (ValueOf(inner).m_key.m_transport != fighatch::Transport::kTcp) return 0;
  if (!IsOk(fighatch::ParseInnerPacket(fighatch::BuildTcpReset(ValueOf(inner))))) std::abort();
  return 0;
}
