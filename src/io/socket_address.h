#ifndef FIGHATCH_IO_SOCKET_ADDRESS_H_
#define FIGHATCH_IO_SOCKET_ADDRESS_H_

#include <netinet/in.h>
#include <sys/socket.h>

#include "fighatch/address.h"

namespace fighatch::io {

/// An endpoint as a `sockaddr` for the socket calls, IPv4 or IPv6.
struct SocketAddress {
  sockaddr_storage m_storage{};
  socklen_t m_size = sizeof(sockaddr_storage);

  [[nodiscard]] sockaddr* Get() noexcept { return reinterpret_cast<sockaddr*>(&m_storage); }
  [[nodiscard]] const sockaddr* Get() const noexcept { return reinterpret_cast<const sockaddr*>(&m_storage); }
};

/// Converts an endpoint to a socket address: AF_INET for IPv4, AF_INET6 otherwise.
[[nodiscard]] SocketAddress ToSocketAddress(const Endpoint& endpoint) noexcept;

/// Converts a socket address of family AF_INET or AF_INET6 to an endpoint.
[[nodiscard]] Endpoint FromSocketAddress(const SocketAddress& address) noexcept;

}  // namespace fighatch::io

#endif  // FIGHATCH_IO_SOCKET_ADDRESS_H_
