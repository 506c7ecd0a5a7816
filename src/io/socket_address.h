#ifndef FIGHATCH_IO_SOCKET_ADDRESS_H_
#define FIGHATCH_IO_SOCKET_ADDRESS_H_

#include <netinet/in.h>
#include <sys/socket.h>

#include "fighatch/address.h"

namespace fighatch::io {

/// An endpoint in the form that socket calls take.
struct SocketAddress {
  sockaddr_storage m_storage{};
  socklen_t m_size = sizeof(sockaddr_storage);

  [[nodiscard]] sockaddr* Get() noexcept { return reinterpret_cast<sockaddr*>(&m_storage); }
  [[nodiscard]] const sockaddr* Get() const noexcept { return reinterpret_cast<const sockaddr*>(&m_storage); }
};

/// Converts to the socket form: AF_INET for IPv4, AF_INET6 otherwise.
[[nodiscard]] SocketAddress ToSocketAddress(const Endpoint& endpoint) noexcept;

/// Converts from the socket form.
[[nodiscard]] Endpoint FromSocketAddress(const SocketAddress& address) noexcept;

}  // namespace fighatch::io

#endif  // FIGHATCH_IO_SOCKET_ADDRESS_H_
