#include "fighatch/flow_key.h"

#include <array>
#include <cstring>

#include "fighatch/hash.h"

namespace fighatch {

std::uint64_t FlowHash(const FlowKey& key) noexcept {
  std::array<std::byte, 37> bytes;
  std::memcpy(&bytes[0], key.m_source.m_address.m_bytes.data(), 16);
  std::memcpy(&bytes[16], key.m_destination.m_address.m_bytes.data(), 16);
  std::memcpy(&bytes[32], &key.m_source.m_port, sizeof(std::uint16_t));
  std::memcpy(&bytes[34], &key.m_destination.m_port, sizeof(std::uint16_t));
  bytes[36] = static_cast<std::byte>(key.m_transport);
  return HashBytes(bytes);
}

}  // namespace fighatch
