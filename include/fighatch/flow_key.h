#ifndef FIGHATCH_FLOW_KEY_H_
#define FIGHATCH_FLOW_KEY_H_

#include <compare>
#include <cstdint>
#include <string_view>

#include "fighatch/address.h"

namespace fighatch {

/// The transport protocols that a flow may use, with their IP protocol numbers.
enum class Transport : std::uint8_t { kTcp = 6, kUdp = 17 };

/// "tcp" or "udp".
[[nodiscard]] constexpr std::string_view TransportName(Transport transport) noexcept {
  return transport == Transport::kTcp ? "tcp" : "udp";
}

/// The five-tuple of a flow, seen from the caller: `m_source` is the caller, `m_destination` the service address.
struct FlowKey {
  Endpoint m_source;
  Endpoint m_destination;
  Transport m_transport = Transport::kTcp;

  friend auto operator<=>(const FlowKey&, const FlowKey&) = default;

  /// Serialises all fields.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_source, m_destination, m_transport);
  }
};

/// A 64-bit fingerprint of the key (XXH3), the same on every host. It selects the hash slot and identifies the flow in
/// records.
[[nodiscard]] std::uint64_t FlowHash(const FlowKey& key) noexcept;

}  // namespace fighatch

#endif  // FIGHATCH_FLOW_KEY_H_
