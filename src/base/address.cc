#include "fighatch/address.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <optional>

namespace fighatch {
namespace {

constexpr std::array<std::uint8_t, 12> kV4MappedPrefix = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xFF, 0xFF};
constexpr unsigned kV4MappedBits = 96;
constexpr unsigned kAddressBits = 128;

Error AddressError(std::string_view text, std::string_view reason) {
  return MakeError(ErrorCode::kSettingsWrongType, std::string(reason) + ": " + std::string(text));
}

std::optional<unsigned> ParseNumber(std::string_view text, unsigned max) {
  unsigned value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value > max) return std::nullopt;
  return value;
}

std::string_view StripBrackets(std::string_view host) {
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') return host.substr(1, host.size() - 2);
  return host;
}

}  // namespace

bool IpAddress::IsV4() const noexcept {
  return std::equal(kV4MappedPrefix.begin(), kV4MappedPrefix.end(), m_bytes.begin());
}

IpAddress IpAddress::FromV4(std::uint32_t host_order) noexcept {
  IpAddress address;
  std::copy(kV4MappedPrefix.begin(), kV4MappedPrefix.end(), address.m_bytes.begin());
  const std::uint32_t network_order = htonl(host_order);
  std::memcpy(&address.m_bytes[12], &network_order, sizeof(network_order));
  return address;
}

std::uint32_t IpAddress::ToV4() const noexcept {
  if (!IsV4()) return 0;
  std::uint32_t network_order = 0;
  std::memcpy(&network_order, &m_bytes[12], sizeof(network_order));
  return ntohl(network_order);
}

bool Cidr::Contains(const IpAddress& address) const noexcept {
  const std::size_t whole_bytes = m_prefix_bits / 8U;
  if (!std::equal(m_address.m_bytes.begin(), m_address.m_bytes.begin() + whole_bytes, address.m_bytes.begin())) {
    return false;
  }
  const unsigned remaining_bits = m_prefix_bits % 8U;
  if (remaining_bits == 0) return true;
  const unsigned mask = 0xFFU << (8U - remaining_bits);
  return ((m_address.m_bytes[whole_bytes] ^ address.m_bytes[whole_bytes]) & mask & 0xFFU) == 0;
}

Result<IpAddress> ParseIpAddress(std::string_view text) {
  const std::string copy(text);
  in_addr v4{};
  if (inet_pton(AF_INET, copy.c_str(), &v4) == 1) return IpAddress::FromV4(ntohl(v4.s_addr));
  IpAddress address;
  if (inet_pton(AF_INET6, copy.c_str(), address.m_bytes.data()) == 1) return address;
  return AddressError(text, "not an IP address");
}

Result<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return AddressError(text, "not an address with a port");
  Result<IpAddress> address = ParseIpAddress(StripBrackets(text.substr(0, colon)));
  if (!IsOk(address)) return ErrorOf(address);
  const std::optional<unsigned> port = ParseNumber(text.substr(colon + 1), 65535);
  if (!port) return AddressError(text, "not a port number");
  return Endpoint{ValueOf(address), static_cast<std::uint16_t>(*port)};
}

Result<Cidr> ParseCidr(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) return AddressError(text, "not an address prefix");
  Result<IpAddress> address = ParseIpAddress(text.substr(0, slash));
  if (!IsOk(address)) return ErrorOf(address);
  const unsigned offset = ValueOf(address).IsV4() ? kV4MappedBits : 0;
  const std::optional<unsigned> bits = ParseNumber(text.substr(slash + 1), kAddressBits - offset);
  if (!bits) return AddressError(text, "not a prefix length");
  return Cidr{ValueOf(address), static_cast<std::uint8_t>(*bits + offset)};
}

std::string ToString(const IpAddress& address) {
  char text[INET6_ADDRSTRLEN] = {};
  if (address.IsV4()) {
    inet_ntop(AF_INET, &address.m_bytes[12], text, sizeof(text));
  } else {
    inet_ntop(AF_INET6, address.m_bytes.data(), text, sizeof(text));
  }
  return text;
}

std::string ToString(const Endpoint& endpoint) {
  const std::string host = ToString(endpoint.m_address);
  const std::string port = std::to_string(endpoint.m_port);
  return endpoint.m_address.IsV4() ? host + ":" + port : "[" + host + "]:" + port;
}

std::string ToString(const Cidr& cidr) {
  const unsigned offset = cidr.m_address.IsV4() ? kV4MappedBits : 0;
  return ToString(cidr.m_address) + "/" + std::to_string(cidr.m_prefix_bits - offset);
}

}  // namespace fighatch
