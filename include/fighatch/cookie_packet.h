#ifndef FIGHATCH_COOKIE_PACKET_H_
#define FIGHATCH_COOKIE_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <functional>

#include "fighatch/address.h"
#include "fighatch/time.h"

namespace fighatch {

/// The client's and the service's endpoint of a flow, as its packets carry them.
struct FlowEndpoints {
  Endpoint m_client;
  Endpoint m_service;

  friend auto operator<=>(const FlowEndpoints&, const FlowEndpoints&) = default;  // NOLINT(modernize-use-nullptr)
};

/// The header fields of a client's packet that steering needs, on a transport whose endpoints echo a cookie.
struct CookiePacket {
  FlowEndpoints m_endpoints;
  /// Requests a new flow.
  bool m_opening = false;
  /// The client closes the flow, gracefully or with a reset.
  bool m_closing = false;
  /// For an opening packet: how many times the client sent it before; 0 for the first transmission.
  std::uint32_t m_retransmissions = 0;
  /// For an opening packet: time from the first transmission to this one.
  Duration m_age{0};
  /// The last cookie that the client received on the flow; 0 if none.
  std::uint32_t m_cookie = 0;
  /// Sequence number of the data; a retransmission carries the same one.
  std::uint32_t m_sequence = 0;
  /// Number of data bytes; 0 for a packet that only acknowledges.
  std::uint32_t m_data_bytes = 0;
};

/// True if `sequence` comes after `other`, in numbers that wrap around.
[[nodiscard]] inline bool IsSequenceAfter(std::uint32_t sequence, std::uint32_t other) noexcept {
  return static_cast<std::int32_t>(sequence - other) > 0;
}

}  // namespace fighatch

/// Hashes both endpoints of a flow.
template <>
struct std::hash<fighatch::FlowEndpoints> {
  std::size_t operator()(const fighatch::FlowEndpoints& endpoints) const noexcept;
};

#endif  // FIGHATCH_COOKIE_PACKET_H_
