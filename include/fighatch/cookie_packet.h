#ifndef FIGHATCH_COOKIE_PACKET_H_
#define FIGHATCH_COOKIE_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <functional>

#include "fighatch/address.h"
#include "fighatch/time.h"

namespace fighatch {

/// The two ends of a flow as its packets name them.
struct FlowEndpoints {
  Endpoint m_client;
  Endpoint m_service;

  friend auto operator<=>(const FlowEndpoints&, const FlowEndpoints&) = default;  // NOLINT(modernize-use-nullptr)
};

/// What steering reads of a client's packet on a transport whose ends repeat a cookie.
struct CookiePacket {
  FlowEndpoints m_endpoints;
  /// Asks for a new flow.
  bool m_opening = false;
  /// The client ends the flow, in order or with a reset.
  bool m_closing = false;
  /// For an opening packet: how many copies of it were sent before.
  std::uint32_t m_retransmissions = 0;
  /// For an opening packet: how long before it the client sent the first copy.
  Duration m_age{0};
  /// The last cookie that the client received on the flow; 0 if none.
  std::uint32_t m_cookie = 0;
};

}  // namespace fighatch

/// Hashes the ends of a flow.
template <>
struct std::hash<fighatch::FlowEndpoints> {
  std::size_t operator()(const fighatch::FlowEndpoints& endpoints) const noexcept;
};

#endif  // FIGHATCH_COOKIE_PACKET_H_
