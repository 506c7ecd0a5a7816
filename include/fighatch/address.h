#ifndef FIGHATCH_ADDRESS_H_
#define FIGHATCH_ADDRESS_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "fighatch/result.h"

namespace fighatch {

/// An IPv4 or IPv6 address in network byte order. An IPv4 address is stored as an IPv4-mapped IPv6 address
/// (::ffff:a.b.c.d), so that one representation serves for comparing and hashing both.
struct IpAddress {
  std::array<std::uint8_t, 16> m_bytes{};

  /// True for an IPv4-mapped address.
  [[nodiscard]] bool IsV4() const noexcept;

  /// Makes an IPv4 address from a number in host byte order, for example 0x7F000001.
  [[nodiscard]] static IpAddress FromV4(std::uint32_t host_order) noexcept;

  /// The IPv4 address in host byte order; 0 for an IPv6 address.
  [[nodiscard]] std::uint32_t ToV4() const noexcept;

  friend auto operator<=>(const IpAddress&, const IpAddress&) = default;  // NOLINT(modernize-use-nullptr)

  /// Serialises the 16 bytes.
  template <typename Archive>
  void serialize(Archive& archive) {
    for (std::uint8_t& byte : m_bytes) archive(byte);
  }
};

/// An address and a port in host byte order.
struct Endpoint {
  IpAddress m_address;
  std::uint16_t m_port = 0;

  friend auto operator<=>(const Endpoint&, const Endpoint&) = default;  // NOLINT(modernize-use-nullptr)

  /// Serialises address and port.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_address, m_port);
  }
};

/// An address prefix such as 10.0.0.0/8.
struct Cidr {
  IpAddress m_address;
  /// Prefix length counted in the 128-bit form: an IPv4 prefix length plus 96.
  std::uint8_t m_prefix_bits = 128;

  /// True if the address lies in the prefix.
  [[nodiscard]] bool Contains(const IpAddress& address) const noexcept;

  friend auto operator<=>(const Cidr&, const Cidr&) = default;

  /// Serialises address and prefix length.
  template <typename Archive>
  void serialize(Archive& archive) {
    archive(m_address, m_prefix_bits);
  }
};

/// Parses "192.0.2.1" or "2001:db8::1". Errors: `kSettingsWrongType`.
[[nodiscard]] Result<IpAddress> ParseIpAddress(std::string_view text);

/// Parses "192.0.2.1:80" or "[2001:db8::1]:80". Errors: `kSettingsWrongType`.
[[nodiscard]] Result<Endpoint> ParseEndpoint(std::string_view text);

/// Parses "10.0.0.0/8" or "2001:db8::/32". Errors: `kSettingsWrongType`.
[[nodiscard]] Result<Cidr> ParseCidr(std::string_view text);

/// The usual text form, which the parse functions accept.
[[nodiscard]] std::string ToString(const IpAddress& address);
/// \copydoc ToString(const IpAddress&)
[[nodiscard]] std::string ToString(const Endpoint& endpoint);
/// \copydoc ToString(const IpAddress&)
[[nodiscard]] std::string ToString(const Cidr& cidr);

}  // namespace fighatch

#endif  // FIGHATCH_ADDRESS_H_
